// Package stream encodes parts of the shared streams as messages between instances, and decodes them.
package stream

import (
	"bytes"
	"cmp"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"google.golang.org/protobuf/proto"

	"github.com/bramleycove/bramleycove/internal/peer/mirror"
	"github.com/bramleycove/bramleycove/internal/plat/keyed"
	"github.com/bramleycove/bramleycove/internal/wire/sitepb"
)

// minPackSize is the message size in bytes from which entries are compressed. The records of a thousand servers or routes
// are 250 to 400 KB, a tenth of that compressed, and links between regions and of small instances are narrow.
const minPackSize = 2 << 10

// lastPacked caches the last compressed entries of each topic, since many instances get the same.
var lastPacked [keyed.TopicCount]struct {
	sync.Mutex
	plain, value []byte
}

// pack compresses the entries of a stream if they are long.
func pack(t keyed.Topic, s *sitepb.Stream) {
	if proto.Size(s) < minPackSize {
		return
	}
	plain, err := proto.Marshal(&sitepb.Stream{Entries: s.GetEntries()})
	if err != nil {
		return // the push, which now holds the plain entries, fails with the same error
	}
	last := &lastPacked[t]
	last.Lock()
	defer last.Unlock()
	if !bytes.Equal(last.plain, plain) {
		last.plain, last.value = plain, fasthttp.AppendGzipBytesLevel(nil, plain, fasthttp.CompressDefaultCompression)
	}
	s.Packed, s.Entries = last.value, nil
}

// Encode returns a batch as a message.
func Encode(t keyed.Topic, b keyed.Batch, snapshot bool) *sitepb.Stream {
	s := &sitepb.Stream{Topic: uint32(t), End: b.End, Whole: snapshot}
	for _, e := range b.Entries {
		s.Entries = append(s.Entries, &sitepb.Entry{Key: []byte(e.Key), Offset: e.Offset, Value: e.Value})
	}
	// Equal entries must give equal bytes, for lastPacked.
	slices.SortFunc(s.Entries, func(a, b *sitepb.Entry) int {
		return cmp.Or(cmp.Compare(a.Offset, b.Offset), bytes.Compare(a.Key, b.Key))
	})
	pack(t, s)
	return s
}

// Apply merges the streams of a push into the local copy. Changes of a topic that is not loaded are ignored, since earlier
// records are missing. Streams that can't be decoded are skipped; their errors are combined.
func Apply(local *mirror.Streams, streams []*sitepb.Stream) (err error) {
	for _, s := range streams {
		t, batch, snapshot, decodeErr := Decode(s)
		if decodeErr != nil {
			err = errors.CombineErrors(err, decodeErr)
			continue
		}
		if _, known := local.End(t); known || snapshot {
			local.Apply(t, batch, snapshot)
		}
	}
	return err
}

// Have returns the end of each stream in the local copy, 0 if it is not loaded.
func Have(local *mirror.Streams) (out []*sitepb.Have) {
	for t := range keyed.TopicCount {
		end, known := local.End(t)
		if !known {
			end = 0
		}
		out = append(out, &sitepb.Have{Topic: uint32(t), End: end})
	}
	return out
}

// Decode returns the batch of a message and whether it is a snapshot.
func Decode(s *sitepb.Stream) (t keyed.Topic, b keyed.Batch, snapshot bool, err error) {
	t, b.End = keyed.Topic(s.GetTopic()), s.GetEnd()
	entries := s.GetEntries()
	if len(s.GetPacked()) > 0 {
		plain, err := fasthttp.AppendGunzipBytes(nil, s.GetPacked())
		if err != nil {
			return 0, keyed.Batch{}, false, errors.Wrapf(err, "entries of %v", t)
		}
		inner := new(sitepb.Stream)
		if err := proto.Unmarshal(plain, inner); err != nil {
			return 0, keyed.Batch{}, false, errors.Wrapf(err, "entries of %v", t)
		}
		entries = inner.GetEntries()
	}
	for _, e := range entries {
		b.Entries = append(b.Entries, keyed.Entry{Key: string(e.GetKey()), Offset: e.GetOffset(), Value: e.GetValue()})
	}
	return t, b, s.GetWhole(), nil
}
