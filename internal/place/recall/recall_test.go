package recall_test

import (
	"fmt"
	"testing"

	"github.com/bramleycove/bramleycove/internal/place/recall"
)

func ExampleSurvey() {
	s := recall.New([]string{"a", "b", "c"}, recall.Report{Fence: 7})
	s.Add("b", recall.Report{Fence: 6, Moving: []recall.Range{{Pool: "stock", First: 10, Last: 19}}})
	fmt.Println(s.Result())
	s.Add("c", recall.Report{Fence: 7})
	fmt.Println(s.Result())
	// Output:
	// [] false false
	// [{stock 10 19}] true true
}

// Guards against owners that are trusted although another instance has the record of a later one.
func TestLaterRecordKnown(t *testing.T) {
	s := recall.New([]string{"a", "b", "c"}, recall.Report{Fence: 7})
	s.Add("b", recall.Report{Fence: 8})
	s.Add("c", recall.Report{Fence: 7})
	if _, ok, complete := s.Result(); ok || !complete {
		t.Errorf("certain %v, complete %v, want false and true", ok, complete)
	}
}

// Guards against a majority that counts instances which the earlier leader did not wait for.
func TestOthersDoNotCount(t *testing.T) {
	s := recall.New([]string{"a", "b", "c"}, recall.Report{})
	s.Add("b", recall.Report{})
	s.Add("d", recall.Report{})
	if _, _, complete := s.Result(); complete {
		t.Error("complete with one of three members")
	}
	if _, _, complete := recall.New(nil, recall.Report{}).Result(); complete {
		t.Error("complete without members")
	}
}
