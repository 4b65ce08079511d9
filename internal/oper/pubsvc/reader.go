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
	readLimit   = 32 // records a read; tables of 10,000 servers take about 2 MB
	window      = 16 // records at the end of a stream that are first searched for a snapshot
	readTimeout = 5 * time.Second
)

// errTrimmed means that records were trimmed before they could be read.
var errTrimmed = errors.New("records were trimmed before they were read")

// valid is the check that every instance applies to a publication.
func valid(routes, pools []byte) error {
	if _, faults := tables.Parse(routes, pools); jsonc.HasErrors(faults) {
		return &ErrFaults{Faults: faults}
	}
	return nil
}

// reader folds one stream up to its present end. Its functions act on a fold.
type reader struct {
	svc    *Service
	stream string
	whole  bool // start as far back as the stream allows
	offset func() uint64
	apply  func(offset uint64, rec *record.Record)
	adopt  func(s *record.Snapshot) bool
}

// config returns a reader of the config stream; seen gets each publication that the fold accepts.
func (s *Service) config(c *fold.Config, seen func(fold.Publication)) *reader {
	return &reader{
		svc: s, stream: configStream, whole: seen != nil, offset: c.Offset,
		apply: func(offset uint64, rec *record.Record) {
			if c.Apply(offset, rec, valid) == fold.Applied && seen != nil {
				seen(c.Publication)
			}
		},
		adopt: func(sn *record.Snapshot) bool {
			if sn.GetConfig() == nil || !c.Restore(sn.GetAsof(), sn.GetConfig()) {
				return false
			}
			if seen != nil {
				seen(c.Publication)
			}
			return true
		},
	}
}

func (s *Service) place(p *fold.Placement) *reader {
	return &reader{
		svc: s, stream: placeStream, offset: p.Offset,
		apply: func(offset uint64, rec *record.Record) { p.Apply(offset, rec) },
		adopt: func(sn *record.Snapshot) bool {
			return sn.GetPlace() != nil && p.Restore(sn.GetAsof(), sn.GetPlace())
		},
	}
}

// catchUp folds all records that the stream holds now.
func (r *reader) catchUp(ctx context.Context) error {
	if r.offset() == 0 {
		if err := r.begin(ctx); err != nil {
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

// begin finds the state to start from: the newest usable snapshot, so that a long stream need not be read, or the
// oldest, or none if nothing has been trimmed.
func (r *reader) begin(ctx context.Context) error {
	b, err := r.read(ctx, 1, 1)
	if err != nil {
		return err
	}
	if r.whole && b.First <= 1 {
		return nil
	}
	for step, end := uint64(window), b.Next; end > b.First; step *= 4 {
		start := b.First
		if !r.whole && end-b.First > step {
			start = end - step
		}
		snapshot, err := r.find(ctx, start, end)
		if err != nil {
			return err
		}
		if snapshot != nil && r.adopt(snapshot) {
			return nil
		}
		end = start
	}
	if b.First <= 1 {
		return nil
	}
	return fmt.Errorf("stream %q is trimmed below offset %d and holds no snapshot that covers the loss", r.stream, b.First)
}

// find returns the newest usable snapshot among the records from start on and before end, or the oldest for a reader
// of the whole stream, or nil.
func (r *reader) find(ctx context.Context, start, end uint64) (found *record.Snapshot, err error) {
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
			if found == nil || !r.whole {
				found = sn
			}
		}
		if next == start || r.whole && found != nil {
			break
		}
		start = next
	}
	return found, nil
}

// attempts bounds how often a reader starts anew when trimming overtakes it.
const attempts = 3

// Current returns the fold of the config stream as it is now.
func (s *Service) Current(ctx context.Context) (*fold.Config, error) {
	return s.history(ctx, nil)
}

// history folds the config stream and shows each accepted publication still retained to seen.
func (s *Service) history(ctx context.Context, seen func(fold.Publication)) (*fold.Config, error) {
	var err error
	for range attempts {
		c := new(fold.Config)
		if err = s.config(c, seen).catchUp(ctx); err == nil {
			return c, nil
		}
		if !errors.Is(err, errTrimmed) {
			break
		}
	}
	return nil, &ErrPlatform{Cause: err}
}

// Version returns one publication that the log still holds; 0 stands for the version in force.
func (s *Service) Version(ctx context.Context, version uint64) (fold.Publication, error) {
	var found fold.Publication
	if version == 0 {
		c, err := s.Current(ctx)
		if err != nil {
			return found, err
		}
		return c.Publication, nil
	}
	c, err := s.history(ctx, func(p fold.Publication) {
		if p.Version == version {
			found = p
		}
	})
	switch {
	case err != nil:
		return found, err
	case found.Version == 0:
		return found, &ErrVersion{Version: version, Current: c.Version}
	}
	return found, nil
}

// ErrVersion means that the log holds no accepted publication of that version.
type ErrVersion struct {
	Version, Current uint64
}

// Error names the version in force too.
func (e *ErrVersion) Error() string {
	return fmt.Sprintf("the log holds no accepted version %d; version %d is in force", e.Version, e.Current)
}

// Placement returns the fold of the place stream as it is now.
func (s *Service) Placement(ctx context.Context) (*fold.Placement, error) {
	var err error
	for range attempts {
		p := new(fold.Placement)
		if err = s.place(p).catchUp(ctx); err == nil {
			return p, nil
		}
		if !errors.Is(err, errTrimmed) {
			break
		}
	}
	return nil, &ErrPlatform{Cause: err}
}
