package fold_test

import (
	"fmt"
	"runtime"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/bramleycove/bramleycove/internal/place/fold"
	"github.com/bramleycove/bramleycove/internal/wire/record"
)

var poolSizes = []uint32{1024, 4096, 16384, 65536}

// filledPlacement returns a state with one pool in which neighbouring slots have different owners, the worst case for
// snapshots.
func filledPlacement(slots uint32) *fold.Placement {
	p := basePlacement()
	a := &record.Assign{Dc: "d1", Pool: "big", Term: 1, Slots: slots}
	for i := range slots {
		a.Changes = append(a.Changes, &record.Change{First: i, Last: i, Owner: fmt.Sprintf("server-%02d", i%20)})
	}
	p.Apply(4, &record.Record{Kind: &record.Record_Assign{Assign: a}})
	return p
}

// BenchmarkApply measures how long one record that moves one slot takes, by the size of the pool.
func BenchmarkApply(b *testing.B) {
	for _, n := range poolSizes {
		b.Run(fmt.Sprint("slots=", n), func(b *testing.B) {
			p := filledPlacement(n)
			offset := p.Offset()
			for b.Loop() {
				rec := &record.Record{Kind: &record.Record_Assign{Assign: &record.Assign{
					Dc: "d1", Pool: "big", Term: 1, Base: offset, Slots: n, Changes: []*record.Change{{First: 7, Last: 7, Owner: "server-00"}},
				}}}
				offset++
				if out := p.Apply(offset, rec); out != fold.Applied {
					b.Fatal(out)
				}
			}
		})
	}
}

// BenchmarkSnapshot measures how long State and its encoding take, by the size of the pool.
func BenchmarkSnapshot(b *testing.B) {
	for _, n := range poolSizes {
		b.Run(fmt.Sprint("slots=", n), func(b *testing.B) {
			p := filledPlacement(n)
			size := 0
			for b.Loop() {
				data, err := proto.Marshal(p.State())
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size)/float64(n), "encoded-B/slot")
		})
	}
}

// BenchmarkMemory measures how much memory a Placement retains for each slot.
func BenchmarkMemory(b *testing.B) {
	for _, n := range poolSizes {
		b.Run(fmt.Sprint("slots=", n), func(b *testing.B) {
			var grown uint64
			for b.Loop() {
				before := heapAlloc()
				p := filledPlacement(n)
				grown = heapAlloc() - before
				runtime.KeepAlive(p)
			}
			b.ReportMetric(float64(grown)/float64(n), "B/slot")
		})
	}
}

func heapAlloc() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
