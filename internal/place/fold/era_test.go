package fold_test

import (
	"testing"

	"github.com/bramleycove/bramleycove/internal/place/fold"
	"github.com/bramleycove/bramleycove/internal/wire/record"
)

// Guards against tokens, terms and versions that are given out again, because the log was restored and an instance had acted by a
// record at the same offset that is lost.
func TestNumbersAfterRestoration(t *testing.T) {
	assigned := func(eras ...uint64) (fold.Slot, *fold.Placement) {
		p, base, offset := new(fold.Placement), uint64(0), uint64(0)
		apply := func(rec *record.Record) {
			offset++
			if out := p.Apply(offset, rec); out != fold.Applied {
				t.Fatalf("record %d is %v", offset, out)
			}
		}
		for _, era := range eras {
			apply(&record.Record{Kind: &record.Record_Era{Era: &record.Era{Number: era}}})
		}
		offset = 9
		apply(&record.Record{Kind: &record.Record_Term{Term: &record.Term{Dc: "d", Holder: "i", Witnesses: []string{"i"}, Base: base}}})
		term := p.Cell("d").Term
		apply(&record.Record{Kind: &record.Record_Ready{Ready: &record.Ready{Dc: "d", Term: term}}})
		apply(&record.Record{Kind: &record.Record_Assign{Assign: &record.Assign{
			Dc: "d", Pool: "p", Term: term, Slots: 1, Changes: []*record.Change{{Owner: "s"}},
		}}})
		return p.Slots("p")[0], p
	}
	lost, before := assigned()
	again, after := assigned(1, 2)
	if again.Token <= lost.Token || after.Cell("d").Term <= before.Cell("d").Term || after.Version("p", "d") <= before.Version("p", "d") {
		t.Errorf("slot %+v and term %d after two restorations, %+v and %d before", again, after.Cell("d").Term, lost, before.Cell("d").Term)
	}
	if restored := new(fold.Placement); !restored.Restore(after.Offset(), after.State()) || restored.Era() != 2 {
		t.Error("a snapshot does not carry the era")
	}
	if before.Restore(after.Offset(), after.State()); before.Slots("p")[0] != again {
		t.Error("a state of a later era is not adopted")
	}
	if after.Restore(99, before.State()) && after.Era() < 2 {
		t.Error("a state of an earlier era is adopted")
	}
}
