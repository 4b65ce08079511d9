// Package result defines the verdict of a request: whether a backend server may have executed it. Every error on the
// request path has one.
package result

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Verdict says whether a backend server may have executed a request. The zero value is MayHaveRun, so that a
// verdict that was never set cannot permit a retry.
type Verdict uint8

const (
	// MayHaveRun means that the request was sent and its outcome is unknown.
	MayHaveRun Verdict = iota
	// NotRun means that no server has executed the request or ever will.
	NotRun
	// Ran means that a server executed the request and its whole answer is known.
	Ran
)

// VerdictHeader is the response header that tells the caller the verdict.
const VerdictHeader = "Bramleycove-Verdict"

// String returns the value for VerdictHeader: "not-run", "may-have-run" or "ran".
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not-run"
	case Ran:
		return "ran"
	default:
		return "may-have-run"
	}
}

// ParseVerdict returns the verdict that s names, MayHaveRun if s names none.
func ParseVerdict(s string) Verdict {
	switch s {
	case NotRun.String():
		return NotRun
	case Ran.String():
		return Ran
	default:
		return MayHaveRun
	}
}

// Error describes a failed request. Status is the HTTP status for the caller; RetryAfter is zero if the caller is not
// told when to retry.
type Error struct {
	Verdict    Verdict
	Status     int
	Reason     string // short and stable, for logs and metrics, for example "queue-full"
	RetryAfter time.Duration
	Cause      error // may be nil
}

// Error returns reason, verdict and cause in one line.
func (e *Error) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("%s (%s)", e.Reason, e.Verdict)
	}
	return fmt.Sprintf("%s (%s): %v", e.Reason, e.Verdict, e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// FromError returns the *Error in the chain of err. If there is none, it returns an Error with MayHaveRun and status 502,
// since nothing is known about err.
func FromError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Verdict: MayHaveRun, Status: 502, Reason: "internal", Cause: err}
}
