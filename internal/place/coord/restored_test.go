package coord_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/bramleycove/bramleycove/internal/place/build"
	"github.com/bramleycove/bramleycove/internal/place/coord"
	"github.com/bramleycove/bramleycove/internal/place/elect"
	"github.com/bramleycove/bramleycove/internal/plat/keyed"
	"github.com/bramleycove/bramleycove/internal/wire/sitepb"
)

// Guards against a leader whose lease has ended and that goes on by its earlier record: the store was restored, and may have lost
// the claim of a successor.
func TestLeadAfterLapseAndRestoration(t *testing.T) {
	self := netip.MustParseAddrPort("127.0.0.1:1")
	earlier, err := build.EncodeLead(elect.LeadRecord{Holder: self.String(), Term: 4, Members: []string{self.String(), "127.0.0.1:2", "127.0.0.1:3"}})
	if err != nil {
		t.Fatal(err)
	}
	store := &fakeLog{appendTime: 20 * time.Millisecond, entries: []keyed.Entry{earlier}, foreignPlace: keyed.Batch{Entries: []keyed.Entry{earlier}, End: 1}}
	_, stop := start(self, store)
	defer stop()
	for begun := time.Now(); !store.isAppending(2); time.Sleep(time.Millisecond) {
		if time.Since(begun) > 20*time.Second {
			t.Fatal("the lead is not claimed and renewed")
		}
	}
	store.setUnavailable(true)
	time.Sleep(elect.LeaseDuration + 500*time.Millisecond)
	store.mu.Lock()
	earlier.Offset = keyed.Position(1, 0)
	store.era, store.entries = 1, []keyed.Entry{earlier}
	store.foreignPlace = keyed.Batch{Entries: []keyed.Entry{earlier}, End: keyed.Position(1, 1)}
	store.unavailable = false
	store.mu.Unlock()
	for begun := time.Now(); ; time.Sleep(time.Millisecond) {
		store.mu.Lock()
		n := len(store.entries)
		store.mu.Unlock()
		if n > 1 {
			break
		}
		if time.Since(begun) > 20*time.Second {
			t.Fatal("nothing is recorded after the restoration")
		}
	}
	store.mu.Lock()
	defer store.mu.Unlock()
	for _, e := range store.entries[1:] {
		if l, ok, err := build.ParseLead(e); ok && (err != nil || l.Term < 1<<32) {
			t.Errorf("the first lead after the restoration has term %d, error %v; want a claim with a term of the new era", l.Term, err)
		}
		break
	}
}

// startFromCopy starts an instance with a restored store whose copy has a lead of term 4.
func startFromCopy(t *testing.T) (c *coord.Coordinator, stop func()) {
	t.Helper()
	earlier, err := build.EncodeLead(elect.LeadRecord{Holder: "127.0.0.1:2", Term: 4, Members: []string{"127.0.0.1:1", "127.0.0.1:2"}})
	if err != nil {
		t.Fatal(err)
	}
	earlier.Offset = keyed.Position(1, 0)
	store := &fakeLog{era: 1, foreignPlace: keyed.Batch{Entries: []keyed.Entry{earlier}, End: keyed.Position(1, 1)}}
	return start(netip.MustParseAddrPort("127.0.0.1:1"), store)
}

// Guards against an instance that was restarted after a restoration and counts for the quorum of a leader whose successor it followed
// before: the store may have lost the successor's record.
func TestNoWitnessBeforeRestoredStart(t *testing.T) {
	c, stop := startFromCopy(t)
	defer stop()
	const later = 1 << 40 // a term from which the answer of an instance that is still starting can be told
	for begun := time.Now(); ; time.Sleep(time.Millisecond) {
		r := c.Handlers().OnPush(&sitepb.PushRequest{From: "127.0.0.1:3", Term: later})
		if r.GetStartTerm() == later && time.Since(begun) < 20*time.Second {
			continue
		}
		if r.GetStartTerm() < 1<<32-1 || r.GetStartTerm() == later {
			t.Errorf("start term %d, want at least the last of the earlier era", r.GetStartTerm())
		}
		return
	}
}

// Guards against an instance that was restarted from the copy and vouches for records that the copy lacks: its end of the stream is of a
// newer era than the records of the leader, which has not found the restoration yet.
func TestNoReportFromCopy(t *testing.T) {
	c, stop := startFromCopy(t)
	defer stop()
	for begun := time.Now(); c.Handlers().OnPull(&sitepb.PullRequest{}).GetStreams() == nil; time.Sleep(time.Millisecond) {
		if time.Since(begun) > 20*time.Second {
			t.Fatal("the streams are not read")
		}
	}
	if r := c.Handlers().OnPush(&sitepb.PushRequest{From: "127.0.0.1:2", Term: 4, Number: 1, LeadOffset: 72}); r.GetStale() {
		t.Fatal("the push of the earlier leader is stale")
	}
	r := c.Handlers().OnPush(&sitepb.PushRequest{From: "127.0.0.1:3", Term: 1 << 32, Number: 1})
	if e := r.GetEarlier(); e == nil || e.GetTerm() != 0 {
		t.Errorf("report %v, want one without a term", e)
	}
}
