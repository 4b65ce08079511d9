package room_test

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"
	"time"
)

func steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// loads are the loads that are compared. Eight servers with 6 slots each take 155 requests of 310 ms in a second.
var loads = map[string]func(instances int) *play{
	"one priority at 2.4 times": func(n int) *play {
		return &play{instances: n, routes: []playedRoute{
			{name: "u", priority: 0, work: 30 * time.Millisecond, target: 300 * time.Millisecond, timeout: 2 * time.Second, rate: steady(50)},
			{name: "m", priority: 1, work: 100 * time.Millisecond, target: 800 * time.Millisecond, timeout: 4 * time.Second, rate: steady(30)},
			{name: "l", priority: 2, work: 310 * time.Millisecond, target: 2 * time.Second, timeout: 6 * time.Second, rate: func(at time.Duration) float64 {
				if at > 5*time.Second && at < 18*time.Second {
					return 285
				}
				return 118
			}},
		}}
	},
	"all at twice": func(n int) *play { return &play{instances: n, routes: mixed(2)} },
	"urgent ones fill all": func(n int) *play {
		p := &play{instances: n, routes: mixed(1)}
		p.routes[0].rate, p.routes[1].rate = steady(600), steady(700)
		return p
	},
	"slower by twelve": func(n int) *play {
		return &play{instances: n, routes: mixed(0.8), slow: func(_ int, at time.Duration) float64 {
			if at > 8*time.Second && at < 14*time.Second {
				return 12
			}
			return 1
		}}
	},
	"a quarter gone": func(n int) *play {
		return &play{instances: n, routes: mixed(0.95), slow: func(s int, at time.Duration) float64 {
			if s%4 == 0 && at > 5*time.Second {
				return 0
			}
			return 1
		}}
	},
	"clumped waves": func(n int) *play {
		p := &play{instances: n, routes: mixed(0)}
		for i := range p.routes {
			base := mixed(0.9)[i].rate(0)
			p.routes[i].clump = 12
			p.routes[i].rate = func(at time.Duration) float64 { return base * (1 + 0.55*math.Sin(at.Seconds()*2*math.Pi/8)) }
		}
		return p
	},
}

// mixed returns routes of three priorities that need a part of the servers.
func mixed(part float64) []playedRoute {
	return []playedRoute{
		{name: "u", priority: 0, work: 30 * time.Millisecond, target: 300 * time.Millisecond, timeout: 2 * time.Second, rate: steady(part * 300)},
		{name: "m", priority: 1, work: 100 * time.Millisecond, target: 800 * time.Millisecond, timeout: 4 * time.Second, rate: steady(part * 200)},
		{name: "l", priority: 2, work: 310 * time.Millisecond, target: 2 * time.Second, timeout: 6 * time.Second, rate: steady(part * 61)},
	}
}

func playLoad(name string, instances int, today bool, seed uint64) map[int]*tally {
	p := loads[name](instances)
	p.servers, p.slots, p.queue, p.length, p.today = 8, 6, 24, 20*time.Second, today
	return p.run(seed)
}

func total(got map[int]*tally) (sum tally) {
	for _, t := range got {
		sum.offered += t.offered
		sum.served += t.served
		sum.credit += t.credit
		sum.refusedWait += t.refusedWait
	}
	return sum
}

// describe returns a row for each priority and one for all.
func describe(got map[int]*tally) (out string) {
	for _, p := range slices.Sorted(maps.Keys(got)) {
		t := got[p]
		out += fmt.Sprintf("\n  priority %d: offered %d, served %.3f, within target %.3f, waits %d, mean wait before sends %v, refusals %d; came again %d, refused again %d, newcomers sent just after that %d",
			p, t.offered, t.share(), float64(t.inTime)/float64(max(1, t.offered)), t.waits,
			(t.waited / time.Duration(max(1, t.served))).Round(time.Millisecond), t.refusals, t.returned, t.returnedRefused, t.overtaken)
	}
	s := total(got)
	return out + fmt.Sprintf("\n  all: served %.3f, credit %.0f, refused requests have waited %v", s.share(), s.credit, s.refusedWait.Round(time.Millisecond))
}

// Guards against an order of requests that serves a less urgent priority more often than a more urgent one, starves one, holds requests
// that are refused in the end, or earns less than polling for room did.
func TestLoads(t *testing.T) {
	for _, name := range slices.Sorted(maps.Keys(loads)) {
		for _, instances := range []int{1, 8, 32} {
			t.Run(fmt.Sprint(name, "/", instances), func(t *testing.T) {
				t.Parallel()
				before, after := playLoad(name, instances, true, 1), playLoad(name, instances, false, 1)
				t.Logf("polling:%s\nroom:%s", describe(before), describe(after))
				b, a := total(before), total(after)
				if a.refusedWait > b.refusedWait/10 {
					t.Errorf("refused requests have waited %v, more than a tenth of %v", a.refusedWait, b.refusedWait)
				}
				if a.credit < minCredit*b.credit {
					t.Errorf("credit %.0f, before %.0f", a.credit, b.credit)
				}
				for p, got := range after {
					if got.share() < a.share()/4 {
						t.Errorf("%.3f of priority %d served, less than a quarter of %.3f", got.share(), p, a.share())
					}
					if next := after[p+1]; next != nil && got.share() < next.share()-0.05 {
						t.Errorf("%.3f of priority %d served, but %.3f of the next", got.share(), p, next.share())
					}
				}
			})
		}
	}
}

// minCredit is the least credit as a part of that with polling. While servers are slower by a factor of twelve, hardly any request can
// be answered in its time, and both earn the same but for chance.
const minCredit = 0.97
