package build_test

import (
	"net/netip"
	"testing"

	"github.com/bramleycove/bramleycove/internal/place/alive"
	"github.com/bramleycove/bramleycove/internal/place/build"
	"github.com/bramleycove/bramleycove/internal/place/spans"
	"github.com/bramleycove/bramleycove/internal/place/topo"
)

// Guards against keys of a live process that are freed since an earlier process, or one elsewhere, is registered, and against keys that
// wait for their last grant though another process has the address.
func TestEvidence(t *testing.T) {
	here, there := netip.MustParseAddrPort("127.0.0.1:80"), netip.MustParseAddrPort("127.0.0.1:81")
	o := spans.Owner{Server: "a", StartMs: 5}
	for _, c := range []struct {
		other    topo.Server
		searched alive.Evidence
		want     alive.Evidence // without a search
	}{
		{topo.Server{Owner: spans.Owner{Server: "b", StartMs: 6}, Address: here}, alive.AddressTaken, alive.EntryCurrent},
		{topo.Server{Owner: spans.Owner{Server: "b", StartMs: 4}, Address: here}, alive.EntryCurrent, alive.EntryCurrent},
		{topo.Server{Owner: spans.Owner{Server: "b", StartMs: 6}, Address: there}, alive.EntryCurrent, alive.EntryCurrent},
		{topo.Server{Owner: spans.Owner{Server: "a", StartMs: 6}, Address: there}, alive.EntryNewer, alive.EntryNewer},
		{topo.Server{Owner: spans.Owner{Server: "a", StartMs: 4}, Address: there}, alive.EntryOlder, alive.EntryOlder},
	} {
		b := build.Builder{Servers: map[string]*topo.Server{"a": {Owner: o, Address: here}}}
		b.Servers[c.other.Server] = &c.other
		if searched, got := b.Evidence(o, true), b.Evidence(o, false); searched != c.searched || got != c.want {
			t.Errorf("%v registered at %v: evidence %d, %d without a search; want %d, %d", c.other.Owner, c.other.Address, searched, got, c.searched, c.want)
		}
	}
}
