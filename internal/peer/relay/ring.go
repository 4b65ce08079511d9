package relay

import (
	"google.golang.org/protobuf/proto"

	"github.com/bramleycove/bramleycove/internal/place/fold"
	"github.com/bramleycove/bramleycove/internal/plat/logsvc"
	"github.com/bramleycove/bramleycove/internal/wire/record"
)

const (
	// keepRecords is how many records a tail keeps for its readers. It spans many minutes of control records, so a
	// reader that changes its source finds its place.
	keepRecords = 4096
	// keepBytes bounds the memory of one tail.
	keepBytes = 8 << 20
	// batchBytes bounds one answer, so that a reader that is far behind does not fill the link between regions.
	batchBytes = 1 << 20
)

// ring holds the latest records of a stream, consecutive and ending before next.
type ring struct {
	records []logsvc.Record
	bytes   int
	next    uint64 // offset wanted next
}

func (r *ring) first() uint64 { return r.next - uint64(len(r.records)) }

func (r *ring) add(rec logsvc.Record) {
	r.records = append(r.records, rec)
	r.bytes += len(rec.Data)
	r.next = rec.Offset + 1
	for len(r.records) > 1 && (len(r.records) > keepRecords || r.bytes > keepBytes) {
		r.bytes -= len(r.records[0].Data)
		r.records[0].Data = nil
		r.records = r.records[1:]
	}
}

const (
	// snapshotTag is the first byte of an encoded Record of that kind, which has no other field: number 10 with a length.
	snapshotTag = 10<<3 | 2
	// slimAbove is the size in bytes from which a snapshot is worth being decoded.
	slimAbove = 256
)

// slim returns a record as readers get it. Snapshots come without their state, which takes megabytes for large pools:
// readers of a tail have a state, so that snapshots change nothing for them but the offset up to which one exists.
// Instances without a state read snapshots from the log.
func slim(data []byte) []byte {
	if len(data) < slimAbove || data[0] != snapshotTag {
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

func (r *ring) reset(next uint64) { *r = ring{next: next} }

// batch returns at most limit records from offset from on. It is without records when from was dropped, or has not
// arrived yet.
func (r *ring) batch(from uint64, limit int) logsvc.Batch {
	out := logsvc.Batch{First: r.first(), Next: r.next}
	if from < out.First || from >= out.Next {
		return out
	}
	tail := r.records[from-out.First:]
	n, bytes := 0, 0
	for n < len(tail) && n < limit && (n == 0 || bytes+len(tail[n].Data) <= batchBytes) {
		bytes += len(tail[n].Data)
		n++
	}
	out.Records = append(out.Records, tail[:n]...)
	return out
}
