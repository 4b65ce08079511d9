package topo_test

import (
	"fmt"
	"net/netip"

	"github.com/bramleycove/bramleycove/internal/place/spans"
	"github.com/bramleycove/bramleycove/internal/place/topo"
)

// Only a later process with another id shows that the one before at its address has ended.
func ExampleSnapshot_AddressTaken() {
	at := netip.MustParseAddrPort("127.0.0.1:80")
	a := &topo.Server{Owner: spans.Owner{Server: "a", StartMs: 5}, Address: at}
	for _, x := range []*topo.Server{
		{Owner: spans.Owner{Server: "a", StartMs: 6}, Address: at},
		{Owner: spans.Owner{Server: "b", StartMs: 4}, Address: at},
		{Owner: spans.Owner{Server: "b", StartMs: 6}, Address: at},
	} {
		w := &topo.Snapshot{Servers: map[string]*topo.Server{x.Server: x}}
		fmt.Println(x.Server, x.StartMs, w.AddressTaken(a))
	}
	// Output:
	// a 6 false
	// b 4 false
	// b 6 true
}
