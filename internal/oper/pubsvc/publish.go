package pubsvc

import (
	"bytes"
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bramleycove/bramleycove/internal/oper/tables"
	"github.com/bramleycove/bramleycove/internal/place/fold"
	"github.com/bramleycove/bramleycove/internal/plat/logsvc"
	"github.com/bramleycove/bramleycove/internal/wire/record"
)

// retryPause separates attempts on the log, which may be slow because it is overloaded.
const retryPause = 200 * time.Millisecond

// Request asks to put tables in force.
type Request struct {
	Routes, Pools []byte
	Base          uint64 // version that the tables were built on, if Based
	Based         bool   // false: whatever version is in force when Publish starts
}

// Accepted is the outcome of a publication that is, or was, in force.
type Accepted struct {
	Version   uint64
	Current   uint64         // version in force, newer if an earlier publication was repeated after another one
	Unchanged bool           // the tables were in force before
	Warnings  []tables.Fault // of the tables
}

// Publish checks the tables, appends them to the log and reads on until the log has decided. It may be called
// again with the same request after any outcome. Errors are *ErrFaults, *ErrLost and *ErrPlatform.
func (s *Service) Publish(ctx context.Context, req Request) (Accepted, error) {
	next, faults := tables.Parse(req.Routes, req.Pools)
	if next == nil {
		return Accepted{}, &ErrFaults{Faults: faults}
	}
	c, err := s.Current(ctx)
	if err != nil {
		return Accepted{}, err
	}
	if !req.Based {
		req.Base = c.Version
	}
	id := identity(req)
	if version, ok := c.AcceptedVersion(id); ok {
		return Accepted{Version: version, Current: c.Version, Unchanged: version == c.Version, Warnings: faults}, nil
	}
	if c.Version != 0 && bytes.Equal(c.Routes, req.Routes) && bytes.Equal(c.Pools, req.Pools) {
		return Accepted{Version: c.Version, Current: c.Version, Unchanged: true, Warnings: faults}, nil
	}
	if c.Version != req.Base {
		return Accepted{}, &ErrLost{Base: req.Base, Winner: c.Version}
	}
	if resized := resized(c, next); len(resized) > 0 {
		return Accepted{}, &ErrFaults{Faults: append(faults, resized...)}
	}
	version, err := s.append(ctx, c, req, id)
	return Accepted{Version: version, Current: c.Version, Warnings: faults}, err
}

// identity derives the id of a publication from what it says, so that a repetition is recognised as one.
func identity(req Request) string {
	h := sha256.New()
	for _, part := range [][]byte{binary.BigEndian.AppendUint64(nil, req.Base), req.Routes, req.Pools} {
		h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		h.Write(part)
	}
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// resized finds keyed pools whose number of slots differs from the version in force. The number is fixed by the
// first assignment, so instances would accept such a table and then be unable to place the pool.
func resized(c *fold.Config, next *tables.Tables) []tables.Fault {
	old, _ := tables.Parse(c.Routes, c.Pools)
	if old == nil {
		return nil
	}
	var faults []tables.Fault
	for i := range next.Pools {
		pool := &next.Pools[i]
		if was := old.Pool(pool.Name); was != nil && was.Keyed && pool.Keyed && was.Slots != pool.Slots {
			msg := fmt.Sprintf("pool %q has %d slots in version %d; the number cannot change, so give the pool another name",
				pool.Name, was.Slots, c.Version)
			faults = append(faults, tables.Fault{File: tables.PoolsFile, Message: msg})
		}
	}
	return faults
}

// append adds the publication to the log until the fold shows it or another version. Repeating it is harmless: the
// fold recognises the id.
func (s *Service) append(ctx context.Context, c *fold.Config, req Request, id string) (uint64, error) {
	data, err := proto.Marshal(&record.Record{Kind: &record.Record_Publish{Publish: &record.Publish{
		Base: req.Base, Id: id, Routes: req.Routes, Pools: req.Pools,
	}}})
	if err != nil {
		return 0, err
	}
	var failed error
	for appended, unknown := false, false; ; {
		if !appended {
			failed = s.appendOnce(ctx, data)
			appended = failed == nil
			// Any failure but a refusal leaves open whether the append took effect.
			unknown = unknown || !refused(failed)
		}
		// After a read that failed the fold is at an earlier record; the next round reads on from there.
		readErr := s.config(c, nil).catchUp(ctx)
		if version, ok := c.AcceptedVersion(id); ok {
			return version, nil
		}
		if c.Version != req.Base {
			return 0, &ErrLost{Base: req.Base, Winner: c.Version}
		}
		if err := s.Pause(ctx, retryPause); err != nil {
			return 0, &ErrPlatform{Cause: cmp.Or(failed, readErr, errHidden), Unknown: unknown}
		}
	}
}

// errHidden is reported when the log confirms an append and then does not show it.
var errHidden = errors.New("the log has confirmed the append but does not show it")

// appendTimeout bounds one attempt. When an answer is lost, reading the log settles the outcome sooner than waiting.
const appendTimeout = 2 * time.Second

func (s *Service) appendOnce(ctx context.Context, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := s.Append(ctx, configStream, data)
	return err
}

func refused(err error) bool {
	status := new(logsvc.StatusError)
	return errors.As(err, &status)
}

// Rename replaces the names of the tables in faults by those of files.
func Rename(faults []tables.Fault, files map[string]string) {
	for i := range faults {
		if name := files[faults[i].File]; name != "" {
			faults[i].File = name
		}
	}
}
