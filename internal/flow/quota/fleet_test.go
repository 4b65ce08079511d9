package quota_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/bramleycove/bramleycove/internal/flow/quota"
)

// event is something that happens at a time since the start of a simulation.
type event struct {
	at time.Duration
	do func()
}

type queue []event

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q queue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// fleet simulates instances that send to one server, which names a limit from nameAt on.
type fleet struct {
	rng       *rand.Rand
	events    queue
	now       time.Duration
	instances []*instance
	leader    *instance // nil while there is none
	earlier   *instance // still leads for some instances
	limit     func(at time.Duration) quota.Named
	arrivals  []arrival
	refused   int
}

// arrival is a request that the server gets. told says that its instance had got an answer with the limit over toldTime before.
type arrival struct {
	at   time.Duration
	told bool
}

type instance struct {
	quota.Book
	arbiter *quota.Arbiter
	share   *quota.Share
	cut     bool
	denied  time.Duration // until then it asks for no permit
	toldAt  time.Duration // first answer with a limit, 0 if none
}

var epoch = time.Unix(1e9, 0)

func (f *fleet) time() time.Time { return epoch.Add(f.now) }

func (f *fleet) after(d time.Duration, do func()) { heap.Push(&f.events, event{f.now + d, do}) }

// latency returns the time of a message one way: within a region, or between two.
func (f *fleet) latency() time.Duration {
	if f.rng.IntN(2) == 0 {
		return time.Millisecond
	}
	return 20 * time.Millisecond
}

const (
	server      = "s/1"
	workTime    = 100 * time.Millisecond
	failedCall  = 250 * time.Millisecond
	window      = 4 * time.Second
	toldTime    = 500 * time.Millisecond
	learnTime   = 3 * time.Second
	nameAt      = 5 * time.Second
	simulated   = 60 * time.Second
	unreachable = 0.1 // part of the instances that a cut separates from the leader
)

// request is one request that a caller sends to an instance.
func (f *fleet) request(in *instance, rank int) {
	l, limited := in.Limit(server)
	leader := f.leader
	if f.earlier != nil && f.rng.IntN(2) == 0 {
		leader = f.earlier
	}
	switch {
	case !limited:
		f.send(in)
	case f.now < in.denied:
		f.refused++
	case leader == nil || in.cut:
		// The first failed call is waited for, later requests take the share at once.
		wait := time.Duration(0)
		if in.share == nil {
			in.share, wait = quota.NewShare(f.time(), f.rng.Float64()), failedCall
		}
		f.after(wait, func() {
			if in.share != nil {
				f.decide(in, in.share.Take(f.time(), l.Rate, len(f.instances)))
			}
		})
	default:
		way := f.latency()
		f.after(way, func() {
			leader.Merge(f.time(), server, l)
			d := leader.arbiter.Take(f.time(), server, rank)
			f.after(way, func() {
				in.share = nil
				f.decide(in, d)
			})
		})
	}
}

func (f *fleet) decide(in *instance, d quota.Decision) {
	if d.OK {
		f.send(in)
		return
	}
	f.refused++
	in.denied = f.now + d.Wait
}

func (f *fleet) send(in *instance) {
	way, sent := f.latency(), f.time()
	told := in.toldAt > 0 && f.now-in.toldAt > toldTime
	f.after(way, func() {
		f.arrivals = append(f.arrivals, arrival{f.now, told})
		named := f.limit(f.now)
		f.after(workTime+way, func() {
			if in.Observe(f.time(), sent, server, named, true); named.Set && in.toldAt == 0 {
				in.toldAt = f.now
			}
		})
	})
}

// push passes what the leader knows on to the others, and their observations to it.
func (f *fleet) push() {
	f.after(350*time.Millisecond, f.push)
	leader := f.leader
	if leader == nil {
		return
	}
	for _, in := range f.instances {
		if in.cut {
			continue
		}
		way := f.latency()
		known := leader.Current(f.time().Add(-2 * time.Second))
		f.after(way, func() {
			for id, l := range known {
				in.Merge(f.time(), id, l)
			}
			seen := in.Observed(f.time().Add(-2 * time.Second))
			f.after(way, func() {
				for id, l := range seen {
					leader.Merge(f.time(), id, l)
				}
			})
		})
	}
}

// lead makes another instance the leader after a time without one. The earlier one may go on for a moment beside it.
func (f *fleet) lead() {
	old := f.leader
	f.leader = nil
	f.after(time.Duration(f.rng.IntN(3000))*time.Millisecond, func() {
		f.leader = f.instances[f.rng.IntN(len(f.instances))]
		f.leader.arbiter = quota.NewArbiter(&f.leader.Book)
		if old != nil && old != f.leader && f.rng.IntN(2) == 0 {
			f.earlier = old
			f.after(500*time.Millisecond, func() { f.earlier = nil })
		}
	})
}

