package recall_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/bramleycove/bramleycove/internal/place/elect"
	"github.com/bramleycove/bramleycove/internal/place/recall"
)

const (
	modelKeys = 3
	released  = -1 // a key whose former owner has released it: nobody holds it
)

// modelRecord is the owner of a key in the store.
type modelRecord struct {
	fence uint64
	key   int
	owner int
}

// modelInstance is an instance that follows the leader.
type modelInstance struct {
	name      string
	memory    recall.Memory
	startTerm uint64
	owners    [modelKeys]modelRecord // newest known records
	fromCopy  bool                   // it was restarted from a copy that lacks records
}

func (in *modelInstance) apply(records []modelRecord) {
	for _, r := range records {
		if r.fence > in.owners[r.key].fence {
			in.owners[r.key] = r
		}
	}
}

func (in *modelInstance) fence() (highest uint64) {
	for _, r := range in.owners {
		highest = max(highest, r.fence)
	}
	return highest
}

// modelLeader moves keys: first it names them as moving, then it records the next owner, then a majority has to know.
type modelLeader struct {
	term        uint64
	number      uint64
	quorum      *elect.Quorum
	records     []modelRecord // all that it has recorded
	held        [modelKeys]int
	moving      [modelKeys]bool
	movingAfter [modelKeys]uint64
	recorded    [modelKeys]bool
}

func (l *modelLeader) movingRanges() (out []recall.Range) {
	for k, m := range l.moving {
		if m {
			out = append(out, recall.Range{Pool: "p", First: uint16(k), Last: uint16(k)})
		}
	}
	return out
}

// Guards against a successor that trusts an owner which is not the latest one: pushes get lost or come without records, instances are
// restarted from the store or from each other, and the store loses records.
func TestModelOwnersCertain(t *testing.T) {
	certain := 0
	rapid.Check(t, func(t *rapid.T) {
		const term = 4
		n := rapid.IntRange(2, 5).Draw(t, "instances")
		var all []*modelInstance
		var names []string
		for i := range n {
			names = append(names, fmt.Sprint("i", i))
			all = append(all, &modelInstance{name: names[i], startTerm: uint64(rapid.IntRange(1, term).Draw(t, "start term"))})
		}
		l := &modelLeader{term: term, quorum: elect.NewQuorum(names)}
		l.quorum.AddNumber(names[0], 1<<60) // the leader itself, lost with the store's records
		inStore, restored := 0, false
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			in, key := all[rapid.IntRange(1, n-1).Draw(t, "instance")], rapid.IntRange(0, modelKeys-1).Draw(t, "key")
			switch rapid.SampledFrom([]string{"move", "record", "grant", "push", "push", "push", "bare push", "restart", "restore"}).Draw(t, "step") {
			case "move":
				if !l.moving[key] {
					l.moving[key], l.recorded[key], l.movingAfter[key] = true, false, l.number
				}
			case "record":
				if l.moving[key] && !l.recorded[key] && !restored {
					l.records = append(l.records, modelRecord{fence: uint64(len(l.records) + 1), key: key, owner: len(l.records) + 1})
					l.recorded[key], inStore = true, len(l.records)
					l.held[key] = released
				}
			case "grant":
				if l.recorded[key] && l.moving[key] && l.quorum.MajorityNumber() > l.movingAfter[key] {
					for _, r := range l.records {
						if r.key == key {
							l.held[key] = r.owner
						}
					}
					l.moving[key] = false
				}
			case "push":
				l.number++
				in.memory.Add(l.movingRanges())
				if !in.fromCopy { // the leader takes it for an instance with later records
					in.apply(l.records)
					in.memory.Complete(term, l.movingRanges())
				}
				if rapid.Bool().Draw(t, "answered") {
					l.quorum.AddNumber(in.name, l.number)
				}
			case "bare push":
				l.number++
				in.memory.Add(l.movingRanges())
				l.quorum.AddNumber(in.name, l.number)
			case "restart":
				*in = modelInstance{name: in.name, startTerm: term, fromCopy: restored}
				if restored {
					in.startTerm = 1<<32 - 1
				}
				in.apply(l.records[:inStore])
			case "restore":
				if !restored {
					restored, inStore = true, rapid.IntRange(0, inStore).Draw(t, "records left")
				}
			}
		}
		successor := all[rapid.IntRange(1, n-1).Draw(t, "successor")]
		for _, in := range all {
			in.memory.Keep(1, in.fence())
		}
		own, _ := successor.memory.Report()
		s := recall.NewSurvey(names, term, own)
		for _, i := range rapid.Permutation(all[1:]).Draw(t, "order") {
			r, _ := i.memory.Report()
			s.Add(i.name, i.startTerm, r)
			moving, ok, complete := s.Result()
			if !complete {
				continue
			}
			uncertain := make(map[uint16]bool)
			for _, m := range moving {
				uncertain[m.First] = true
			}
			for k := range modelKeys {
				if known := successor.owners[k].owner; ok && !uncertain[uint16(k)] && l.held[k] != released && known != l.held[k] {
					t.Fatalf("key %d is trusted to be held by %d, and %d holds it", k, known, l.held[k])
				}
			}
			if ok {
				certain++
			}
			break
		}
	})
	if certain == 0 {
		t.Error("no run in which a successor was certain")
	}
}
