package pubsvc

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/bramleycove/bramleycove/internal/oper/jsonc"
	"github.com/bramleycove/bramleycove/internal/oper/tables"
	"github.com/bramleycove/bramleycove/internal/place/fold"
	"github.com/bramleycove/bramleycove/internal/plat/logsvc"
	"github.com/bramleycove/bramleycove/internal/wire/record"
)

const (
	readLimit            = 32 // records per read; tables of 10,000 servers take about 2 MB
	snapshotSearchWindow = 16 // records at the end of a stream that are searched first for a snapshot
	readTimeout          = 5 * time.Second
)

// errTrimmed means that the stream was trimmed past the reader's position.
var errTrimmed = errors.New("records were trimmed before they were read")

// checkTables applies the check that every instance applies to a publication.
func checkTables(routes, pools []byte) error {
	if _, faults := tables.Parse(routes, pools); jsonc.HasErrors(faults) {
		return &FaultsError{Faults: faults}
	}
	return nil
}

// reader folds one stream up to its current end. Its function fields act on the fold.
type reader struct {
	svc        *Service
	stream     string
	fromOldest bool // start at the oldest usable snapshot or record
	offset     func() uint64
	apply      func(offset uint64, rec *record.Record)
	restore    func(s *record.Snapshot) bool
}

// configReader returns a reader of the config stream. onAccepted, if set, gets each accepted publication still
// retained.
func (s *Service) configReader(c *fold.Config, onAccepted func(fold.Publication)) *reader {
	return &reader{
		svc: s, stream: configStream, fromOldest: onAccepted != nil, offset: c.Offset,
		apply: func(offset uint64, rec *record.Record) {
			if c.Apply(offset, rec, checkTables) == fold.Applied && onAccepted != nil {
				onAccepted(c.Publication)
			}
		},
		restore: func(sn *record.Snapshot) bool {
			if sn.GetConfig() == nil || !c.Restore(sn.GetAsof(), sn.GetConfig()) {
				return false
			}
			if onAccepted != nil {
				onAccepted(c.Publication)
			}
			return true
		},
	}
}

func (s *Service) placeReader(p *fold.Placement) *reader {
	return &reader{
		svc: s, stream: placeStream, offset: p.Offset,
		apply: func(offset uint64, rec *record.Record) { p.Apply(offset, rec) },
		restore: func(sn *record.Snapshot) bool {
			return sn.GetPlace() != nil && p.Restore(sn.GetAsof(), sn.GetPlace())
		},
	}
}

// catchUp folds all records up to the end of the stream.
func (r *reader) catchUp(ctx context.Context) error {
	if r.offset() == 0 {
		if err := r.restoreSnapshot(ctx); err != nil {
			return err
		}
	}
	for {
		b, err := r.read(ctx, r.offset()+1, readLimit)
		if err != nil {
			return err
		}
		if fold.HasGap(r.offset(), b.First) {
			return errTrimmed
		}
		for _, rec := range b.Records {
			r.apply(rec.Offset, fold.Decode(rec.Data))
		}
		if r.offset()+1 >= b.Next {
			return nil
		}
		if len(b.Records) == 0 {
			return fmt.Errorf("stream %q ends at offset %d, but its next offset is %d", r.stream, r.offset(), b.Next)
		}
	}
}

func (r *reader) read(ctx context.Context, from uint64, limit int) (logsvc.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return r.svc.Read(ctx, r.stream, from, 0, limit)
}

// restoreSnapshot sets the fold to the newest usable snapshot, so that a long stream need not be read, or with
// fromOldest to the oldest. The fold stays empty if it can start at the first record.
func (r *reader) restoreSnapshot(ctx context.Context) error {
	b, err := r.read(ctx, 1, 1)
	if err != nil {
		return err
	}
	if r.fromOldest && b.First <= 1 {
		return nil
	}
	for step, end := uint64(snapshotSearchWindow), b.Next; end > b.First; step *= 4 {
		start := b.First
		if !r.fromOldest && end-b.First > step {
			start = end - step
		}
		snapshot, err := r.findSnapshot(ctx, start, end)
		if err != nil {
			return err
		}
		if snapshot != nil && r.restore(snapshot) {
			return nil
		}
		end = start
	}
	if b.First <= 1 {
		return nil
	}
	return fmt.Errorf("stream %q is trimmed below offset %d and holds no snapshot that covers the trimmed records", r.stream, b.First)
}

// findSnapshot returns the newest usable snapshot at offsets from start to end-1, or with fromOldest the oldest, or
// nil.
func (r *reader) findSnapshot(ctx context.Context, start, end uint64) (found *record.Snapshot, err error) {
	for start < end {
		b, err := r.read(ctx, start, readLimit)
		if err != nil {
			return nil, err
		}
		next := max(start, b.First)
		for _, rec := range b.Records {
			next = rec.Offset + 1
			sn := fold.Decode(rec.Data).GetSnapshot()
			if sn == nil || rec.Offset >= end || sn.GetAsof() >= rec.Offset || !fold.SnapshotUsable(sn.GetAsof(), b.First) {
				continue
			}
			if found == nil || !r.fromOldest {
				found = sn
			}
		}
		if next == start || r.fromOldest && found != nil {
			break
		}
		start = next
	}
	return found, nil
}

// maxReadAttempts bounds how often a read starts again because records were trimmed during it.
const maxReadAttempts = 3

// CurrentConfig folds the config stream up to its end.
func (s *Service) CurrentConfig(ctx context.Context) (*fold.Config, error) {
	return s.foldConfig(ctx, nil)
}

// foldConfig folds the config stream; onAccepted is as for configReader.
func (s *Service) foldConfig(ctx context.Context, onAccepted func(fold.Publication)) (*fold.Config, error) {
	var err error
	for range maxReadAttempts {
		c := new(fold.Config)
		if err = s.configReader(c, onAccepted).catchUp(ctx); err == nil {
			return c, nil
		}
		if !errors.Is(err, errTrimmed) {
			break
		}
	}
	return nil, &PlatformError{Cause: err}
}

// PublicationAt returns the accepted publication of a version; 0 stands for the version in force. Errors are
// *VersionNotFoundError and *PlatformError.
func (s *Service) PublicationAt(ctx context.Context, version uint64) (fold.Publication, error) {
	var found fold.Publication
	if version == 0 {
		c, err := s.CurrentConfig(ctx)
		if err != nil {
			return found, err
		}
		return c.Publication, nil
	}
	c, err := s.foldConfig(ctx, func(p fold.Publication) {
		if p.Version == version {
			found = p
		}
	})
	switch {
	case err != nil:
		return found, err
	case found.Version == 0:
		return found, &VersionNotFoundError{Version: version, Current: c.Version}
	}
	return found, nil
}

// VersionNotFoundError means that the log holds no accepted publication of Version. Current is in force.
type VersionNotFoundError struct {
	Version, Current uint64
}

// Error names both versions.
func (e *VersionNotFoundError) Error() string {
	return fmt.Sprintf("the log holds no accepted version %d; version %d is in force", e.Version, e.Current)
}

// CurrentPlacement folds the place stream up to its end.
func (s *Service) CurrentPlacement(ctx context.Context) (*fold.Placement, error) {
	var err error
	for range maxReadAttempts {
		p := new(fold.Placement)
		if err = s.placeReader(p).catchUp(ctx); err == nil {
			return p, nil
		}
		if !errors.Is(err, errTrimmed) {
			break
		}
	}
	return nil, &PlatformError{Cause: err}
}
