// Package pubsvc publishes versions of the tables and answers questions about the published ones. It works from
// the log alone; the instances are asked only whether they have a version in force.
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

// Service is the publishing engine. Its fields are the services that it needs; all must be set.
type Service struct {
	Append func(ctx context.Context, stream string, data []byte) (uint64, error)
	Read   func(ctx context.Context, stream string, from uint64, wait time.Duration, limit int) (logsvc.Batch, error)
	List   func(ctx context.Context) (roster.List, error)
	// Status asks the instance whose peer listener is at addr.
	Status func(ctx context.Context, addr netip.AddrPort) (opapi.Status, error)
	// Pause waits between attempts and returns early with the error of ctx.
	Pause func(ctx context.Context, d time.Duration) error
}

// New returns a service on the platform's log and list.
func New(logAddr, list netip.AddrPort) *Service {
	client := logsvc.New(logAddr)
	return &Service{
		Append: client.Append,
		Read:   client.Read,
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

// FaultsError means that files are invalid. Nothing was published.
type FaultsError struct {
	Faults []tables.Fault
}

// Error counts the faults, without warnings.
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

// ConflictError means that another version was accepted on the same base. The tables are not in force.
type ConflictError struct {
	BaseVersion    uint64 // version that the tables were built on
	CurrentVersion uint64 // version in force
}

// Error names the version that is in force.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("built on version %d, but version %d is in force", e.BaseVersion, e.CurrentVersion)
}

// PlatformError means that the log or the list did not answer. Unknown is set when the tables may yet be accepted;
// publishing them again with the same base settles it and cannot publish them twice.
type PlatformError struct {
	Cause          error
	OutcomeUnknown bool
}

// Error says whether the outcome is open.
func (e *PlatformError) Error() string {
	if e.OutcomeUnknown {
		return fmt.Sprintf("it is not known whether the tables were accepted; publish them again on the same base: %v", e.Cause)
	}
	return fmt.Sprintf("the platform did not answer: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *PlatformError) Unwrap() error { return e.Cause }
