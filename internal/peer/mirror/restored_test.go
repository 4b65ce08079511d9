package mirror_test

import (
	"testing"

	"github.com/bramleycove/bramleycove/internal/peer/mirror"
	"github.com/bramleycove/bramleycove/internal/plat/keyed"
)

// newRestorable returns a copy whose values are compared as text. Only servers may be missing in a restored store.
func newRestorable() *mirror.Streams {
	return &mirror.Streams{IsStale: func(topic keyed.Topic, _ string, known, value []byte) bool {
		if len(value) == 0 {
			return topic != keyed.Servers
		}
		return string(value) <= string(known)
	}}
}

func restored(offset uint64) uint64 { return keyed.Position(1, offset) }

// Guards against older values of a restored store that replace newer ones, and newer values of it that are ignored.
func TestRestored(t *testing.T) {
	b := newRestorable()
	put := func(topic keyed.Topic, key, value string, offset uint64) {
		b.Apply(topic, keyed.Batch{Entries: []keyed.Entry{entry(key, offset, value)}, End: offset + 1}, false)
	}
	put(keyed.Config, "config", "v5", 9)
	put(keyed.Place, "lead", "t3", 50)
	put(keyed.Servers, "left", "s8", 70)
	put(keyed.Servers, "left", "", 71)
	put(keyed.Servers, "lives", "s8", 72)
	put(keyed.Servers, "dead", "s8", 73)
	b.Apply(keyed.Config, keyed.Batch{Entries: []keyed.Entry{entry("config", restored(2), "v4")}, End: restored(3)}, true)
	b.Apply(keyed.Place, keyed.Batch{End: restored(4)}, true)
	b.Apply(keyed.Servers, keyed.Batch{Entries: []keyed.Entry{entry("left", restored(5), "s6"), entry("lives", restored(6), "s7")}, End: restored(7)}, false)
	for _, c := range []struct {
		topic     keyed.Topic
		key, want string
	}{{keyed.Config, "config", "v5"}, {keyed.Place, "lead", "t3"}, {keyed.Servers, "left", ""}, {keyed.Servers, "lives", "s8"}, {keyed.Servers, "dead", "s8"}} {
		if got := b.Get(c.topic, c.key); string(got.Value) != c.want {
			t.Errorf("%s is %q after the restoration, want %q", c.key, got.Value, c.want)
		}
	}
	b.DropEarlierEras(keyed.Servers)
	if got := b.Get(keyed.Servers, "dead"); len(got.Value) > 0 {
		t.Error("a server that has not registered again is kept")
	}
	if got := b.Get(keyed.Servers, "lives"); string(got.Value) != "s8" {
		t.Error("a server that the restored store has is dropped")
	}
	put(keyed.Config, "config", "v6", restored(3))
	if got := b.Get(keyed.Config, "config"); string(got.Value) != "v6" {
		t.Errorf("tables are %q, want the next ones", got.Value)
	}
}

// Guards against an instance that started after the restoration and keeps what it read there, though others know more.
func TestRestoredReader(t *testing.T) {
	leader, started := newRestorable(), newRestorable()
	leader.Apply(keyed.Config, keyed.Batch{Entries: []keyed.Entry{entry("config", 9, "v5")}, End: 10}, true)
	for _, b := range []*mirror.Streams{leader, started} {
		b.Apply(keyed.Config, keyed.Batch{Entries: []keyed.Entry{entry("config", restored(2), "v4")}, End: restored(3)}, true)
	}
	end, _ := started.End(keyed.Config)
	batch, _, _ := leader.EntriesFrom(keyed.Config, end)
	started.Apply(keyed.Config, batch, false)
	if got := started.Get(keyed.Config, "config"); string(got.Value) != "v5" {
		t.Errorf("tables are %q, want those that the leader kept", got.Value)
	}
	batch, _ = started.ChangesAfter(keyed.Config, 0)
	leader.Apply(keyed.Config, batch, false)
	if got := leader.Get(keyed.Config, "config"); string(got.Value) != "v5" {
		t.Errorf("tables of the leader are %q", got.Value)
	}
}

// Guards against an instance that keeps the older tables of the copy because a later leader, which has never read the copy, does not
// send it the newer ones.
func TestRestoredSuccessor(t *testing.T) {
	leader, successor, started := newRestorable(), newRestorable(), newRestorable()
	for _, b := range []*mirror.Streams{leader, successor} {
		b.Apply(keyed.Config, keyed.Batch{Entries: []keyed.Entry{entry("config", 9, "v5")}, End: 10}, true)
	}
	_, known := leader.ChangesAfter(keyed.Config, 0)
	for _, b := range []*mirror.Streams{leader, started} {
		b.Apply(keyed.Config, keyed.Batch{Entries: []keyed.Entry{entry("config", restored(2), "v4")}, End: restored(3)}, true)
	}
	pushed, _ := leader.ChangesAfter(keyed.Config, known)
	successor.Apply(keyed.Config, pushed, false)
	end, _ := started.End(keyed.Config)
	batch, _, _ := successor.EntriesFrom(keyed.Config, end)
	started.Apply(keyed.Config, batch, false)
	if got := started.Get(keyed.Config, "config"); string(got.Value) != "v5" {
		t.Errorf("tables are %q, want those that the successor knows", got.Value)
	}
}

// Guards against a lead that is dropped because the copy is older than its first record.
func TestRestoredEmpty(t *testing.T) {
	b := newRestorable()
	b.Apply(keyed.Place, keyed.Batch{Entries: []keyed.Entry{entry("lead", 5, "t3")}, End: 6}, true)
	b.Apply(keyed.Place, keyed.Batch{End: restored(0)}, true)
	if got := b.Get(keyed.Place, "lead"); string(got.Value) != "t3" {
		t.Errorf("the lead is %q", got.Value)
	}
	b.Apply(keyed.Place, keyed.Batch{Entries: []keyed.Entry{entry("lead", restored(1), "t4")}, End: restored(2)}, false)
	if got := b.Get(keyed.Place, "lead"); string(got.Value) != "t4" {
		t.Errorf("the next lead is %q", got.Value)
	}
}
