package once_test

import (
	"encoding/binary"
	"fmt"
	"runtime"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/bramleycove/bramleycove/internal/flow/once"
	"github.com/bramleycove/bramleycove/internal/flow/result"
	"github.com/bramleycove/bramleycove/internal/wire/record"
)

// encodeClaimAndDone returns a batch of one claim and its outcome with an answer of body bytes.
func encodeClaimAndDone(b *testing.B, n uint64, body int) []byte {
	var id once.Identity
	binary.BigEndian.PutUint64(id[:], n)
	claim := fmt.Sprintf("instance-07-5f3a/%d/86400", n)
	batch := &record.Batch{Records: []*record.Record{
		{Kind: &record.Record_Claim{Claim: &record.Claim{Identity: id[:], Claim: claim, Instance: "instance-07-5f3a", At: int64(n / 100)}}},
		{Kind: &record.Record_Done{Done: &record.Done{
			Identity: id[:], Claim: claim, Verdict: uint32(result.Ran), Answer: &record.Answer{Status: 200, Body: make([]byte, body)},
		}}},
	}}
	data, err := proto.Marshal(&record.Record{Kind: &record.Record_Batch{Batch: batch}})
	if err != nil {
		b.Fatal(err)
	}
	return data
}

// encodedAhead is how many batches are encoded before the timer starts: starting it takes longer than applying one batch.
const encodedAhead = 1000

// BenchmarkLedger measures the time to apply a claim with its outcome, and the memory retained, by the number of claims
// within the window and the size of the answers.
func BenchmarkLedger(b *testing.B) {
	for _, body := range []int{0, 1024} {
		for _, n := range []uint64{10_000, 25_000, 50_000, 100_000} {
			b.Run(fmt.Sprintf("answer=%d/claims=%d", body, n), func(b *testing.B) {
				var grown uint64
				for b.Loop() {
					b.StopTimer()
					before := heapBytes()
					led := once.New(once.Config{Instance: "x"})
					for i := uint64(0); i < n; i += encodedAhead {
						var data [encodedAhead][]byte
						for k := range data {
							data[k] = encodeClaimAndDone(b, i+uint64(k), body)
						}
						b.StartTimer()
						for k := range data {
							led.Apply(i+uint64(k)+1, data[k])
						}
						b.StopTimer()
					}
					grown = heapBytes() - before
					runtime.KeepAlive(led)
					b.StartTimer()
				}
				b.ReportMetric(float64(grown)/float64(n), "B/claim")
				b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/claim")
			})
		}
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
