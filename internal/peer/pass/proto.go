// Package pass carries requests between instances: over one plain HTTP hop to the dispatcher of the lane, or over two
// when the lane is in another data centre. Bodies pass through unchanged; what the instances decided about a request
// travels in headers.
package pass

import (
	"encoding/hex"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bramleycove/bramleycove/internal/flow/result"
	"github.com/bramleycove/bramleycove/internal/flow/work"
)

// Headers of the hop.
const (
	headHops        = work.HeaderPrefix + "Hops"
	headLane        = work.HeaderPrefix + "Lane"
	headPool        = work.HeaderPrefix + "Pool"
	headKey         = work.HeaderPrefix + "Key"
	headSlot        = work.HeaderPrefix + "Slot"
	headToken       = work.HeaderPrefix + "Token"
	headRank        = work.HeaderPrefix + "Rank"
	headRoute       = work.HeaderPrefix + "Route"
	headRetry       = work.HeaderPrefix + "Retry"
	headTimeout     = work.HeaderPrefix + "Timeout"
	headIdentity    = work.HeaderPrefix + "Identity"
	headFingerprint = work.HeaderPrefix + "Fingerprint"
	headOrigin      = work.HeaderPrefix + "Origin"
	headReason      = work.HeaderPrefix + "Reason" // set on errors only
	headAfter       = work.HeaderPrefix + "Retry-After"
)

// maxHops is one hop to the dispatcher, or two through any instance of another data centre.
const maxHops = 2

func encode(h *fasthttp.Request, r *work.Request, left time.Duration) {
	r.WriteRequest(h)
	set := h.Header.Set
	set(headHops, strconv.Itoa(r.Hops))
	set(headLane, r.Lane)
	set(headPool, r.Pool)
	if r.Key != "" {
		set(headKey, hex.EncodeToString([]byte(r.Key)))
	}
	set(headSlot, strconv.FormatUint(uint64(r.Slot), 10))
	set(headToken, strconv.FormatUint(r.Token, 10))
	set(headRank, r.Rank)
	set(headRoute, r.Route)
	set(headRetry, strconv.FormatBool(r.Retryable))
	set(headTimeout, work.FormatMillis(left))
	if r.Identity != "" {
		set(headIdentity, r.Identity)
	}
	set(headFingerprint, hex.EncodeToString(r.Fingerprint[:]))
	set(headOrigin, r.Origin)
}

// decode reads a request of another instance. It reports false if a header is missing or damaged.
func decode(h *fasthttp.Request, now time.Time) (*work.Request, bool) {
	get := func(name string) string { return string(h.Header.Peek(name)) }
	r := &work.Request{
		ID: get(work.RequestIDHeader), Route: get(headRoute), Rank: get(headRank), Pool: get(headPool), Lane: get(headLane),
		Identity: get(headIdentity), Origin: get(headOrigin), Retryable: get(headRetry) == "true",
	}
	key, err1 := hex.DecodeString(get(headKey))
	fp, err2 := hex.DecodeString(get(headFingerprint))
	hops, err3 := strconv.Atoi(get(headHops))
	slot, err4 := strconv.ParseUint(get(headSlot), 10, 32)
	token, err5 := strconv.ParseUint(get(headToken), 10, 64)
	left, err6 := strconv.ParseInt(get(headTimeout), 10, 32)
	for _, err := range []error{err1, err2, err3, err4, err5, err6} {
		if err != nil {
			return nil, false
		}
	}
	if len(fp) != len(r.Fingerprint) || hops < 1 || hops > maxHops || r.ID == "" || r.Pool == "" {
		return nil, false
	}
	r.Key, r.Hops, r.Slot, r.Token = string(key), hops, uint32(slot), token
	r.Deadline = now.Add(time.Duration(left) * time.Millisecond)
	copy(r.Fingerprint[:], fp)
	r.ReadRequest(h)
	return r, true
}

func encodeError(h *fasthttp.Response, e *result.Error) {
	h.SetStatusCode(e.Status)
	h.Header.Set(result.VerdictHeader, e.Verdict.String())
	h.Header.Set(headReason, e.Reason)
	if e.RetryAfter > 0 {
		h.Header.Set(headAfter, work.FormatMillis(e.RetryAfter))
	}
	if e.Cause != nil {
		h.SetBodyString(e.Cause.Error())
	}
}

// decodeAnswer returns the dispatcher's answer, or its error.
func decodeAnswer(h *fasthttp.Response) (work.Answer, error) {
	verdict := result.ParseVerdict(string(h.Header.Peek(result.VerdictHeader)))
	reason := string(h.Header.Peek(headReason))
	if verdict == result.Ran && reason == "" {
		return work.ReadResponse(h), nil
	}
	e := &result.Error{Verdict: verdict, Status: h.StatusCode(), Reason: reason}
	if reason == "" {
		// Not an answer of a dispatcher: nothing is known about the request.
		e.Verdict, e.Status, e.Reason = result.MayHaveRun, fasthttp.StatusBadGateway, ReasonAnswer
	}
	if ms, err := strconv.ParseInt(string(h.Header.Peek(headAfter)), 10, 32); err == nil {
		e.RetryAfter = time.Duration(ms) * time.Millisecond
	}
	return work.Answer{}, e
}
