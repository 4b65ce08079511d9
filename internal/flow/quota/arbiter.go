package quota

import (
	"sync"
	"time"
)

// Arbiter permits the requests of all instances to the servers with a limit. Each leader has its own, which starts with
// empty buckets. It may be used by many goroutines.
type Arbiter struct {
	Limits *Book

	mu      sync.Mutex
	buckets map[string]*Bucket
}

// NewArbiter returns an arbiter for the limits in a book.
func NewArbiter(limits *Book) *Arbiter {
	return &Arbiter{Limits: limits, buckets: make(map[string]*Bucket)}
}

// Take asks to send a request of a rank to a server's incarnation. It is permitted if no limit is known.
func (a *Arbiter) Take(now time.Time, incarnation string, rank int) Decision {
	rate, limited := a.Limits.Rate(now, incarnation)
	a.mu.Lock()
	defer a.mu.Unlock()
	if !limited {
		delete(a.buckets, incarnation)
		return Decision{OK: true}
	}
	b := a.buckets[incarnation]
	if b == nil {
		b = NewBucket(now, rate)
		a.buckets[incarnation] = b
	}
	return b.Take(now, rate, rank)
}

// Prune forgets the buckets of servers that have no limit at now.
func (a *Arbiter) Prune(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for id := range a.buckets {
		if _, limited := a.Limits.Rate(now, id); !limited {
			delete(a.buckets, id)
		}
	}
}
