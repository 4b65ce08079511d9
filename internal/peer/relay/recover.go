package relay

import (
	"bytes"
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bramleycove/bramleycove/internal/place/fold"
	"github.com/bramleycove/bramleycove/internal/plat/logsvc"
)

var (
	errDiverged = errors.New("the log was restored and holds other records than were delivered")
	errLost     = errors.New("the log was restored and lacks records that are not kept here")
)

const (
	// eraDelay is how long after a restoration no new records are appended. Readers find the log again within 3 s, the longest
	// pause between their attempts.
	eraDelay = 4 * time.Second
	// recoveryTimeout bounds the comparison with a restored log and the appends of what it has lost.
	recoveryTimeout = 10 * time.Second
)

// checkEras compares what was delivered with a log that was restored since the tail last read it, and appends again what the log
// has lost. eras are those of an answer of src. An error means that the answer must not be used.
func (t *Tail) checkEras(ctx context.Context, src Source, eras []logsvc.Era) error {
	ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	lost, newest := logsvc.FirstLost(eras, t.era)
	want := t.Offset() + 1
	if newest == t.era || want <= lost {
		t.era = newest
		return nil
	}
	next, err := t.compare(ctx, src, lost, want)
	if err != nil {
		return err
	}
	for next < want {
		records := t.keptRecords(next)
		if len(records) == 0 || t.cfg.AppendAgain == nil {
			return errLost
		}
		if err := t.cfg.AppendAgain(ctx, next, records); err != nil {
			return errors.Wrapf(err, "append %d records again from offset %d on", len(records), next)
		}
		next += uint64(len(records))
	}
	t.era = newest
	return nil
}

// beginEra appends the record of the era in which the log was found to hold what was delivered, once other readers have had the
// time to append again what they alone know. New records of any instance follow it.
func (t *Tail) beginEra(ctx context.Context, age time.Duration) error {
	if t.begunEra >= t.era || age < eraDelay || t.cfg.BeginEra == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	if err := t.cfg.BeginEra(ctx, t.era); err != nil {
		return errors.Wrapf(err, "begin era %d", t.era)
	}
	t.begunEra = t.era
	return nil
}

// compare checks the records of the log from offset from on against those delivered before offset until. It returns the first offset
// that the log does not hold, or until.
func (t *Tail) compare(ctx context.Context, src Source, from, until uint64) (next uint64, err error) {
	for from < until {
		batch, err := src.Read(ctx, from, 0, readLimit)
		if err != nil {
			return 0, err
		}
		for _, rec := range batch.Records {
			if rec.Offset >= until {
				return until, nil
			}
			mine, kept := t.keptRecord(rec.Offset)
			// New records come after those that were appended again, and the first of them begins the era.
			if fold.EraOf(rec.Data) > t.era || kept && !bytes.Equal(mine, stripSnapshotState(rec.Data)) {
				if t.cfg.OnDiverged != nil {
					t.cfg.OnDiverged(rec.Offset)
				}
				return 0, errDiverged
			}
			from = rec.Offset + 1
		}
		if from = max(from, batch.First); len(batch.Records) == 0 && from >= batch.Next {
			break
		}
	}
	return min(from, until), nil
}

// keptRecord returns the record at offset if the tail still has it.
func (t *Tail) keptRecord(offset uint64) ([]byte, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	batch := t.buffer.readBatch(offset, 1)
	if len(batch.Records) == 0 {
		return nil, false
	}
	return batch.Records[0].Data, true
}

// keptRecords returns records from offset on, as many as fit in a call.
func (t *Tail) keptRecords(offset uint64) (out [][]byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, rec := range t.buffer.readBatch(offset, maxKeptRecords).Records {
		out = append(out, rec.Data)
	}
	return out
}
