package lease

import "time"

// Fence tracks how a new pair displaces all earlier ones: a majority of its own witness set must confirm it and, of each
// earlier set, so many witnesses that the rest are no majority. A witness that has confirmed the pair never again
// confirms an earlier one, so confirmations do not expire. It is not safe for concurrent use.
type Fence struct {
	requirements  []requirement
	noEarlierPair bool
	completedAt   time.Time // zero while incomplete
}

type requirement struct {
	confirmed map[string]bool // by witness id; true if confirmed or gone
	needed    int
}

// NewFence returns the fence of a pair with the witness set own. earlier holds the sets of earlier terms that are not
// proven superseded.
func NewFence(own []string, earlier [][]string, noEarlierPair bool) *Fence {
	f := &Fence{noEarlierPair: noEarlierPair, requirements: []requirement{newRequirement(own, Majority(len(own)))}}
	for _, ids := range earlier {
		f.requirements = append(f.requirements, newRequirement(ids, len(ids)-Majority(len(ids))+1))
	}
	return f
}

func newRequirement(ids []string, need int) requirement {
	r := requirement{confirmed: make(map[string]bool, len(ids)), needed: need}
	for _, id := range ids {
		r.confirmed[id] = false
	}
	return r
}

// Confirm records at now that witness id has confirmed the pair or is gone, and reports whether the fence is complete.
func (f *Fence) Confirm(id string, now time.Time) bool {
	for _, r := range f.requirements {
		if _, ok := r.confirmed[id]; ok {
			r.confirmed[id] = true
		}
	}
	if f.completedAt.IsZero() && f.satisfied() {
		f.completedAt = now
	}
	return f.Complete()
}

func (f *Fence) satisfied() bool {
	for _, r := range f.requirements {
		n := 0
		for _, ok := range r.confirmed {
			if ok {
				n++
			}
		}
		if n < r.needed {
			return false
		}
	}
	return true
}

// Complete reports whether no earlier pair can gain or renew authority.
func (f *Fence) Complete() bool { return !f.completedAt.IsZero() }

// EarlierGrantsExpiry returns the time after which no grant of an earlier pair is valid, the zero time while incomplete.
// An earlier pair may grant for D after its last confirmation, and each grant is valid for L.
func (f *Fence) EarlierGrantsExpiry() time.Time {
	if f.noEarlierPair || !f.Complete() {
		return f.completedAt
	}
	return f.completedAt.Add(AddDriftMargin(ConfirmationValidity + Validity))
}

// Missing returns the witnesses that have not confirmed and are not gone.
func (f *Fence) Missing() []string {
	var out []string
	seen := make(map[string]bool)
	for _, r := range f.requirements {
		for id, ok := range r.confirmed {
			if !ok && !seen[id] {
				seen[id] = true
				out = append(out, id)
			}
		}
	}
	return out
}