// restart replaces an instance by one that knows nothing.
func (f *fleet) restart(i int) {
	if f.instances[i] != f.leader && f.instances[i] != f.earlier {
		f.instances[i] = &instance{cut: f.instances[i].cut}
	}
}

func (f *fleet) run(demand float64, calm bool) {
	f.leader = f.instances[0]
	f.leader.arbiter = quota.NewArbiter(&f.leader.Book)
	var next func()
	next = func() {
		f.request(f.instances[f.rng.IntN(len(f.instances))], f.rng.IntN(2))
		f.after(time.Duration(f.rng.ExpFloat64()/demand*float64(time.Second)), next)
	}
	next()
	f.push()
	if !calm {
		for at := nameAt; at < simulated; at += time.Duration(2+f.rng.IntN(6)) * time.Second {
			f.after(at, f.lead)
			f.after(at+time.Duration(f.rng.IntN(2000))*time.Millisecond, func() {
				for i, in := range f.instances {
					in.cut = f.rng.Float64() < unreachable
					if f.rng.Float64() < 0.02 {
						f.restart(i)
					}
				}
			})
		}
	}
	for len(f.events) > 0 && f.now < simulated {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.do()
	}
}

func newFleet(seed uint64, n int) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 1))}
	for range n {
		f.instances = append(f.instances, new(instance))
	}
	return f
}

// worst returns the most arrivals from told instances in a window between from and until.
func (f *fleet) worst(from, until time.Duration) (n int) {
	var recent []time.Duration
	for _, a := range f.arrivals {
		if !a.told || a.at < from || a.at >= until {
			continue
		}
		recent = append(recent, a.at)
		for a.at-recent[0] > window {
			recent = recent[1:]
		}
		n = max(n, len(recent))
	}
	return n
}

// Guards against a limit that is exceeded while leaders change, and instances are cut off or restart.
func TestFleetKeepsLimit(t *testing.T) {
	t.Parallel()
	for _, n := range []int{8, 195} {
		for _, rate := range []float64{0.5, 2.3, 20} {
			t.Run(fmt.Sprint(n, "/", rate), func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(20) {
					f := newFleet(seed, n)
					f.limit = func(at time.Duration) quota.Named { return quota.Named{Rate: rate, Set: at >= nameAt} }
					f.run(6*rate+float64(n)/20, false)
					if got, most := f.worst(nameAt+learnTime, simulated), int(1.5*rate*window.Seconds())+5; got > most {
						t.Errorf("seed %d: %d requests in %v, want %d at most", seed, got, window, most)
					}
				}
			})
		}
	}
}

// Guards against instances that leave unused much of what a server takes.
func TestFleetUsesLimit(t *testing.T) {
	t.Parallel()
	for _, n := range []int{8, 195} {
		for _, rate := range []float64{0.5, 2.3, 20} {
			f := newFleet(1, n)
			f.limit = func(at time.Duration) quota.Named { return quota.Named{Rate: rate, Set: at >= nameAt} }
			f.run(4*rate, true)
			got := 0
			for _, a := range f.arrivals {
				if a.at >= nameAt+learnTime {
					got++
				}
			}
			if want := 0.8 * rate * (simulated - nameAt - learnTime).Seconds(); float64(got) < want {
				t.Errorf("%d instances sent %d requests to a server that takes %v a second, want %.0f at least", n, got, rate, want)
			}
		}
	}
}

// Guards against a limit that outlasts its change or its end.
func TestFleetFollowsLimit(t *testing.T) {
	t.Parallel()
	const falls, ends = 25 * time.Second, 45 * time.Second
	for seed := range uint64(10) {
		f := newFleet(seed, 8)
		f.limit = func(at time.Duration) quota.Named {
			switch {
			case at < nameAt || at >= ends:
				return quota.Named{}
			case at < falls:
				return quota.Named{Rate: 8, Set: true}
			default:
				return quota.Named{Rate: 2, Set: true}
			}
		}
		f.run(40, true)
		if got := f.worst(ends+learnTime, simulated); got < 100 {
			t.Errorf("seed %d: %d requests in %v after the limit has ended, want 100 at least", seed, got, window)
		}
		if got := f.worst(falls+learnTime, ends); got > 17 {
			t.Errorf("seed %d: %d requests in %v after the limit has fallen to 2 a second, want 17 at most", seed, got, window)
		}
	}
}
