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

// appendRetryInterval separates attempts on the log, which may be slow because it is overloaded.
const appendRetryInterval = 200 * time.Millisecond

// PublishRequest asks to put tables in force.
type PublishRequest struct {
	Routes, Pools []byte
	BaseVersion   uint64 // version that the tables were built on, if Based
	HasBase       bool   // false: whatever version is in force when Publish starts
}

// PublishResult is the outcome of a publication that is, or was, in force.
type PublishResult struct {
	Version        uint64
	CurrentVersion uint64         // version in force, newer if an earlier publication was repeated after another one
	AlreadyInForce bool           // the tables were in force before
	Warnings       []tables.Fault // of the tables
}

// Publish checks the tables, appends them to the log and reads on until the log has decided. It may be called
// again with the same request after any outcome. Errors are *ErrFaults, *ErrLost and *ErrPlatform.
func (s *Service) Publish(ctx context.Context, req PublishRequest) (PublishResult, error) {
	next, faults := tables.Parse(req.Routes, req.Pools)
	if next == nil {
		return PublishResult{}, &FaultsError{Faults: faults}
	}
	cfg, err := s.CurrentConfig(ctx)
	if err != nil {
		return PublishResult{}, err
	}
	if !req.HasBase {
		req.BaseVersion = cfg.Version
	}
	id := publicationID(req)
	if version, ok := cfg.AcceptedVersion(id); ok {
		return PublishResult{Version: version, CurrentVersion: cfg.Version, AlreadyInForce: version == cfg.Version, Warnings: faults}, nil
	}
	if cfg.Version != 0 && bytes.Equal(cfg.Routes, req.Routes) && bytes.Equal(cfg.Pools, req.Pools) {
		return PublishResult{Version: cfg.Version, CurrentVersion: cfg.Version, AlreadyInForce: true, Warnings: faults}, nil
	}
	if cfg.Version != req.BaseVersion {
		return PublishResult{}, &ConflictError{BaseVersion: req.BaseVersion, CurrentVersion: cfg.Version}
	}
	if resized := findResizedPools(cfg, next); len(resized) > 0 {
		return PublishResult{}, &FaultsError{Faults: append(faults, resized...)}
	}
	version, err := s.appendUntilDecided(ctx, cfg, req, id)
	return PublishResult{Version: version, CurrentVersion: cfg.Version, Warnings: faults}, err
}

// publicationID derives the id of a publication from what it says, so that a repetition is recognised as one.
func publicationID(req PublishRequest) string {
	h := sha256.New()
	for _, part := range [][]byte{binary.BigEndian.AppendUint64(nil, req.BaseVersion), req.Routes, req.Pools} {
		h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		h.Write(part)
	}
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// findResizedPools finds keyed pools whose number of slots differs from the version in force. The number is fixed by the
// first assignment, so instances would accept such a table and then be unable to place the pool.
func findResizedPools(cfg *fold.Config, next *tables.Tables) []tables.Fault {
	old, _ := tables.Parse(cfg.Routes, cfg.Pools)
	if old == nil {
		return nil
	}
	var faults []tables.Fault
	for i := range next.Pools {
		pool := &next.Pools[i]
		if was := old.Pool(pool.Name); was != nil && was.Keyed && pool.Keyed && was.Slots != pool.Slots {
			msg := fmt.Sprintf("pool %q has %d slots in version %d; the number cannot change, so give the pool another name",
				pool.Name, was.Slots, cfg.Version)
			faults = append(faults, tables.Fault{File: tables.PoolsFile, Message: msg})
		}
	}
	return faults
}

// appendUntilDecided adds the publication to the log until the fold shows it or another version. Repeating it is harmless: the
// fold recognises the id.
func (s *Service) appendUntilDecided(ctx context.Context, cfg *fold.Config, req PublishRequest, id string) (uint64, error) {
	data, err := proto.Marshal(&record.Record{Kind: &record.Record_Publish{Publish: &record.Publish{
		Base: req.BaseVersion, Id: id, Routes: req.Routes, Pools: req.Pools,
	}}})
	if err != nil {
		return 0, err
	}
	var appendErr error
	for appended, mayHaveAppended := false, false; ; {
		if !appended {
			appendErr = s.appendOnce(ctx, data)
			appended = appendErr == nil
			// Any failure but a refusal leaves open whether the append took effect.
			mayHaveAppended = mayHaveAppended || !isRefusal(appendErr)
		}
		// After a read that failed the fold is at an earlier record; the next round reads on from there.
		readErr := s.configReader(cfg, nil).catchUp(ctx)
		if version, ok := cfg.AcceptedVersion(id); ok {
			return version, nil
		}
		if cfg.Version != req.BaseVersion {
			return 0, &ConflictError{BaseVersion: req.BaseVersion, CurrentVersion: cfg.Version}
		}
		if err := s.Pause(ctx, appendRetryInterval); err != nil {
			return 0, &PlatformError{Cause: cmp.Or(appendErr, readErr, errNotVisible), OutcomeUnknown: mayHaveAppended}
		}
	}
}

// errNotVisible is reported when the log confirms an append and then does not show it.
var errNotVisible = errors.New("the log has confirmed the append but does not show it")

// appendTimeout bounds one attempt. When an answer is lost, reading the log settles the outcome sooner than waiting.
const appendTimeout = 2 * time.Second

func (s *Service) appendOnce(ctx context.Context, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := s.Append(ctx, configStream, data)
	return err
}

func isRefusal(err error) bool {
	status := new(logsvc.StatusError)
	return errors.As(err, &status)
}

// SetFileNames replaces the names of the tables in faults by those of files.
func SetFileNames(faults []tables.Fault, files map[string]string) {
	for i := range faults {
		if name := files[faults[i].File]; name != "" {
			faults[i].File = name
		}
	}
}
