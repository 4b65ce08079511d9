// Package topo holds what an instance routes requests by: tables, servers and the owners of keys. Values never change once
// published.
package topo

import (
	"net/netip"
	"time"

	"github.com/bramleycove/bramleycove/internal/oper/tables"
	"github.com/bramleycove/bramleycove/internal/place/alive"
	"github.com/bramleycove/bramleycove/internal/place/evac"
	"github.com/bramleycove/bramleycove/internal/place/spans"
)

// Server is a backend server as registered by its newest record.
type Server struct {
	spans.Owner
	Pool    string
	Address netip.AddrPort
	// AddressDisputed tells that earlier records of the same process named another address, so that one of them is not the server's.
	AddressDisputed bool
	DC              string
	Slots           int
	Leaving         bool
	// LeavingSince is when this instance learnt that the server is leaving.
	LeavingSince time.Time
	// WarmAt is when the server is expected to stop being slow after its start.
	WarmAt time.Time
	// RecordOffset is the offset of that record in the stream.
	RecordOffset uint64
}

// Location is where an instance runs. Region maps each data centre to its region.
type Location struct {
	DC     string
	Region map[string]string
}

// Distance is a class of distance between data centres.
type Distance uint8

// The distances, nearest first.
const (
	SameDC Distance = iota
	SameRegion
	OtherRegion
)

// DistanceTo returns the distance to a data centre, OtherRegion if its region is unknown.
func (l Location) DistanceTo(dc string) Distance {
	switch {
	case dc == l.DC:
		return SameDC
	case l.Region[dc] != "" && l.Region[dc] == l.Region[l.DC]:
		return SameRegion
	}
	return OtherRegion
}

// Snapshot is one version of everything that requests are routed by.
type Snapshot struct {
	Version uint64         // of Tables
	Tables  *tables.Tables // nil until tables are known
	Routes  Routes
	Servers map[string]*Server
	Pools   map[string][]*Server     // servers that take new requests, by pool
	Owners  map[string]spans.Map     // by keyed pool
	Moving  map[string][]MovingRange // by keyed pool
	// Evacuations tells which data centres get no requests. Pools has no servers of theirs.
	Evacuations evac.State
}

// Evidence returns what servers, by id, show of an owner's process.
func Evidence(servers map[string]*Server, o spans.Owner) alive.Evidence {
	var registered spans.Owner
	if x := servers[o.Server]; x != nil {
		registered = x.Owner
	}
	return alive.Entry(o, registered)
}

// MovingRange is a range of keys that changes owner. Until is when they are expected to be served again.
type MovingRange struct {
	First, Last uint16
	Until       time.Time
}

// MovingRangeOf returns the moving range of a pool that contains key, nil if there is none.
func (s *Snapshot) MovingRangeOf(pool string, key uint16) *MovingRange {
	ranges := s.Moving[pool]
	for i := range ranges {
		if ranges[i].First <= key && key <= ranges[i].Last {
			return &ranges[i]
		}
	}
	return nil
}
