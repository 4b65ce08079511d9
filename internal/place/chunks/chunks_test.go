package chunks_test

import (
	"fmt"
	"reflect"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/bramleycove/bramleycove/internal/place/chunks"
	"github.com/bramleycove/bramleycove/internal/place/spans"
	"github.com/bramleycove/bramleycove/internal/wire/sitepb"
)

// Guards against owners that differ after encoding and decoding, and against new records for chunks that did not change.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var m spans.Map
		recorded := make(map[string]*sitepb.Owners)
		for i := range rapid.IntRange(1, 12).Draw(t, "steps") {
			a := rapid.Uint16().Draw(t, "first")
			b := rapid.Uint16Range(a, spans.Last).Draw(t, "last")
			if rapid.IntRange(0, 4).Draw(t, "cut") == 0 {
				m = m.Remove(a, b)
			} else {
				m = m.Assign(spans.Span{First: a, Last: b, Owner: spans.Owner{Server: fmt.Sprint("s", i%4), StartMs: int64(i)}, Fence: uint64(i + 1)})
			}
			changed, err := chunks.EncodeChanged(recorded, map[string]spans.Map{"p": m}, uint64(i+1))
			if err != nil {
				t.Fatal(err)
			}
			for key, value := range changed {
				o := new(sitepb.Owners)
				if err := proto.Unmarshal(value, o); err != nil {
					t.Fatal(err)
				}
				recorded[key] = o
			}
			if got := chunks.Decode(recorded)["p"]; !reflect.DeepEqual(got, m) && len(got)+len(m) > 0 {
				t.Fatalf("decoded %v, encoded %v", got, m)
			}
			if again, err := chunks.EncodeChanged(recorded, map[string]spans.Map{"p": m}, 99); err != nil || len(again) != 0 {
				t.Fatalf("%d unchanged chunks encoded again, error %v", len(again), err)
			}
		}
	})
}

// Guards against a panic or an invalid span when decoding records of other writers.
func FuzzDecode(f *testing.F) {
	f.Add([]byte{1, 2}, uint32(65535), uint32(9))
	f.Fuzz(func(t *testing.T, data []byte, first, width uint32) {
		o := &sitepb.Owners{Pool: "p", First: first, Widths: []uint32{width, 1}, Places: []uint32{1, 7}, Fences: []uint64{1, 2}, Owners: []*sitepb.Owner{{Server: "s"}}}
		_ = proto.Unmarshal(data, o) // any message will do
		for pool, m := range chunks.Decode(map[string]*sitepb.Owners{"k": o}) {
			for _, s := range m {
				if s.First > s.Last {
					t.Errorf("%s: %+v", pool, s)
				}
			}
		}
	})
}
