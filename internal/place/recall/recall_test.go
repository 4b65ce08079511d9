package recall_test

import (
	"fmt"
	"testing"

	"github.com/bramleycove/bramleycove/internal/place/recall"
)

func ExampleSurvey() {
	s := recall.NewSurvey([]string{"a", "b", "c"}, 4, recall.Report{Fence: 7})
	s.Add("b", 1, recall.Report{Fence: 6, Moving: []recall.Range{{Pool: "stock", First: 10, Last: 19}}})
	fmt.Println(s.Result())
	s.Add("c", 1, recall.Report{Fence: 7})
	fmt.Println(s.Result())
	// Output:
	// [] false false
	// [{stock 10 19}] true true
}

// Guards against owners that are trusted although another instance has the record of a later one.
func TestLaterRecordKnown(t *testing.T) {
	s := recall.NewSurvey([]string{"a", "b", "c"}, 4, recall.Report{Fence: 7})
	s.Add("b", 1, recall.Report{Fence: 8})
	s.Add("c", 1, recall.Report{Fence: 7})
	if _, ok, complete := s.Result(); ok || !complete {
		t.Errorf("certain %v, complete %v, want false and true", ok, complete)
	}
}

// Guards against a majority that counts instances which the earlier leader did not wait for, or which have forgotten by a restart what it
// waited for.
func TestOthersDoNotCount(t *testing.T) {
	s := recall.NewSurvey([]string{"a", "b", "c"}, 4, recall.Report{})
	s.Add("b", 1, recall.Report{})
	s.Add("d", 1, recall.Report{})
	s.Add("c", 4, recall.Report{Term: 3})
	if _, _, complete := s.Result(); complete {
		t.Error("complete with one of three members")
	}
	s.Add("c", 4, recall.Report{Term: 4})
	if _, _, complete := s.Result(); !complete {
		t.Error("not complete with a restarted member that has had all records since")
	}
	if _, _, complete := recall.NewSurvey(nil, 4, recall.Report{}).Result(); complete {
		t.Error("complete without members")
	}
}
