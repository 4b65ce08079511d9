package spread

import (
	"bytes"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/bramleycove/bramleycove/internal/plat/keyed"
	"github.com/bramleycove/bramleycove/internal/wire/sitepb"
)

// packFrom is the length from which on values are compressed. Tables of a thousand routes are some 400 KB, and links
// between regions and of small instances are narrow.
const packFrom = 2 << 10

// packed holds the last large value that was compressed, since one goes to all instances.
var packed struct {
	sync.Mutex
	offset uint64
	plain  []byte
	value  []byte
}

// pack returns a value as it is sent.
func pack(e keyed.Entry) (value []byte, isPacked bool) {
	if len(e.Value) < packFrom {
		return e.Value, false
	}
	packed.Lock()
	defer packed.Unlock()
	if packed.offset != e.Offset || !bytes.Equal(packed.plain, e.Value) {
		packed.offset, packed.plain = e.Offset, e.Value
		packed.value = fasthttp.AppendGzipBytesLevel(nil, e.Value, fasthttp.CompressDefaultCompression)
	}
	return packed.value, true
}

// Encode returns a batch as a message.
func Encode(t keyed.Topic, b keyed.Batch, whole bool) *sitepb.Stream {
	s := &sitepb.Stream{Topic: uint32(t), End: b.End, Whole: whole}
	for _, e := range b.Entries {
		value, isPacked := pack(e)
		s.Entries = append(s.Entries, &sitepb.Entry{Key: e.Key, Offset: e.Offset, Value: value, Packed: isPacked})
	}
	return s
}

// Decode returns the batch of a message.
func Decode(s *sitepb.Stream) (t keyed.Topic, b keyed.Batch, whole bool, err error) {
	b.End = s.GetEnd()
	for _, e := range s.GetEntries() {
		value := e.GetValue()
		if e.GetPacked() {
			if value, err = fasthttp.AppendGunzipBytes(nil, value); err != nil {
				return 0, keyed.Batch{}, false, errors.Wrapf(err, "value of %q", e.GetKey())
			}
		}
		b.Entries = append(b.Entries, keyed.Entry{Key: e.GetKey(), Offset: e.GetOffset(), Value: value})
	}
	return keyed.Topic(s.GetTopic()), b, s.GetWhole(), nil
}
