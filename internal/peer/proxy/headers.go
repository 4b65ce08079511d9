// Package proxy forwards requests between instances: over one plain HTTP hop to the dispatcher of the lane, or over two
// if the lane is in another data centre. Bodies stay unchanged; headers carry what the instances decided about a request.
package proxy

import (
	"encoding/hex"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bramleycove/bramleycove/internal/flow/result"
	"github.com/bramleycove/bramleycove/internal/flow/work"
)

// Headers of a hop.
const (
	hopsHeader        = work.HeaderPrefix + "Hops"
	laneHeader        = work.HeaderPrefix + "Lane"
	poolHeader        = work.HeaderPrefix + "Pool"
	keyHeader         = work.HeaderPrefix + "Key"
	slotHeader        = work.HeaderPrefix + "Slot"
	tokenHeader       = work.HeaderPrefix + "Token"
	rankHeader        = work.HeaderPrefix + "Rank"
	routeHeader       = work.HeaderPrefix + "Route"
	retryHeader       = work.HeaderPrefix + "Retry"
	timeoutHeader     = work.HeaderPrefix + "Timeout"
	identityHeader    = work.HeaderPrefix + "Identity"
	fingerprintHeader = work.HeaderPrefix + "Fingerprint"
	originHeader      = work.HeaderPrefix + "Origin"
	reasonHeader      = work.HeaderPrefix + "Reason" // set on errors only
	retryAfterHeader  = work.HeaderPrefix + "Retry-After"
)

// maxHops allows for a hop to any instance of another data centre and one from there to the dispatcher.
const maxHops = 2

func encodeRequest(h *fasthttp.Request, r *work.Request, timeLeft time.Duration) {
	r.WriteRequest(h)
	set := h.Header.Set
	set(hopsHeader, strconv.Itoa(r.Hops))
	set(laneHeader, r.Lane)
	set(poolHeader, r.Pool)
	if r.Key != "" {
		set(keyHeader, hex.EncodeToString([]byte(r.Key)))
	}
	set(slotHeader, strconv.FormatUint(uint64(r.Slot), 10))
	set(tokenHeader, strconv.FormatUint(r.Token, 10))
	set(rankHeader, r.Rank)
	set(routeHeader, r.Route)
	set(retryHeader, strconv.FormatBool(r.Retryable))
	set(timeoutHeader, work.FormatMillis(timeLeft))
	if r.Identity != "" {
		set(identityHeader, r.Identity)
	}
	set(fingerprintHeader, hex.EncodeToString(r.Fingerprint[:]))
	set(originHeader, r.Origin)
}

// decodeRequest decodes a request from another instance. It returns false if a header is missing or malformed.
func decodeRequest(h *fasthttp.Request, now time.Time) (*work.Request, bool) {
	get := func(name string) string { return string(h.Header.Peek(name)) }
	r := &work.Request{
		ID: get(work.RequestIDHeader), Route: get(routeHeader), Rank: get(rankHeader), Pool: get(poolHeader), Lane: get(laneHeader),
		Identity: get(identityHeader), Origin: get(originHeader), Retryable: get(retryHeader) == "true",
	}
	key, err1 := hex.DecodeString(get(keyHeader))
	fingerprint, err2 := hex.DecodeString(get(fingerprintHeader))
	hops, err3 := strconv.Atoi(get(hopsHeader))
	slot, err4 := strconv.ParseUint(get(slotHeader), 10, 32)
	token, err5 := strconv.ParseUint(get(tokenHeader), 10, 64)
	timeLeft, err6 := strconv.ParseInt(get(timeoutHeader), 10, 32)
	for _, err := range []error{err1, err2, err3, err4, err5, err6} {
		if err != nil {
			return nil, false
		}
	}
	if len(fingerprint) != len(r.Fingerprint) || hops < 1 || hops > maxHops || r.ID == "" || r.Pool == "" {
		return nil, false
	}
	r.Key, r.Hops, r.Slot, r.Token = string(key), hops, uint32(slot), token
	r.Deadline = now.Add(time.Duration(timeLeft) * time.Millisecond)
	copy(r.Fingerprint[:], fingerprint)
	r.ReadRequest(h)
	return r, true
}

func encodeError(h *fasthttp.Response, e *result.Error) {
	h.SetStatusCode(e.Status)
	h.Header.Set(result.VerdictHeader, e.Verdict.String())
	h.Header.Set(reasonHeader, e.Reason)
	if e.RetryAfter > 0 {
		h.Header.Set(retryAfterHeader, work.FormatMillis(e.RetryAfter))
	}
	if e.Cause != nil {
		h.SetBodyString(e.Cause.Error())
	}
}

// decodeAnswer returns the dispatcher's answer or error.
func decodeAnswer(h *fasthttp.Response) (work.Answer, error) {
	verdict := result.ParseVerdict(string(h.Header.Peek(result.VerdictHeader)))
	reason := string(h.Header.Peek(reasonHeader))
	if verdict == result.Ran && reason == "" {
		return work.ReadResponse(h), nil
	}
	e := &result.Error{Verdict: verdict, Status: h.StatusCode(), Reason: reason}
	if reason == "" {
		// The answer is not from a dispatcher, so it does not tell whether the request ran.
		e.Verdict, e.Status, e.Reason = result.MayHaveRun, fasthttp.StatusBadGateway, ReasonBadAnswer
	}
	if ms, err := strconv.ParseInt(string(h.Header.Peek(retryAfterHeader)), 10, 32); err == nil {
		e.RetryAfter = time.Duration(ms) * time.Millisecond
	}
	return work.Answer{}, e
}
