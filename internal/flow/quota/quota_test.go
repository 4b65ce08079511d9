package quota_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/bramleycove/bramleycove/internal/flow/quota"
)

func ExampleParseNamed() {
	fmt.Println(quota.ParseNamed([]byte("2.5")), quota.ParseNamed([]byte("soon")), quota.ParseNamed([]byte("-1")), quota.ParseNamed([]byte("NaN")))
	// Output: {2.5 true} {0 false} {0 false} {0 false}
}

func ExampleBucket() {
	now := time.Unix(0, 0)
	b := quota.NewBucket(now, 2)
	fmt.Println(b.Take(now, 2, 1))
	fmt.Println(b.Take(now.Add(500*time.Millisecond), 2, 1).OK)
	// Output:
	// {false 500ms 500ms}
	// true
}

// Guards against requests of a low rank that take the place of more urgent ones.
func TestBucketKeepsPlaceForUrgent(t *testing.T) {
	t.Parallel()
	now := time.Unix(0, 0)
	b := quota.NewBucket(now, 2)
	now = now.Add(time.Second)
	if !b.Take(now, 2, 0).OK {
		t.Fatal("an urgent request is refused by a full bucket")
	}
	if b.Take(now, 2, 1).OK {
		t.Error("a request of rank 1 takes the last place while urgent ones come")
	}
	if !b.Take(now, 2, 0).OK {
		t.Error("an urgent request does not get the place that is kept")
	}
	now = now.Add(3 * time.Second)
	if !b.Take(now, 2, 1).OK {
		t.Error("a request of rank 1 is refused though no urgent ones come")
	}
}

// Guards against refused callers that are all told to return at the same time.
func TestBucketSpreadsReturns(t *testing.T) {
	t.Parallel()
	now := time.Unix(0, 0)
	b := quota.NewBucket(now, 2)
	last := time.Duration(0)
	for i := range 5 {
		d := b.Take(now, 2, 0)
		if d.OK || d.Return <= last {
			t.Errorf("caller %d: %+v after one that returns after %v", i, d, last)
		}
		last = d.Return
	}
	for range 100 {
		if d := b.Take(now, 2, 0); d.Return > 3500*time.Millisecond {
			t.Fatalf("a caller is told to return after %v", d.Return)
		}
	}
}

// Guards against an idle instance that saves up its share and sends all of it at once.
func TestShareIsNotSaved(t *testing.T) {
	t.Parallel()
	now := time.Unix(0, 0)
	s := quota.NewShare(now, 0)
	now = now.Add(time.Minute)
	n := 0
	for s.Take(now, 8, 8).OK {
		n++
	}
	if n > 1 {
		t.Errorf("%d requests at once after a minute, want 1 at most", n)
	}
}

// Guards against a limit of 0, and one that no answer can end because no request is sent any more.
func TestZeroLimitIsProbed(t *testing.T) {
	t.Parallel()
	now := time.Unix(0, 0)
	b := quota.NewBucket(now, 0)
	if b.Take(now, 0, 0).OK {
		t.Error("a request is permitted at once")
	}
	if !b.Take(now.Add(time.Minute), 0, 0).OK {
		t.Error("no request is permitted in a minute")
	}
}

// Guards against answers to earlier requests, refusals and old reports that end or restore a limit.
func TestBookOrdersAnswers(t *testing.T) {
	t.Parallel()
	at := func(s int) time.Time { return time.Unix(int64(s), 0) }
	b := new(quota.Book)
	b.Observe(at(10), at(9), server, quota.Named{Rate: 2, Set: true}, true)
	b.Observe(at(11), at(8), server, quota.Named{}, true)
	if _, ok := b.Limit(server); !ok {
		t.Error("the answer to an earlier request ended the limit")
	}
	b.Observe(at(12), at(11), server, quota.Named{}, false)
	if _, ok := b.Limit(server); !ok {
		t.Error("a refusal ended the limit")
	}
	b.Observe(at(14), at(13), server, quota.Named{}, true)
	if _, ok := b.Limit(server); ok {
		t.Error("a later answer without a limit did not end it")
	}
	b.Merge(at(15), server, quota.Limit{Rate: 2, Seen: at(12)})
	if _, ok := b.Limit(server); ok {
		t.Error("an old report restored the limit")
	}
	b.Merge(at(16), server, quota.Limit{Rate: 3, Seen: at(15)})
	if l, ok := b.Limit(server); !ok || l.Rate != 3 {
		t.Errorf("limit %v, %v; want the newer report's 3", l, ok)
	}
	b.Prune(at(17), func(string) bool { return false })
	if _, ok := b.Known(server); ok {
		t.Error("the limit of a server that is gone is kept")
	}
}
