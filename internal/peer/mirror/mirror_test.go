package mirror_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bramleycove/bramleycove/internal/peer/mirror"
	"github.com/bramleycove/bramleycove/internal/plat/keyed"
)

func entry(key string, offset uint64, value string) keyed.Entry {
	return keyed.Entry{Key: key, Offset: offset, Value: []byte(value)}
}

// Guards against copies that differ although they received the same records, in any order and any number of times,
// and against a dropped key that an older record restores.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		var log []keyed.Entry
		newest := make(map[string]string)
		for i := range 40 {
			key, value := string(rune('a'+rng.IntN(5))), ""
			if rng.IntN(3) > 0 {
				value = string(rune('0' + i))
			}
			log = append(log, entry(key, uint64(i), value))
			newest[key] = value
		}
		b, follower := new(mirror.Streams), new(mirror.Streams)
		sent := uint64(0)
		for range 2 {
			for _, i := range rng.Perm(len(log)) {
				b.Apply(keyed.Servers, keyed.Batch{Entries: log[i : i+1], End: uint64(i + 1)}, false)
				if rng.IntN(4) == 0 {
					var batch keyed.Batch
					batch, sent = b.ChangesAfter(keyed.Servers, sent)
					follower.Apply(keyed.Servers, batch, false)
				}
			}
		}
		batch, _ := b.ChangesAfter(keyed.Servers, sent)
		follower.Apply(keyed.Servers, batch, false)
		for key, want := range newest {
			if got := string(b.Get(keyed.Servers, key).Value); got != want {
				t.Fatalf("%s is %q, want %q", key, got, want)
			}
			if got := string(follower.Get(keyed.Servers, key).Value); got != want {
				t.Fatalf("%s is %q at the follower, want %q", key, got, want)
			}
		}
	})
}

// Guards against a server that stays known although a snapshot of the store no longer lists it.
func TestSnapshot(t *testing.T) {
	changed := 0
	b := &mirror.Streams{OnChange: func(keyed.Topic, []keyed.Entry) { changed++ }}
	b.Apply(keyed.Servers, keyed.Batch{Entries: []keyed.Entry{entry("a", 1, "x"), entry("b", 2, "y")}, End: 3}, true)
	b.Apply(keyed.Servers, keyed.Batch{Entries: []keyed.Entry{entry("b", 2, "y")}, End: 9}, true)
	if got := b.Get(keyed.Servers, "a"); len(got.Value) != 0 || changed != 2 {
		t.Errorf("a is %q after %d changes", got.Value, changed)
	}
}

// Guards against heartbeats that are pushed to all instances although they change nothing.
func TestSameValue(t *testing.T) {
	b := &mirror.Streams{SameValue: func(keyed.Topic, []byte, []byte) bool { return true }}
	b.Apply(keyed.Servers, keyed.Batch{Entries: []keyed.Entry{entry("a", 1, "x")}, End: 2}, false)
	_, seq := b.ChangesAfter(keyed.Servers, 0)
	b.Apply(keyed.Servers, keyed.Batch{Entries: []keyed.Entry{entry("a", 5, "y")}, End: 6}, false)
	batch, _ := b.ChangesAfter(keyed.Servers, seq)
	if len(batch.Entries) != 0 || b.Get(keyed.Servers, "a").Offset != 5 {
		t.Errorf("to be pushed: %v; newest entry at %d", batch.Entries, b.Get(keyed.Servers, "a").Offset)
	}
}

