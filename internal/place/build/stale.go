package build

import (
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/bramleycove/bramleycove/internal/place/chunks"
	"github.com/bramleycove/bramleycove/internal/plat/keyed"
	"github.com/bramleycove/bramleycove/internal/wire/sitepb"
)

// IsStale reports whether a value that a restored store has is older than what is known of its key. An empty value means that
// the store has none: tables and placement are not dropped, but servers may be gone.
func (d *Decoder) IsStale(topic keyed.Topic, key string, known, value []byte) bool {
	if len(value) == 0 {
		return topic != keyed.Servers
	}
	switch {
	case topic == keyed.Config && key == tablesRecordKey:
		return d.isOlderTables(known, value)
	case topic == keyed.Servers:
		return d.IsOlderServer(known, value)
	case topic == keyed.Place && key == leadRecordKey:
		return isOlderLead(known, value)
	case topic == keyed.Place && strings.HasPrefix(key, chunks.KeyPrefix):
		return isOlderOwners(known, value)
	}
	return false
}

func (d *Decoder) isOlderTables(known, value []byte) bool {
	a, _, errA := d.DecodeTables(known)
	b, _, errB := d.DecodeTables(value)
	return errA == nil && (errB != nil || b <= a)
}

// isOlderLead reports whether a lead record has a lower term, or is an earlier record of the same holder and term.
func isOlderLead(known, value []byte) bool {
	a, errA := unmarshalLead(known)
	b, errB := unmarshalLead(value)
	return errA == nil && (errB != nil || b.Term < a.Term || b.Term == a.Term && b.Holder == a.Holder)
}

// isOlderOwners reports whether a record was made before a higher fence was used.
func isOlderOwners(known, value []byte) bool {
	a, b := new(sitepb.Owners), new(sitepb.Owners)
	if proto.Unmarshal(known, a) != nil {
		return false
	}
	return proto.Unmarshal(value, b) != nil || b.GetFence() <= a.GetFence()
}
