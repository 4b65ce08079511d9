// Package route matches a caller's request to a route and extracts what the route declares: key, rank, tenant, timeout
// and identity. Its functions are pure.
package route

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"slices"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bramleycove/bramleycove/internal/flow/result"
	"github.com/bramleycove/bramleycove/internal/flow/work"
	"github.com/bramleycove/bramleycove/internal/oper/tables"
)

// Reasons of refusals, as they appear in result.Error.
const (
	ReasonNoRoute    = "no-route"
	ReasonNoKey      = "no-key"
	ReasonNoIdentity = "no-identity"
)

// defaultTimeout applies to routes that declare none.
const defaultTimeout = 10 * time.Second

// Match is a request with its route. Identity is set only if the route has Once.
type Match struct {
	*tables.Route
	Request  *work.Request
	Identity [32]byte
}

// Extract builds the request from h and the first route that matches. caller is the caller's address without port. Errors
// are *result.Error with the verdict NotRun. The request shares the body of h, which must not be used again.
func Extract(t *tables.Tables, h *fasthttp.Request, caller string, now time.Time) (Match, error) {
	path := string(h.URI().Path())
	r := Find(t, string(h.Header.Method()), path)
	if r == nil {
		return Match{}, &result.Error{Verdict: result.NotRun, Status: fasthttp.StatusNotFound, Reason: ReasonNoRoute}
	}
	m := Match{Route: r, Request: &work.Request{
		Route: r.Name, Tenant: r.Tenant, Rank: r.Rank, Retryable: r.Retry, Pool: r.Pool, Deadline: now.Add(routeTimeout(r)),
	}}
	var ok bool
	if m.Request.Key, ok = extractKey(r.Key, h, path); !ok {
		return m, badRequest(ReasonNoKey)
	}
	m.Request.ReadHead(h, work.ForwardsHeader)
	if body := h.Body(); len(body) > 0 {
		m.Request.Body = body
	}
	sum := hashParts([]byte(m.Request.Method), []byte(m.Request.URI), m.Request.Body)
	copy(m.Request.Fingerprint[:], sum[:])
	if r.Once != nil {
		if m.Identity, ok = extractIdentity(r, h, path, caller); !ok {
			return m, badRequest(ReasonNoIdentity)
		}
		m.Request.Identity = hex.EncodeToString(m.Identity[:])
	}
	return m, nil
}

func badRequest(reason string) *result.Error {
	return &result.Error{Verdict: result.NotRun, Status: fasthttp.StatusBadRequest, Reason: reason}
}

func routeTimeout(r *tables.Route) time.Duration {
	if r.Timeout > 0 {
		return r.Timeout
	}
	return defaultTimeout
}

// Find returns the first route that matches method and path, nil if none does.
func Find(t *tables.Tables, method, path string) *tables.Route {
	for i := range t.Routes {
		r := &t.Routes[i]
		if matchesPath(r.Path, path) && (len(r.Methods) == 0 || slices.Contains(r.Methods, method)) {
			return r
		}
	}
	return nil
}

func matchesPath(pattern, path string) bool {
	if prefix, ok := strings.CutSuffix(pattern, "*"); ok {
		return strings.HasPrefix(path, prefix)
	}
	return pattern == path
}

// extractKey returns the key, which is empty if src declares none. It returns false if the declared source is absent or
// empty.
func extractKey(src tables.KeySource, h *fasthttp.Request, path string) (string, bool) {
	var k string
	switch {
	case src.Header != "":
		k = string(h.Header.Peek(src.Header))
	case src.Query != "":
		k = string(h.URI().QueryArgs().Peek(src.Query))
	case src.Segment > 0:
		parts := strings.Split(strings.TrimPrefix(path, "/"), "/")
		if src.Segment <= len(parts) {
			k = parts[src.Segment-1]
		}
	default:
		return "", true
	}
	return k, k != ""
}

// extractIdentity hashes what identifies a request of a route whose work must not be repeated. The route is part of it:
// the same header value on two routes means different work. It returns false if an identifying value is missing.
func extractIdentity(r *tables.Route, h *fasthttp.Request, path, caller string) ([32]byte, bool) {
	if r.Once.Header != "" {
		v := h.Header.Peek(r.Once.Header)
		return hashParts([]byte(r.Name), v), len(v) > 0
	}
	parts := [][]byte{[]byte(r.Name)}
	for _, f := range r.Once.Fields {
		v, ok := identityField(f, h, path, caller)
		if !ok {
			return [32]byte{}, false
		}
		parts = append(parts, v)
	}
	return hashParts(parts...), len(parts) > 1
}

func identityField(name string, h *fasthttp.Request, path, caller string) ([]byte, bool) {
	switch name {
	case "caller":
		return []byte(caller), caller != ""
	case "method":
		return h.Header.Method(), true
	case "path":
		return []byte(path), true
	case "query":
		return h.URI().QueryString(), true
	case "body":
		return h.Body(), true
	}
	if head, ok := strings.CutPrefix(name, "header:"); ok {
		v := h.Header.Peek(head)
		return v, len(v) > 0
	}
	return nil, false
}

// hashParts hashes parts with their lengths, so that different lists of parts have different hashes.
func hashParts(parts ...[]byte) [32]byte {
	d := sha256.New()
	for _, p := range parts {
		writeLength(d, len(p))
		_, _ = d.Write(p)
	}
	return [32]byte(d.Sum(nil))
}

func writeLength(d hash.Hash, n int) {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], uint64(n))
	_, _ = d.Write(b[:])
}

// CallerAddress returns the caller's address: the last entry of X-Forwarded-For, which the platform's load balancer adds,
// or else remote, the remote address of the connection.
func CallerAddress(h *fasthttp.Request, remote string) string {
	if v := string(h.Header.Peek("X-Forwarded-For")); v != "" {
		return strings.TrimSpace(v[strings.LastIndexByte(v, ',')+1:])
	}
	return remote
}
