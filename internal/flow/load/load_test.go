package load_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/bramleycove/bramleycove/internal/flow/load"
)

func ExampleParse() {
	fmt.Println(load.Parse([]byte("6,4,6,300")))
	fmt.Println(load.Parse([]byte("2, 0, 6")))
	// Output:
	// {6 4 6 3} true
	// {2 0 6 1} true
}

// Guards against numbers of a broken server that make every other server look busy, or a weight that is no number.
func TestMalformed(t *testing.T) {
	for _, v := range []string{"", "6", "6,4", "6,4,6,", "6,4,6,100,1", "-1,0,6", "6,-1,6", "6,4,0", "6,4,6,0", "6,4,6,NaN", "6,4,6,Inf", "6,4,6,1e9", "99999999999999999999,0,6", "6,4.5,6", "a,b,c"} {
		if r, ok := load.Parse([]byte(v)); ok || r != (load.Report{}) {
			t.Errorf("%q: got %+v, %v, want no report", v, r, ok)
		}
	}
}

// Guards against stale reports that still have an effect, and against all of an instance's requests sent to a server until its
// next report.
func ExampleState() {
	var s load.State
	now := time.Unix(1000, 0)
	expected := func(age time.Duration) {
		fmt.Println(s.Expected(now.Add(age), 400*time.Millisecond).Round(time.Millisecond))
	}
	expected(0)
	s.Observe(now, load.Report{Running: 3, Slots: 6, Slowdown: 1})
	s.Observe(now, load.Report{Running: 3, Slots: 6, Slowdown: 3}) // the mean rises to 1.3
	expected(0)
	expected(500 * time.Millisecond)
	expected(5 * time.Second)
	s.Observe(now.Add(-time.Second), load.Report{Running: 6, Waiting: 24, Slots: 6, Slowdown: 3}) // overtaken by the other two
	for range 6 {
		s.CountSent()
	}
	expected(0)
	// Output:
	// 400ms
	// 923ms
	// 592ms
	// 400ms
	// 1.538s
}
