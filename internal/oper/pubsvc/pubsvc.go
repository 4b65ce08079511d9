// Package pubsvc publishes versions of the tables and reads the published ones. It needs only the log for this;
// instances are asked only whether they have a version in force.
package pubsvc

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/bramleycove/bramleycove/internal/oper/opapi"
	"github.com/bramleycove/bramleycove/internal/oper/tables"
	"github.com/bramleycove/bramleycove/internal/plat/logsvc"
	"github.com/bramleycove/bramleycove/internal/plat/roster"
)

// Streams of the log.
const (
	configStream = "config"
	placeStream  = "place"
)

// Service publishes tables and reads published ones. Its fields must be set unless they say otherwise.
type Service struct {
	Append func(ctx context.Context, stream string, data []byte) (uint64, error)
	Read   func(ctx context.Context, stream string, from uint64, wait time.Duration, limit int) (logsvc.Batch, error)
	List   func(ctx context.Context) (roster.List, error)
	// NoteEntered notes that a stream has the record of an era of the log. Append is refused before. May be nil.
	NoteEntered func(stream string, era uint64)
	// Status asks the instance whose peer listener is at addr.
	Status func(ctx context.Context, addr netip.AddrPort) (opapi.Status, error)
	// Pause waits for d, or returns the error of ctx when ctx ends earlier.
	Pause func(ctx context.Context, d time.Duration) error
}

// New returns a service that uses the log at logAddr and the instance list at list.
func New(logAddr, list netip.AddrPort) *Service {
	client := logsvc.New(logAddr)
	return &Service{
		Append: client.Append,
		Read:   client.Read, NoteEntered: client.NoteEntered,
		List:   roster.New(list).Fetch,
		Status: opapi.NewClient().Status,
		Pause:  pause,
	}
}

func pause(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// FaultsError means that tables or settings are invalid. Nothing was published.
type FaultsError struct {
	Faults []tables.Fault
}

// Error gives the number of faults, not counting warnings.
func (e *FaultsError) Error() string {
	n := 0
	for _, f := range e.Faults {
		if !f.Warning {
			n++
		}
	}
	if n == 1 {
		return "1 fault"
	}
	return fmt.Sprintf("%d faults", n)
}

// ConflictError means that the version in force is not the base of the tables. The tables are not in force.
type ConflictError struct {
	BaseVersion    uint64 // version that the tables were built on
	CurrentVersion uint64 // version in force
}

// Error names both versions.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("built on version %d, but version %d is in force", e.BaseVersion, e.CurrentVersion)
}

// PlatformError means that the log or the list could not be used. With OutcomeUnknown the tables may be accepted, now
// or later; publishing them again with the same base finds out and cannot publish them twice.
type PlatformError struct {
	Cause          error
	OutcomeUnknown bool
}

// Error says whether the outcome is unknown.
func (e *PlatformError) Error() string {
	if e.OutcomeUnknown {
		return fmt.Sprintf("it is not known whether the tables were accepted; publish them again on the same base: %v", e.Cause)
	}
	return fmt.Sprintf("the platform did not answer: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *PlatformError) Unwrap() error { return e.Cause }
