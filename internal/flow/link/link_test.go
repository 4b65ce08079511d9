package link_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bramleycove/bramleycove/internal/flow/link"
)

var start = time.Unix(1000, 0)

// Guards against more traffic than the rate allows, and against refusing urgent work because of what other ranks used.
func TestShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const rate, ranks = 100_000, 3
		l := link.New(rate)
		now, sent := start, 0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond)
			rank, n := rapid.IntRange(1, 2).Draw(t, "rank"), rapid.IntRange(1, 3000).Draw(t, "bytes")
			if wait, ok := l.Take(now, rank, ranks, n); ok {
				sent += n
			} else if again, _ := l.Take(now.Add(wait), rank, ranks, n); wait <= 0 || again != 0 {
				t.Fatalf("no time to retry after, or refused again after it: %v", wait)
			} else {
				now = now.Add(wait)
				sent += n
			}
			if most := 0.2*rate + now.Sub(start).Seconds()*rate; float64(sent) > most+1 {
				t.Fatalf("%d bytes sent, at most %f allowed", sent, most)
			}
		}
		// The other ranks leave a third of the burst.
		if _, ok := l.Take(now, 0, ranks, 6000); !ok {
			t.Fatal("urgent work refused")
		}
	})
}

// Guards against not accounting for answers, and against never accepting a request larger than the bucket.
func TestAnswers(t *testing.T) {
	l := link.New(100_000)
	if _, ok := l.Take(start, 0, 3, 50_000); !ok {
		t.Error("a request larger than the bucket was refused")
	}
	now := start.Add(time.Minute)
	l.AddReceived(now, 2, 120_000)
	if wait, ok := l.Take(now, 0, 3, 1); ok || wait < 900*time.Millisecond {
		t.Errorf("Take after a large answer returned %v, %v, want false and at least 900 ms", wait, ok)
	}
	if u := l.TrafficByRank(); len(u) != 3 || u[0].Out != 50_000 || u[2].In != 120_000 {
		t.Errorf("traffic by rank %v, want 50000 bytes out for rank 0 and 120000 in for rank 2", u)
	}
}