// Guards against live servers that are taken for gone because their entries lapsed while the store was unavailable, and
// against lost removals: the next read must return them again.
func TestRemovalHold(t *testing.T) {
	now := time.Unix(1000, 0)
	batch := keyed.Batch{Entries: []keyed.Entry{entry("a", 7, ""), entry("b", 8, "z")}, End: 9}
	var hold mirror.RemovalHold
	if got := hold.Filter(now, batch); len(got.Entries) != 2 || got.End != 9 {
		t.Errorf("without an outage: %+v", got)
	}
	for i := range 3 {
		hold.NoteFailure(now.Add(time.Duration(i) * time.Second))
	}
	back := now.Add(3 * time.Second)
	if got := hold.Filter(back, batch); len(got.Entries) != 1 || got.End != 7 {
		t.Errorf("after an outage: %+v", got)
	}
	if got := hold.Filter(back.Add(2500*time.Millisecond), batch); len(got.Entries) != 2 || got.End != 9 {
		t.Errorf("when live servers must have registered again: %+v", got)
	}
	// An instance whose reads failed for long and that then had no need to read can't assume an outage.
	hold.NoteFailure(back.Add(4 * time.Second))
	hold.NoteFailure(back.Add(5 * time.Second))
	hold.NoteFailure(back.Add(6 * time.Second))
	if got := hold.Filter(back.Add(15*time.Second), batch); len(got.Entries) != 2 {
		t.Errorf("nine seconds after the last failure: %+v", got)
	}
	// An old failure that was followed by a successful read of another stream is no outage.
	hold.NoteFailure(back.Add(16 * time.Second))
	hold.NoteSuccess(back.Add(16100 * time.Millisecond))
	if got := hold.Filter(back.Add(20*time.Second), batch); len(got.Entries) != 2 {
		t.Errorf("long after a failure: %+v", got)
	}
	hold.NoteFailure(back.Add(21 * time.Second))
	if got := hold.Filter(back.Add(21200*time.Millisecond), batch); len(got.Entries) != 2 {
		t.Errorf("after one failed read: %+v", got)
	}
}

// Guards against renewals of the leader's lease that are pushed to all instances each second.
func TestOmitFromPushes(t *testing.T) {
	reported := 0
	b := &mirror.Streams{
		OnChange:       func(_ keyed.Topic, entries []keyed.Entry) { reported += len(entries) },
		OmitFromPushes: func(_ keyed.Topic, key string, _, _ []byte) bool { return key == "lead" },
	}
	put := func(key string, offset uint64) {
		b.Apply(keyed.Place, keyed.Batch{Entries: []keyed.Entry{entry(key, offset, "v")}, End: offset + 1}, false)
	}
	put("lead", 0)
	put("other", 1)
	_, sent := b.ChangesAfter(keyed.Place, 0)
	put("lead", 2)
	if batch, _ := b.ChangesAfter(keyed.Place, sent); len(batch.Entries) != 0 || reported != 3 {
		t.Errorf("to be pushed: %v; %d entries reported as changed", batch.Entries, reported)
	}
	if batch, _ := b.ChangesAfter(keyed.Place, 0); len(batch.Entries) != 2 || b.Get(keyed.Place, "lead").Offset != 2 {
		t.Errorf("a new instance gets %v", batch.Entries)
	}
}

// Guards against a new leader that sends all servers to each instance because each has written a heartbeat since
// the instance's last update.
func TestHeartbeatsLeftOut(t *testing.T) {
	b := &mirror.Streams{SameValue: func(_ keyed.Topic, old, value []byte) bool { return old[0] == value[0] }}
	put := func(key string, offset uint64, value string) {
		b.Apply(keyed.Servers, keyed.Batch{Entries: []keyed.Entry{entry(key, offset, value)}, End: offset + 1}, false)
	}
	put("s1", 0, "a0")
	put("s2", 1, "a0")
	put("s1", 2, "a1") // a heartbeat
	put("s2", 3, "b0") // a change, then a heartbeat
	put("s2", 4, "b1")
	for from, want := range []int{2, 1, 1, 1, 0} {
		if batch, _, _ := b.EntriesFrom(keyed.Servers, uint64(from)); len(batch.Entries) != want {
			t.Errorf("from %d: %v, want %d entries", from, batch.Entries, want)
		}
	}
	if batch, _, _ := b.EntriesFrom(keyed.Servers, 2); string(batch.Entries[0].Value) != "b1" || batch.End != 5 {
		t.Errorf("from 2: got %v", batch)
	}
}
