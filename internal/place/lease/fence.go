package lease

import "time"

// Fence tracks how a new pair displaces all earlier ones. It needs confirmations by a majority of its own witness set,
// and by so many witnesses of each earlier set that the rest are no majority. A witness that has confirmed the pair
// never confirms an earlier one again, so confirmations do not expire here. It is not safe for concurrent use.
type Fence struct {
	requirements  []requirement
	noEarlierPair bool
	completedAt   time.Time // zero while incomplete
}

// requirement is the number of witnesses of one set that must have confirmed the pair or be gone.
type requirement struct {
	confirmed map[string]bool // by witness id; also true for one that is gone
	needed    int
}

// NewFence returns the fence of a pair with the witness set own. earlier holds the sets of earlier terms that are not
// proven superseded. noEarlierPair says that this is the first pair of the data centre.
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

// EarlierGrantsExpiry returns the time after which no grant of an earlier pair is valid, or the zero time while the
// fence is incomplete. An earlier pair may grant for ConfirmationValidity after its last confirmation, and each grant
// is valid for Validity.
func (f *Fence) EarlierGrantsExpiry() time.Time {
	if f.noEarlierPair || !f.Complete() {
		return f.completedAt
	}
	return f.completedAt.Add(AddDriftMargin(ConfirmationValidity + Validity))
}

// Missing returns the witnesses that have neither confirmed nor gone, in no particular order.
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
