// Package chunks encodes the owners of keys for the store: one record for each chunk of the keys of a pool, so that a move
// changes one small record. It does no I/O.
package chunks

import (
	"fmt"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/bramleycove/bramleycove/internal/place/spans"
	"github.com/bramleycove/bramleycove/internal/wire/sitepb"
)

const (
	// KeyPrefix is the prefix of the records' keys; the pool and the chunk's first key follow.
	KeyPrefix = "owners/"
	// keysPerChunk is the number of keys whose owners share a record: small, as each change is sent to all instances, but
	// large enough that all records fit into one append.
	keysPerChunk = 1024
)

// Decode returns the owners by pool. It skips unowned and invalid runs of keys.
func Decode(chunks map[string]*sitepb.Owners) map[string]spans.Map {
	out := make(map[string]spans.Map)
	for _, key := range slices.Sorted(maps.Keys(chunks)) {
		o := chunks[key]
		next := int(o.GetFirst())
		n := min(len(o.GetWidths()), len(o.GetPlaces()), len(o.GetFences()))
		for i := range n {
			first := next
			next += int(o.GetWidths()[i])
			place := int(o.GetPlaces()[i])
			if place == 0 || place > len(o.GetOwners()) || next == first || next > spans.Last+1 {
				continue
			}
			owner := o.GetOwners()[place-1]
			out[o.GetPool()] = out[o.GetPool()].Append(spans.Span{
				First: uint16(first), Last: uint16(next - 1), Owner: spans.Owner{Server: owner.GetServer(), StartMs: owner.GetBorn()}, Fence: o.GetFences()[i],
			})
		}
	}
	return out
}

// Encode returns the chunks of an assignment by the keys of their records. It omits handovers, which matter only until the
// next owner has its first grant.
func Encode(owners map[string]spans.Map) map[string]*sitepb.Owners {
	out := make(map[string]*sitepb.Owners)
	for pool, m := range owners {
		for first := 0; first <= spans.Last; first += keysPerChunk {
			out[fmt.Sprintf("%s%s/%04x", KeyPrefix, pool, first)] = encodeChunk(pool, first, m.Clip(uint16(first), uint16(first+keysPerChunk-1)))
		}
	}
	return out
}

func encodeChunk(pool string, first int, m spans.Map) *sitepb.Owners {
	o := &sitepb.Owners{Pool: pool, First: uint32(first)}
	places := make(map[spans.Owner]uint32)
	appendRun := func(width int, place uint32, fence uint64) {
		o.Widths, o.Places, o.Fences = append(o.Widths, uint32(width)), append(o.Places, place), append(o.Fences, fence)
	}
	next := first
	for _, p := range m {
		if int(p.First) > next {
			appendRun(int(p.First)-next, 0, 0)
		}
		if places[p.Owner] == 0 {
			o.Owners = append(o.Owners, &sitepb.Owner{Server: p.Server, Born: p.StartMs})
			places[p.Owner] = uint32(len(o.Owners))
		}
		appendRun(p.Width(), places[p.Owner], p.Fence)
		next = int(p.Last) + 1
	}
	return o
}

// EncodeChanged returns the records of the chunks that differ from those recorded.
func EncodeChanged(recorded map[string]*sitepb.Owners, owners map[string]spans.Map, fence uint64) (map[string][]byte, error) {
	out := make(map[string][]byte)
	for key, o := range Encode(owners) {
		if old := recorded[key]; old != nil {
			o.Fence = old.GetFence()
		}
		if old := recorded[key]; old != nil && proto.Equal(o, old) {
			continue
		}
		o.Fence = fence
		value, err := proto.Marshal(o)
		if err != nil {
			return nil, errors.Wrap(err, key)
		}
		out[key] = value
	}
	return out, nil
}
