package fold_test

import (
	"fmt"
	"math"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/bramleycove/bramleycove/internal/place/fold"
	"github.com/bramleycove/bramleycove/internal/wire/record"
)

var (
	dcGen      = rapid.SampledFrom([]string{"d1", "d2", "d3"})
	poolGen    = rapid.SampledFrom([]string{"p1", "p2"})
	extremeGen = rapid.SampledFrom([]uint64{0, 1, math.MaxUint32, math.MaxInt64 / 3, math.MaxInt64, math.MaxUint64})
)

// maybeCorrupt returns v, or sometimes a value that makes the record stale or damaged.
func maybeCorrupt(t *rapid.T, v uint64) uint64 {
	switch rapid.IntRange(0, 19).Draw(t, "off") {
	case 0:
		return v - 1
	case 1:
		return extremeGen.Draw(t, "odd")
	default:
		return v
	}
}

// drawRecord returns the bytes of a record that a process with the state p might append, mostly a valid one. The first
// four records give two data centres a controller.
func drawRecord(t *rapid.T, p *fold.Placement) []byte {
	if n := p.Offset(); n < 4 {
		dc := fmt.Sprint("d", 1+n%2)
		if n < 2 {
			return encode(t, &record.Record{Kind: &record.Record_Term{Term: &record.Term{Dc: dc, Holder: "i1", Witnesses: []string{"i1"}}}})
		}
		return encode(t, &record.Record{Kind: &record.Record_Ready{Ready: &record.Ready{Dc: dc, Term: 1 + n%2}}})
	}
	dc, pool := dcGen.Draw(t, "dc"), poolGen.Draw(t, "pool")
	term, base := maybeCorrupt(t, p.Cell(dc).Term), maybeCorrupt(t, p.Version(pool, dc))
	rec := new(record.Record)
	switch rapid.IntRange(0, 11).Draw(t, "kind") {
	case 0:
		rec.Kind = &record.Record_Term{Term: &record.Term{
			Dc: dc, Holder: rapid.SampledFrom([]string{"", "i1", "i2"}).Draw(t, "holder"), Base: term,
			Successors: []string{"i3"}, Witnesses: []string{"i1", "s1"}[:rapid.IntRange(0, 2).Draw(t, "witnesses")],
		}}
	case 1, 2, 3:
		rec.Kind = &record.Record_Ready{Ready: &record.Ready{Dc: dc, Term: term}}
	case 4:
		rec.Kind = &record.Record_Release{Release: &record.Release{
			Dc: dc, Pool: pool, Term: term, Base: base, Slots: rapid.SliceOfN(rapid.Uint32Range(0, 9), 0, 3).Draw(t, "slots"),
		}}
	case 5:
		from := dcGen.Draw(t, "from")
		rec.Kind = &record.Record_Seize{Seize: &record.Seize{
			Dc: dc, From: from, Pool: pool, Term: term, Base: maybeCorrupt(t, p.Version(pool, from)), Lost: rapid.Bool().Draw(t, "lost"),
		}}
	case 6:
		return rapid.SliceOfN(rapid.Byte(), 0, 20).Draw(t, "bytes")
	default:
		rec.Kind = &record.Record_Assign{Assign: drawAssign(t, dc, pool, term, base)}
	}
	return encode(t, rec)
}

func encode(t *rapid.T, m proto.Message) []byte {
	data, err := proto.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func drawAssign(t *rapid.T, dc, pool string, term, base uint64) *record.Assign {
	a := &record.Assign{
		Dc: dc, Pool: pool, Term: term, Base: base, Slots: 8,
		Yield: int64(maybeCorrupt(t, uint64(rapid.SampledFrom([]int{0, 3000}).Draw(t, "yield")))),
	}
	for range rapid.IntRange(0, 3).Draw(t, "changes") {
		first := rapid.Uint32Range(0, 7).Draw(t, "first")
		a.Changes = append(a.Changes, &record.Change{
			First: first, Last: first + rapid.Uint32Range(0, 2).Draw(t, "length"), Owner: fmt.Sprint("s", first%3),
			Token: maybeCorrupt(t, 0),
		})
	}
	return a
}

// restoreFrom gives a reader the state of another, as sent over the wire.
func restoreFrom(t *rapid.T, into, from *fold.Placement) {
	s := new(record.Place)
	if err := proto.Unmarshal(encode(t, from.State()), s); err != nil {
		t.Fatal(err)
	}
	if !into.Restore(from.Offset(), s) {
		t.Fatalf("state at %d was not restored by a reader at %d: %v", from.Offset(), into.Offset(), s)
	}
}

// Guards against readers that disagree about control and ownership because they started from different states, against
// tokens that decrease, and against slots whose home changes without a Release or Seize.
func TestReadersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var whole, snap, peer fold.Placement
		n := rapid.IntRange(1, 60).Draw(t, "records")
		lead := rapid.IntRange(0, n).Draw(t, "lead") // the peer applies the records up to this one before it restores a state
		from := rapid.IntRange(lead, n).Draw(t, "from")
		for i := 1; i <= n; i++ {
			data := drawRecord(t, &whole)
			before := map[string][]fold.Slot{"p1": whole.Slots("p1"), "p2": whole.Slots("p2")}
			out := whole.Apply(uint64(i), fold.Decode(data))
			for pool, slots := range before {
				checkSlots(t, fold.Decode(data), slots, whole.Slots(pool))
			}
			if i <= lead {
				peer.Apply(uint64(i), fold.Decode(data))
			}
			if i > from {
				for _, p := range []*fold.Placement{&snap, &peer} {
					if got := p.Apply(uint64(i), fold.Decode(data)); got != out {
						t.Fatalf("record %d: %v, but %v for a reader that started at %d: %v", i, out, got, from, fold.Decode(data))
					}
				}
			} else if i == from {
				restoreFrom(t, &snap, &whole)
				restoreFrom(t, &peer, &whole)
			}
		}
		for _, p := range []*fold.Placement{&snap, &peer} {
			if from > 0 && !proto.Equal(p.State(), whole.State()) {
				t.Fatalf("states differ:\n%v\n%v", p.State(), whole.State())
			}
			if y := whole.YieldAfter("p1", "d1"); from > 0 && p.YieldAfter("p1", "d1") != y {
				t.Fatalf("yield times differ: %v, %v", p.YieldAfter("p1", "d1"), y)
			}
			if lead > 0 && p.Restore(uint64(lead)-1, &record.Place{}) {
				t.Fatal("an older state was restored")
			}
		}
	})
}

