// Package work defines the request and the answer that the parts of an instance pass on. Both are copies: they refer to
// no buffer that a connection reuses.
package work

import (
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bramleycove/bramleycove/internal/flow/result"
	"github.com/bramleycove/bramleycove/internal/wire/record"
)

// RequestIDHeader is the header that carries the id of a request. Servers echo it.
const RequestIDHeader = "Request-Id"

// HeaderPrefix is the prefix of the names of headers that only instances may set.
const HeaderPrefix = "Bramleycove-"

// Header is one header field.
type Header struct {
	Name, Value string
}

// Request is a caller's request with what the instance has decided about it.
type Request struct {
	ID          string
	Route       string
	Tenant      string
	Rank        string
	Retryable   bool // the route permits a retry after a not-run verdict
	Pool        string
	Key         string // key of a keyed pool
	Lane        string
	Slot        uint32
	Token       uint64
	Identity    string   // hex form of the idempotency key, empty if the route declares none
	Fingerprint [16]byte // of method, path with query, and body
	Origin      string   // data centre that the caller sent the request to
	Hops        int
	Deadline    time.Time // when the caller stops waiting, on the local monotonic clock

	Method  string
	URI     string // path and query as received
	Host    string
	Headers []Header // only those to be forwarded
	Body    []byte
}

// Answer is the whole answer of a server.
type Answer struct {
	Status  int
	Headers []Header
	Body    []byte
}

// protocolHeaders holds the headers of the server protocol, which callers must not set.
var protocolHeaders = map[string]bool{
	"pool": true, "slot": true, "token": true, "timeout": true, "identity": true, "rank": true, "request-id": true,
	"verdict": true, "leaving": true, "limit": true,
}

// connectionHeaders holds headers that apply to one connection only or that the HTTP library writes by itself.
var connectionHeaders = map[string]bool{
	"connection": true, "keep-alive": true, "proxy-connection": true, "transfer-encoding": true, "te": true,
	"trailer": true, "upgrade": true, "content-length": true, "host": true, "expect": true, "date": true, "server": true,
}

// ForwardsHeader reports whether a header of this name is forwarded between caller and server.
func ForwardsHeader(name string) bool {
	l := strings.ToLower(name)
	return !protocolHeaders[l] && !connectionHeaders[l] && !strings.HasPrefix(l, "bramleycove-")
}

// ReadRequest copies method, URI, host, headers and body of h into r.
func (r *Request) ReadRequest(h *fasthttp.Request) { r.ReadRequestFiltered(h, ForwardsHeader) }

// ReadRequestFiltered is ReadRequest with headers that passes accepts.
func (r *Request) ReadRequestFiltered(h *fasthttp.Request, passes func(name string) bool) {
	r.ReadHead(h, passes)
	if body := h.Body(); len(body) > 0 {
		r.Body = append([]byte(nil), body...)
	}
}

// ReadHead copies method, URI, host and headers that passes accepts of h into r.
func (r *Request) ReadHead(h *fasthttp.Request, passes func(name string) bool) {
	r.Method, r.URI, r.Host = string(h.Header.Method()), string(h.Header.RequestURI()), string(h.Header.Host())
	r.Headers = make([]Header, 0, h.Header.Len())
	for k, v := range h.Header.All() {
		if name := string(k); passes(name) {
			r.Headers = append(r.Headers, Header{name, string(v)})
		}
	}
}

// Size returns the bytes that the request holds.
func (r *Request) Size() int {
	n := len(r.URI) + len(r.Body)
	for _, h := range r.Headers {
		n += len(h.Name) + len(h.Value)
	}
	return n
}

// WriteRequest sets method, URI, host, headers, request id and body of h. The body is shared with r.
func (r *Request) WriteRequest(h *fasthttp.Request) {
	r.WriteRequestWithoutID(h)
	h.Header.Set(RequestIDHeader, r.ID)
}

// WriteRequestWithoutID is WriteRequest without the request id.
func (r *Request) WriteRequestWithoutID(h *fasthttp.Request) {
	h.Header.SetMethod(r.Method)
	h.Header.SetRequestURI(r.URI)
	if r.Host == "" {
		h.Header.SetHost("bramleycove")
	} else {
		h.Header.SetHost(r.Host)
	}
	h.Header.SetNoDefaultContentType(true)
	for _, f := range r.Headers {
		h.Header.Add(f.Name, f.Value)
	}
	h.SetBodyRaw(r.Body)
}

// sharedBody is the length from which the body of an answer is taken from its response instead of copied.
const sharedBody = 64 << 10

// ReadResponse returns status, headers and body of h, which loses its body if it is large.
func ReadResponse(h *fasthttp.Response) Answer { return ReadResponseFiltered(h, ForwardsHeader) }

// ReadResponseFiltered is ReadResponse with headers that passes accepts.
func ReadResponseFiltered(h *fasthttp.Response, passes func(name string) bool) Answer {
	a := Answer{Status: h.StatusCode(), Headers: make([]Header, 0, h.Header.Len())}
	for k, v := range h.Header.All() {
		if name := string(k); passes(name) {
			a.Headers = append(a.Headers, Header{name, string(v)})
		}
	}
	if body := h.Body(); len(body) > sharedBody {
		a.Body = h.SwapBody(nil)
	} else {
		a.Body = append([]byte(nil), body...)
	}
	return a
}

// WriteResponse sets status, headers, body and the verdict Ran of h. The body is shared with a.
func (a *Answer) WriteResponse(h *fasthttp.Response) {
	a.WriteResponseWithoutVerdict(h)
	h.Header.Set(result.VerdictHeader, result.Ran.String())
}

// WriteResponseWithoutVerdict is WriteResponse without the verdict header.
func (a *Answer) WriteResponseWithoutVerdict(h *fasthttp.Response) {
	h.SetStatusCode(a.Status)
	h.Header.SetNoDefaultContentType(true)
	for _, f := range a.Headers {
		h.Header.Add(f.Name, f.Value)
	}
	h.SetBodyRaw(a.Body)
}

// ToRecord returns the answer in the form that the ledger stores.
func (a *Answer) ToRecord() *record.Answer {
	out := &record.Answer{Status: uint32(a.Status), Body: a.Body}
	for _, h := range a.Headers {
		out.Headers = append(out.Headers, &record.Header{Name: h.Name, Value: h.Value})
	}
	return out
}

// FromRecord returns the answer that the ledger stored as in.
func FromRecord(in *record.Answer) Answer {
	a := Answer{Status: int(in.GetStatus()), Body: in.GetBody()}
	for _, h := range in.GetHeaders() {
		a.Headers = append(a.Headers, Header{h.GetName(), h.GetValue()})
	}
	return a
}

// FormatMillis returns d in whole milliseconds, at least 1, so that a short time left is never sent as "no limit".
func FormatMillis(d time.Duration) string {
	return strconv.FormatInt(max(1, d.Milliseconds()), 10)
}

// FormatRetryAfter returns d as a Retry-After value in whole seconds, rounded up, at least 1.
func FormatRetryAfter(d time.Duration) string {
	return strconv.FormatInt(max(1, int64((d+time.Second-1)/time.Second)), 10)
}

// NewRefusal returns an error for a request that has not run, with status 503.
func NewRefusal(reason string, after time.Duration) *result.Error {
	return &result.Error{Verdict: result.NotRun, Status: fasthttp.StatusServiceUnavailable, Reason: reason, RetryAfter: after}
}
