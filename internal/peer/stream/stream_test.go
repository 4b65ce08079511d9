package stream_test

import (
	"fmt"
	"reflect"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/bramleycove/bramleycove/internal/peer/stream"
	"github.com/bramleycove/bramleycove/internal/plat/keyed"
)

// Guards against pushes of many small entries that fill the links between regions: the records of a thousand servers were
// sent to each instance uncompressed.
func TestPacked(t *testing.T) {
	var b keyed.Batch
	for i := range 1000 {
		value := fmt.Sprintf(`{"service":"stock","address":"10.1.%d.%d:8080","zone":"a","slots":3,"state":"ready","seq":%d}`, i/250, i%250, i*7)
		b.Entries = append(b.Entries, keyed.Entry{Key: fmt.Sprint("i-", i), Offset: uint64(i), Value: []byte(value)})
	}
	b.End = 1000
	plain := 0
	for _, e := range b.Entries {
		plain += len(e.Key) + len(e.Value)
	}
	s := stream.Encode(keyed.Servers, b, true)
	if size := proto.Size(s); size > plain/4 {
		t.Errorf("a message of %d bytes for entries of %d bytes, want at most a quarter", size, plain)
	}
	topic, got, whole, err := stream.Decode(s)
	if err != nil || topic != keyed.Servers || !whole || !reflect.DeepEqual(got, b) {
		t.Errorf("decoded %v of %v, whole %v, %d entries to %d: %v", topic, keyed.Servers, whole, len(got.Entries), got.End, err)
	}
}