func checkSlots(t *rapid.T, rec *record.Record, before, after []fold.Slot) {
	moves := rec.GetRelease() != nil || rec.GetSeize() != nil
	for i, s := range before {
		if after[i].Token < s.Token {
			t.Fatalf("token of slot %d decreased from %d to %d after %v", i, s.Token, after[i].Token, rec)
		}
		if s.DC != "" && after[i].DC != s.DC && !moves {
			t.Fatalf("home of slot %d changed from %q to %q after %v", i, s.DC, after[i].DC, rec)
		}
		if s.Owner != after[i].Owner && after[i].Owner != "" && after[i].Token <= s.Token {
			t.Fatalf("owner of slot %d changed without a higher token after %v", i, rec)
		}
	}
}

// Guards against a slot that cannot be assigned again because a damaged record gave it too high a token.
func TestSlotStaysAssignable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var p fold.Placement
		n := uint64(rapid.IntRange(1, 40).Draw(t, "records"))
		for i := range n {
			p.Apply(i+1, fold.Decode(drawRecord(t, &p)))
		}
		for _, pool := range []string{"p1", "p2"} {
			for i, s := range p.Slots(pool) {
				if s.Token >= fold.TokenFor(n+1) {
					t.Fatalf("slot %d has token %d, not below that of the next record", i, s.Token)
				}
			}
		}
	})
}

// Guards against versions that differ between readers or decrease, and against a publication that is accepted twice.
func TestConfigReadersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		valid := func(routes, _ []byte) error {
			if len(routes) == 0 {
				return fmt.Errorf("empty")
			}
			return nil
		}
		var whole, snap fold.Config
		n := rapid.IntRange(1, 150).Draw(t, "records")
		from := rapid.IntRange(1, n).Draw(t, "from")
		accepted := make(map[string]bool)
		for i := 1; i <= n; i++ {
			rec := &record.Record{Kind: &record.Record_Publish{Publish: &record.Publish{
				Base: maybeCorrupt(t, whole.Version), Id: rapid.StringOfN(rapid.RuneFrom([]rune("abc")), 0, 4, -1).Draw(t, "id"),
				Routes: []byte{1}[:min(1, rapid.IntRange(0, 9).Draw(t, "valid"))],
			}}}
			before := whole.Version
			out := whole.Apply(uint64(i), rec, valid)
			if whole.Version < before || (out == fold.Applied) != (whole.Version == uint64(i)) {
				t.Fatalf("record %d: %v, version %d after %d", i, out, whole.Version, before)
			}
			if id := rec.GetPublish().GetId(); out == fold.Applied {
				if accepted[id] && n < 64 {
					t.Fatalf("publication %q was accepted twice", id)
				}
				accepted[id] = true
			}
			if i > from && snap.Apply(uint64(i), rec, valid) != out {
				t.Fatalf("record %d: %v, but not for a reader that started at %d", i, out, from)
			}
			if i == from && !snap.Restore(uint64(i), whole.State()) {
				t.Fatalf("state at %d was not restored", i)
			}
		}
		if !proto.Equal(snap.State(), whole.State()) {
			t.Fatalf("states differ:\n%v\n%v", snap.State(), whole.State())
		}
		if snap.Restore(uint64(n), nil) || snap.Restore(uint64(n)+1, &record.Config{Version: uint64(n) + 2}) {
			t.Fatal("a damaged state was restored")
		}
	})
}
