package lease

import "time"

// Fence tracks how a new pair displaces all earlier ones: a majority of its own witness set and, of each earlier
// set, so many witnesses that the rest is no majority. A witness that has confirmed the pair never again confirms
// an earlier one, so confirmations do not age here. It is not safe for concurrent use.
type Fence struct {
	parts []part
	first bool      // there is no earlier pair
	done  time.Time // zero while incomplete
}

type part struct {
	ids  map[string]bool // value: confirmed or gone
	need int
}

// NewFence returns the fence of a pair with the witness set own. earlier are the sets of earlier terms that were not
// proven superseded. first says that no pair was ever before this one.
func NewFence(own []string, earlier [][]string, first bool) *Fence {
	f := &Fence{first: first, parts: []part{newPart(own, Majority(len(own)))}}
	for _, ids := range earlier {
		f.parts = append(f.parts, newPart(ids, len(ids)-Majority(len(ids))+1))
	}
	return f
}

func newPart(ids []string, need int) part {
	p := part{ids: make(map[string]bool, len(ids)), need: need}
	for _, id := range ids {
		p.ids[id] = false
	}
	return p
}

// Confirm notes at now that witness id confirmed the pair, or that it is gone, and reports whether the fence is
// complete.
func (f *Fence) Confirm(id string, now time.Time) bool {
	for _, p := range f.parts {
		if _, ok := p.ids[id]; ok {
			p.ids[id] = true
		}
	}
	if f.done.IsZero() && f.enough() {
		f.done = now
	}
	return f.Complete()
}

func (f *Fence) enough() bool {
	for _, p := range f.parts {
		n := 0
		for _, ok := range p.ids {
			if ok {
				n++
			}
		}
		if n < p.need {
			return false
		}
	}
	return true
}

// Complete reports whether no earlier pair can gain or renew authority.
func (f *Fence) Complete() bool { return !f.done.IsZero() }

// Lapsed returns the time after which nothing granted by an earlier pair is valid, the zero time while incomplete.
// An earlier pair may act for D after its last confirmation, and what it then grants is valid for L.
func (f *Fence) Lapsed() time.Time {
	if f.first || !f.Complete() {
		return f.done
	}
	return f.done.Add(Stretch(D + L))
}

// Missing returns the witnesses that have not confirmed.
func (f *Fence) Missing() []string {
	var out []string
	seen := make(map[string]bool)
	for _, p := range f.parts {
		for id, ok := range p.ids {
			if !ok && !seen[id] {
				seen[id] = true
				out = append(out, id)
			}
		}
	}
	return out
}
