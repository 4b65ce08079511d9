// Package evac keeps which data centres are evacuated: their servers get no requests until operators withdraw the request to
// evacuate them. It reads no clock.
package evac

import (
	"maps"
	"time"
)

const (
	// OwnerGrace is how long the server that holds a key still gets requests for it after an instance learns of the evacuation. The
	// leader hands the keys over in that time. An instance learns of a record within 3 s of its acknowledgement, and nothing may
	// reach the servers 5 s after it.
	OwnerGrace = 1500 * time.Millisecond
	// forgetAfter is how long the end of an evacuation is remembered: longer than servers are cold.
	forgetAfter = time.Minute
)

// State holds the evacuated data centres, and those whose evacuation has ended lately. Values never change once published: With
// returns a new one. The zero value has none.
type State struct {
	since    map[string]time.Time // when this instance learnt of an evacuation in force
	returned map[string]time.Time // when it learnt of the end of one
}

// With returns the state after a record of a data centre. evacuated tells whether it asks for the evacuation or withdraws it.
func (s State) With(now time.Time, dc string, evacuated bool) State {
	out := State{since: make(map[string]time.Time), returned: make(map[string]time.Time)}
	maps.Copy(out.since, s.since)
	for name, at := range s.returned {
		if now.Sub(at) < forgetAfter {
			out.returned[name] = at
		}
	}
	_, was := s.since[dc]
	switch {
	case evacuated && !was:
		out.since[dc] = now
		delete(out.returned, dc)
	case !evacuated && was:
		delete(out.since, dc)
		out.returned[dc] = now
	}
	return out
}

// Since returns when this instance learnt of the evacuation in force of a data centre.
func (s State) Since(dc string) (at time.Time, evacuated bool) {
	at, evacuated = s.since[dc]
	return at, evacuated
}

// ReturnedAt returns when this instance learnt of the end of a data centre's last evacuation. It is zero if there was none.
func (s State) ReturnedAt(dc string) time.Time { return s.returned[dc] }

// Evacuated returns the number of data centres that are evacuated.
func (s State) Evacuated() int { return len(s.since) }
