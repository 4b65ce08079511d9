package relay

import (
	"google.golang.org/protobuf/proto"

	"github.com/bramleycove/bramleycove/internal/place/fold"
	"github.com/bramleycove/bramleycove/internal/plat/logsvc"
	"github.com/bramleycove/bramleycove/internal/wire/record"
)

const (
	// maxKeptRecords spans many minutes of control records, so that a reader that switches to this tail finds the next
	// record it needs.
	maxKeptRecords = 4096
	// maxKeptBytes bounds the memory of one tail.
	maxKeptBytes = 8 << 20
	// maxBatchBytes bounds one batch, so that a reader that is far behind does not fill the link between regions.
	maxBatchBytes = 1 << 20
)

// recordBuffer holds the latest records of a stream. Their offsets are consecutive and end just before nextOffset.
type recordBuffer struct {
	records    []logsvc.Record
	bytes      int
	nextOffset uint64 // of the next record to add
}

func (r *recordBuffer) firstOffset() uint64 { return r.nextOffset - uint64(len(r.records)) }

func (r *recordBuffer) add(rec logsvc.Record) {
	r.records = append(r.records, rec)
	r.bytes += len(rec.Data)
	r.nextOffset = rec.Offset + 1
	for len(r.records) > 1 && (len(r.records) > maxKeptRecords || r.bytes > maxKeptBytes) {
		r.bytes -= len(r.records[0].Data)
		r.records[0].Data = nil
		r.records = r.records[1:]
	}
}

const (
	// snapshotTag is the first byte of an encoded Record with a snapshot, its only field: number 10, length-delimited.
	snapshotTag = 10<<3 | 2
	// minStripBytes is the size from which decoding a snapshot to strip its state is worthwhile.
	minStripBytes = 256
)

// stripSnapshotState removes the state from a snapshot and returns other records unchanged. States take megabytes for
// large pools, and readers of a tail already have one; instances without a state read the log.
func stripSnapshotState(data []byte) []byte {
	if len(data) < minStripBytes || data[0] != snapshotTag {
		return data
	}
	snap := fold.Decode(data).GetSnapshot()
	if snap == nil {
		return data
	}
	out, err := proto.Marshal(&record.Record{Kind: &record.Record_Snapshot{Snapshot: &record.Snapshot{Asof: snap.GetAsof()}}})
	if err != nil {
		return data
	}
	return out
}

func (r *recordBuffer) reset(next uint64) { *r = recordBuffer{nextOffset: next} }

// readBatch returns at most limit records, starting at offset from. The batch is empty if that record was dropped or
// has not arrived yet.
func (r *recordBuffer) readBatch(from uint64, limit int) logsvc.Batch {
	out := logsvc.Batch{First: r.firstOffset(), Next: r.nextOffset}
	if from < out.First || from >= out.Next {
		return out
	}
	tail := r.records[from-out.First:]
	n, bytes := 0, 0
	for n < len(tail) && n < limit && (n == 0 || bytes+len(tail[n].Data) <= maxBatchBytes) {
		bytes += len(tail[n].Data)
		n++
	}
	out.Records = append(out.Records, tail[:n]...)
	return out
}
