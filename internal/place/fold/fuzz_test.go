package fold_test

import (
	"math"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/bramleycove/bramleycove/internal/place/fold"
	"github.com/bramleycove/bramleycove/internal/wire/record"
)

// basePlacement returns the state after valid records by which slots of p1 are homed in d1.
func basePlacement() *fold.Placement {
	p := new(fold.Placement)
	for i, rec := range []*record.Record{
		{Kind: &record.Record_Term{Term: &record.Term{Dc: "d1", Holder: "i1", Witnesses: []string{"i1", "s1"}}}},
		{Kind: &record.Record_Ready{Ready: &record.Ready{Dc: "d1", Term: 1}}},
		{Kind: &record.Record_Assign{Assign: &record.Assign{
			Dc: "d1", Pool: "p1", Term: 1, Slots: 8, Yield: 3000, Changes: []*record.Change{{First: 1, Last: 5, Owner: "s1"}},
		}}},
	} {
		p.Apply(uint64(i)+1, rec)
	}
	return p
}

func mustMarshal(f *testing.F, m proto.Message) []byte {
	data, err := proto.Marshal(m)
	if err != nil {
		f.Fatal(err)
	}
	return data
}

func checkRestore(t *testing.T, p *fold.Placement) {
	var next fold.Placement
	if !next.Restore(p.Offset(), p.State()) || !proto.Equal(next.State(), p.State()) {
		t.Fatalf("state differs after Restore:\n%v\n%v", p.State(), next.State())
	}
}

// Guards against damaged records that crash a reader or lead to a state that another reader cannot restore.
func FuzzDecode(f *testing.F) {
	f.Add([]byte{})
	f.Add(mustMarshal(f, &record.Record{Kind: &record.Record_Assign{Assign: &record.Assign{
		Dc: "d1", Pool: "p1", Term: 1, Base: 3, Slots: 8, Yield: math.MaxInt64, Changes: []*record.Change{{Owner: "s2"}},
	}}}))
	f.Add(mustMarshal(f, &record.Record{Kind: &record.Record_Release{Release: &record.Release{Dc: "d1", Pool: "p2", Term: 1}}}))
	f.Add(mustMarshal(f, &record.Record{Kind: &record.Record_Seize{Seize: &record.Seize{Dc: "d1", From: "d2", Pool: "p3", Term: 1, Lost: true}}}))
	f.Add(mustMarshal(f, &record.Record{Kind: &record.Record_Publish{Publish: &record.Publish{Id: "x"}}}))
	f.Fuzz(func(t *testing.T, data []byte) {
		rec := fold.Decode(data)
		p := basePlacement()
		p.Apply(4, rec)
		checkRestore(t, p)
		if y := p.YieldAfter("p1", "d1"); y < 0 {
			t.Fatalf("yield time %v", y)
		}
		var c fold.Config
		c.Apply(1, rec, nil)
		var next fold.Config
		if !next.Restore(1, c.State()) || !proto.Equal(next.State(), c.State()) {
			t.Fatalf("config differs after Restore: %v", c.State())
		}
	})
}

// Guards against damaged states that crash a reader, lower a token or a term, or differ after another Restore.
func FuzzRestore(f *testing.F) {
	f.Add(mustMarshal(f, basePlacement().State()), uint64(3))
	f.Add([]byte{}, uint64(9))
	f.Add(mustMarshal(f, &record.Place{Pools: []*record.Pool{{Name: "p1", Runs: []*record.Run{{Last: 7, Token: math.MaxUint64}}}}}), uint64(9))
	f.Fuzz(func(t *testing.T, data []byte, asof uint64) {
		s := new(record.Place)
		if proto.Unmarshal(data, s) != nil {
			return
		}
		var empty fold.Placement
		if empty.Restore(asof, s) {
			checkRestore(t, &empty)
		}
		p := basePlacement()
		before, term := p.Slots("p1"), p.Cell("d1").Term
		if !p.Restore(asof, s) {
			if p.Offset() != 3 || !proto.Equal(p.State(), basePlacement().State()) {
				t.Fatal("a state that was not restored changed the placement")
			}
			return
		}
		checkRestore(t, p)
		after := p.Slots("p1")
		if p.Cell("d1").Term < term || len(after) != len(before) {
			t.Fatalf("term %d and %d slots after Restore", p.Cell("d1").Term, len(after))
		}
		for i := range before {
			if after[i].Token < before[i].Token {
				t.Fatalf("token of slot %d decreased", i)
			}
		}
	})
}
