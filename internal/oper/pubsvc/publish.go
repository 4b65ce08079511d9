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

// appendRetryInterval spares a log that may be slow because it is overloaded.
const appendRetryInterval = 200 * time.Millisecond

// PublishRequest holds tables to put in force.
type PublishRequest struct {
	Routes, Pools []byte
	BaseVersion   uint64 // version that the tables were built on, if HasBase
	HasBase       bool   // if not, the base is the version in force when Publish starts
}

// PublishResult describes a publication that was accepted, now or earlier.
type PublishResult struct {
	Version        uint64
	CurrentVersion uint64         // version in force; newer if other tables have replaced these since
	AlreadyInForce bool           // the tables were in force before Publish
	Warnings       []tables.Fault // warnings about the tables
}

// Publish checks the tables, appends them to the log and reads the log until the outcome is known. A request may be
// repeated after any outcome. Errors are *FaultsError, *ConflictError and *PlatformError.
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

// publicationID derives the id of a publication from its content, so that a repetition has the same id.
func publicationID(req PublishRequest) string {
	h := sha256.New()
	for _, part := range [][]byte{binary.BigEndian.AppendUint64(nil, req.BaseVersion), req.Routes, req.Pools} {
		h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		h.Write(part)
	}
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// findResizedPools returns a fault for each keyed pool whose number of slots would change. The first assignment fixes
// the number, so instances would accept such tables and then be unable to place the pool.
func findResizedPools(cfg *fold.Config, next *tables.Tables) []tables.Fault {
	old, _ := tables.Parse(cfg.Routes, cfg.Pools)
	if old == nil {
		return nil
	}
	var faults []tables.Fault
	for i := range next.Pools {
		pool := &next.Pools[i]
		if oldPool := old.Pool(pool.Name); oldPool != nil && oldPool.Keyed && pool.Keyed && oldPool.Slots != pool.Slots {
			msg := fmt.Sprintf("pool %q has %d slots in version %d; the number cannot change, so give the pool another name",
				pool.Name, oldPool.Slots, cfg.Version)
			faults = append(faults, tables.Fault{File: tables.PoolsFile, Message: msg})
		}
	}
	return faults
}

// appendUntilDecided retries the append until the fold holds this publication or another version. Duplicate records
// are harmless, since the fold recognises the id.
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
			appendErr = s.appendOnce(ctx, cfg, data)
			appended = appendErr == nil
			// After any failure but a refusal, the append may have taken effect.
			mayHaveAppended = mayHaveAppended || !isRefusal(appendErr)
		}
		// If the read fails, the next round continues at the record that the fold has reached.
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

// errNotVisible means that the log confirmed an append but does not return the record.
var errNotVisible = errors.New("the log confirmed the append but does not return the record")

// appendTimeout bounds one attempt. If an answer is lost, reading the log shows the outcome sooner than waiting.
const appendTimeout = 2 * time.Second

func (s *Service) appendOnce(ctx context.Context, cfg *fold.Config, data []byte) error {
	if s.NoteEntered != nil {
		s.NoteEntered(configStream, cfg.Era())
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := s.Append(ctx, configStream, data)
	return err
}

func isRefusal(err error) bool {
	status := new(logsvc.StatusError)
	return errors.As(err, &status)
}

// SetFileNames replaces the table names in faults by the file names that files maps them to.
func SetFileNames(faults []tables.Fault, files map[string]string) {
	for i := range faults {
		if name := files[faults[i].File]; name != "" {
			faults[i].File = name
		}
	}
}
