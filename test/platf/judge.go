package platf

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/bramleycove/bramleycove/test/stands"
)

// Judge compares what callers got with what the servers did and returns what breaks a promise.
func (f *Fleet) Judge() (faults []string) {
	calls := f.Calls()
	runs := make(map[string][]stands.Run)
	f.Journal.Each(func(r stands.Run) { runs[r.Request] = append(runs[r.Request], r) })
	known := make(map[string]bool)
	for _, x := range calls {
		known[x.ID] = true
		faults = append(faults, x.judge(runs[x.ID])...)
	}
	for id, rs := range runs {
		if !known[id] {
			faults = append(faults, fmt.Sprintf("request %s ran on %s, and no caller sent it: %q", id, rs[0].Server, rs[0].Header))
		}
	}
	held := f.Journal.Held()
	return append(append(faults, overlaps(held)...), lowFences(held)...)
}

func (x *Call) judge(rs []stands.Run) (faults []string) {
	say := func(format string, args ...any) {
		faults = append(faults, fmt.Sprintf("request %s of %s to %s at %s: ", x.ID, x.Path, x.Instance, x.Sent.Format("05.000"))+fmt.Sprintf(format, args...))
	}
	if x.Once && len(rs) > 1 {
		say("ran %d times: %v", len(rs), rs)
	}
	if x.Once && len(rs) > 0 && (x.Status == 503 || x.Status == 429 || x.Status == 408 || x.Status == 421) {
		say("was called not run with %d and ran on %s", x.Status, rs[0].Server)
	}
	for _, r := range rs {
		if r.Path != x.Path {
			say("ran as %s", r.Path)
		}
	}
	if x.Status >= 200 && x.Status < 300 {
		whole := false
		for _, r := range rs {
			whole = whole || x.Body == stands.Body(r.Server, x.ID) && x.Stamp == r.Server+"."+x.ID
		}
		if !whole {
			say("got %d with the body %q and the stamp %q, and ran on %v", x.Status, x.Body, x.Stamp, rs)
		}
	}
	return faults
}

// overlaps returns times in which two servers held a key.
func overlaps(hs []stands.Hold) (faults []string) {
	sort.Slice(hs, func(a, b int) bool { return hs[a].From.Before(hs[b].From) })
	for i, a := range hs {
		for _, b := range hs[i+1:] {
			if !b.From.Before(a.Until) {
				break
			}
			if a.Server != b.Server && a.First <= b.Last && b.First <= a.Last && overlap(a, b) > 0 {
				faults = append(faults, fmt.Sprintf("keys %d to %d were held by %s (%d to %d, fence %d) and %s (%d to %d, fence %d) for %v from %s",
					max(a.First, b.First), min(a.Last, b.Last), a.Server, a.First, a.Last, a.Fence, b.Server, b.First, b.Last, b.Fence,
					overlap(a, b), b.From.Format("05.000")))
			}
		}
	}
	return faults
}

// lowFences returns keys that went to another life of a server, or to another server, with a fence that was not above the one before.
func lowFences(hs []stands.Hold) (faults []string) {
	sort.Slice(hs, func(a, b int) bool { return hs[a].From.Before(hs[b].From) })
	for i, b := range hs {
		for _, a := range hs[:i] {
			if a.Server != b.Server && a.Fence >= b.Fence && a.First <= b.Last && b.First <= a.Last {
				faults = append(faults, fmt.Sprintf("keys %d to %d went to %s with fence %d at %s; %s had them with fence %d",
					max(a.First, b.First), min(a.Last, b.Last), b.Server, b.Fence, b.From.Format("05.000"), a.Server, a.Fence))
				break
			}
		}
	}
	return faults
}

func overlap(a, b stands.Hold) time.Duration {
	from, until := a.From, a.Until
	if b.From.After(from) {
		from = b.From
	}
	if b.Until.Before(until) {
		until = b.Until
	}
	return until.Sub(from)
}

// Served returns how many calls since a time were answered with success, and how many there were.
func (f *Fleet) Served(since time.Time, prefix string) (ok, all int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, x := range f.calls {
		if x.Sent.Before(since) || !strings.HasPrefix(x.Path, prefix) {
			continue
		}
		all++
		if x.Status >= 200 && x.Status < 300 {
			ok++
		}
	}
	return ok, all
}

// Failures counts the calls since a time that were not answered with success, by what they got.
func (f *Fleet) Failures(since time.Time, prefix string) map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[string]int)
	for _, x := range f.calls {
		if x.Sent.After(since) && strings.HasPrefix(x.Path, prefix) && (x.Status < 200 || x.Status >= 300) {
			out[fmt.Sprintf("%s %d %s %v", x.Instance, x.Status, strings.TrimSpace(x.Body), x.Err)]++
		}
	}
	return out
}

// LateRuns returns requests that began at a server later than allowed after it said that it leaves.
func (f *Fleet) LateRuns(allowed time.Duration) (faults []string) {
	for _, s := range f.Servers() {
		left := s.Left()
		if left.IsZero() {
			continue
		}
		f.Journal.Each(func(r stands.Run) {
			if r.Server == s.ID && r.Start.After(left.Add(allowed)) {
				faults = append(faults, fmt.Sprintf("request %s began at %s %v after that said that it leaves", r.Request, s.ID, r.Start.Sub(left)))
			}
		})
	}
	return faults
}
