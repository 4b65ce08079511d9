package listsv_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/bramleycove/bramleycove/internal/plat/roster"
	"github.com/bramleycove/bramleycove/internal/stand/faults"
	"github.com/bramleycove/bramleycove/internal/stand/listsv"
)

// Guards against changes that show before the lag has passed, or never.
func TestLag(t *testing.T) {
	s := listsv.New(2 * time.Second)
	now := time.Unix(1000, 0)
	s.Apply(now, listsv.Command{Put: listsv.List{Instances: []listsv.Instance{{ID: "i1"}}}})
	s.Apply(now.Add(time.Second), listsv.Command{Leave: []string{"i1"}})
	s.Apply(now.Add(5*time.Second), listsv.Command{Remove: []string{"i1"}})
	for _, tc := range []struct {
		after time.Duration
		want  string
	}{{0, ""}, {2 * time.Second, listsv.Live}, {3 * time.Second, listsv.Leaving}, {7 * time.Second, ""}} {
		got := ""
		for _, in := range s.Shown(now.Add(tc.after)).Instances {
			got = in.State
		}
		if got != tc.want {
			t.Errorf("after %v: state %q, want %q", tc.after, got, tc.want)
		}
	}
}

// Guards against a wire form that the client does not read, an unchanged list that is lost or a changed one that is not
// read, and a down mode that answers.
func TestFetch(t *testing.T) {
	s := listsv.New(0)
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	if err := s.Listen(loopback, loopback, nil); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	s.Apply(time.Now(), listsv.Command{Put: listsv.List{
		Instances: []listsv.Instance{{ID: "i1", DC: "dk-east-1", Region: "dk-east", Peer: "127.0.0.1:7"}},
		Servers:   []listsv.Server{{Pool: "stock", Name: "s1", Address: "127.0.0.1:8", State: listsv.Leaving}},
	}})
	client := roster.New(s.Address())
	list, err := client.Fetch(t.Context())
	if err != nil || len(list.Instances) != 1 || list.Instances[0].Peer.Port() != 7 || !list.Servers[0].Leaving {
		t.Fatalf("%+v, %v", list, err)
	}
	if again, err := client.Fetch(t.Context()); err != nil || len(again.Instances) != 1 || !again.Servers[0].Leaving {
		t.Errorf("unchanged: %+v, %v", again, err)
	}
	s.Apply(time.Now(), listsv.Command{Remove: []string{"i1"}})
	if list, err = client.Fetch(t.Context()); err != nil || len(list.Instances) != 0 {
		t.Errorf("changed: %+v, %v", list, err)
	}
	if err := s.SetFault(faults.Fault{Mode: faults.Down}); err != nil {
		t.Fatal(err)
	}
	if _, err := client.Fetch(t.Context()); err == nil {
		t.Fatal("fetched while down")
	}
}
