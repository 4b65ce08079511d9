package lease

import "time"

// Fence tracks how a new pair displaces all earlier ones: a majority of its own witness set and, of each earlier
// set, so many witnesses that the rest is no majority. A witness that has confirmed the pair never again confirms
// an earlier one, so confirmations do not age here. It is not safe for concurrent use.
type Fence struct {
	requirements  []requirement
	noEarlierPair bool      // there is no earlier pair
	completedAt   time.Time // zero while incomplete
}

type requirement struct {
	confirmed map[string]bool // value: confirmed or gone
	needed    int
}

// NewFence returns the fence of a pair with the witness set own. earlier are the sets of earlier terms that were not
// proven superseded. first says that no pair was ever before this one.
func NewFence(own []string, earlier [][]string, noEarlierPair bool) *Fence {
	f := &Fence{noEarlierPair: noEarlierPair, requirements: []requirement{newRequirement(own, Majority(len(own)))}}
	for _, ids := range earlier {
		f.requirements = append(f.requirements, newRequirement(ids, len(ids)-Majority(len(ids))+1))
	}
	return f
}

func newRequirement(ids []string, need int) requirement {
	p := requirement{confirmed: make(map[string]bool, len(ids)), needed: need}
	for _, id := range ids {
		p.confirmed[id] = false
	}
	return p
}

// Confirm notes at now that witness id confirmed the pair, or that it is gone, and reports whether the fence is
// complete.
func (f *Fence) Confirm(id string, now time.Time) bool {
	for _, p := range f.requirements {
		if _, ok := p.confirmed[id]; ok {
			p.confirmed[id] = true
		}
	}
	if f.completedAt.IsZero() && f.satisfied() {
		f.completedAt = now
	}
	return f.Complete()
}

func (f *Fence) satisfied() bool {
	for _, p := range f.requirements {
		n := 0
		for _, ok := range p.confirmed {
			if ok {
				n++
			}
		}
		if n < p.needed {
			return false
		}
	}
	return true
}

// Complete reports whether no earlier pair can gain or renew authority.
func (f *Fence) Complete() bool { return !f.completedAt.IsZero() }

// EarlierGrantsExpiry returns the time after which nothing granted by an earlier pair is valid, the zero time while incomplete.
// An earlier pair may act for D after its last confirmation, and what it then grants is valid for L.
func (f *Fence) EarlierGrantsExpiry() time.Time {
	if f.noEarlierPair || !f.Complete() {
		return f.completedAt
	}
	return f.completedAt.Add(AddDriftMargin(ConfirmationValidity + Validity))
}

// Missing returns the witnesses that have not confirmed.
func (f *Fence) Missing() []string {
	var out []string
	seen := make(map[string]bool)
	for _, p := range f.requirements {
		for id, ok := range p.confirmed {
			if !ok && !seen[id] {
				seen[id] = true
				out = append(out, id)
			}
		}
	}
	return out
}
