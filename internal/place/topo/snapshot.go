// Package topo is what an instance knows at one moment: tables, servers and the owners of keys. Values are never
// changed once published.
package topo

import (
	"net/netip"
	"time"

	"github.com/bramleycove/bramleycove/internal/oper/tables"
	"github.com/bramleycove/bramleycove/internal/place/spans"
)

// Server is what a backend server says of itself.
type Server struct {
	spans.Owner
	Pool    string
	Address netip.AddrPort
	DC      string
	Slots   int
	Leaving bool
	// LeavingSince is when this instance learnt that the server leaves.
	LeavingSince time.Time
	// WarmAt is when the server stops being slow after its start, as far as this instance knows.
	WarmAt time.Time
	// RecordOffset is the offset of its newest record.
	RecordOffset uint64
}

// Location is where an instance is. Region maps each data centre to its region.
type Location struct {
	DC     string
	Region map[string]string
}

// Distance says how far a data centre is.
type Distance uint8

// The distances, nearest first.
const (
	SameDC Distance = iota
	SameRegion
	OtherRegion
)

// DistanceTo returns the distance to a data centre. Unknown ones count as far.
func (p Location) DistanceTo(dc string) Distance {
	switch {
	case dc == p.DC:
		return SameDC
	case p.Region[dc] != "" && p.Region[dc] == p.Region[p.DC]:
		return SameRegion
	}
	return OtherRegion
}

// Snapshot is one state of everything that requests are routed by.
type Snapshot struct {
	Version uint64
	Tables  *tables.Tables // nil before the first
	Routes  Routes
	Servers map[string]*Server
	Pools   map[string][]*Server     // servers that take new requests, by pool
	Owners  map[string]spans.Map     // by keyed pool
	Moving  map[string][]MovingRange // keys that change hands now, by keyed pool
}

// MovingRange is a run of keys that change hands. Until is when they are expected to be served again.
type MovingRange struct {
	First, Last uint16
	Until       time.Time
}

// MovingRangeOf returns the run of a pool that a key is in, nil if the key does not change hands.
func (w *Snapshot) MovingRangeOf(pool string, key uint16) *MovingRange {
	runs := w.Moving[pool]
	for i := range runs {
		if runs[i].First <= key && key <= runs[i].Last {
			return &runs[i]
		}
	}
	return nil
}
