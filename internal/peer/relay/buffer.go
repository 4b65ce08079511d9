package relay

import (
	"google.golang.org/protobuf/proto"

	"github.com/bramleycove/bramleycove/internal/place/fold"
	"github.com/bramleycove/bramleycove/internal/plat/logsvc"
	"github.com/bramleycove/bramleycove/internal/wire/record"
)

const (
	// maxKeptRecords is how many records a tail keeps for its readers. It spans many minutes of control records, so a
	// reader that changes its source finds its place.
	maxKeptRecords = 4096
	// maxKeptBytes bounds the memory of one tail.
	maxKeptBytes = 8 << 20
	// maxBatchBytes bounds one answer, so that a reader that is far behind does not fill the link between regions.
	maxBatchBytes = 1 << 20
)

// recordBuffer holds the latest records of a stream, consecutive and ending before next.
type recordBuffer struct {
	records    []logsvc.Record
	bytes      int
	nextOffset uint64 // offset wanted next
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
	// snapshotTag is the first byte of an encoded Record of that kind, which has no other field: number 10 with a length.
	snapshotTag = 10<<3 | 2
	// minStripBytes is the size in bytes from which a snapshot is worth being decoded.
	minStripBytes = 256
)

// stripSnapshotState returns a record as readers get it. Snapshots come without their state, which takes megabytes for large pools:
// readers of a tail have a state, so that snapshots change nothing for them but the offset up to which one exists.
// Instances without a state read snapshots from the log.
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

// readBatch returns at most limit records from offset from on. It is without records when from was dropped, or has not
// arrived yet.
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
