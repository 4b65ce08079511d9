package events_test

import (
	"bytes"
	"errors"
	"net/netip"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/bramleycove/bramleycove/internal/oper/events"
)

func testTime() time.Time { return time.Date(2026, 5, 4, 3, 2, 1, 7e6, time.UTC) }

func ExampleLogger() {
	log := events.New(os.Stdout, testTime, []string{"place"})
	log.Info("started", "instance", "i1", "peer", netip.MustParseAddrPort("127.0.0.1:80"), "note", "two words")
	log.For("place").Debug("slot-moved", "slot", uint64(7), "took", 30*time.Millisecond)
	log.For("flow").Debug("not written")
	log.Error("append-failed", "error", errors.New("line 1\nline 2"), "again", true)
	// Output:
	// time=2026-05-04T03:02:01.007Z level=info event=started instance=i1 peer=127.0.0.1:80 note="two words"
	// time=2026-05-04T03:02:01.007Z level=debug event=slot-moved subsystem=place slot=7 took=30ms
	// time=2026-05-04T03:02:01.007Z level=error event=append-failed error="line 1\nline 2" again=true
}

// TestValues guards against values that break the format of a line.
func TestValues(t *testing.T) {
	var buf bytes.Buffer
	log := events.New(&buf, testTime, nil)
	log.Info("e", "a", `q"u,o}t{e: `, "b", "", "c", -1.5, "d", nil, "e", `\`, "f", "x=y", "g", "ü", "h", []string{"p", "q"}, "i")
	want := `time=2026-05-04T03:02:01.007Z level=info event=e a="q\"u,o}t{e: " b="" c=-1.5 d="" e="\\" f="x=y" g=ü h="[p q]"` + "\n"
	if buf.String() != want {
		t.Errorf("got  %swant %s", buf.String(), want)
	}
}

// TestNil guards against panics in packages that are used without a logger.
func TestNil(*testing.T) {
	var log *events.Logger
	log.For("place").Warn("dropped")
	log.Debug("dropped")
}

// TestConcurrent guards against lines that interleave.
func TestConcurrent(t *testing.T) {
	var buf bytes.Buffer
	log, wg := events.New(&buf, testTime, nil), sync.WaitGroup{}
	for range 8 {
		wg.Go(func() {
			for range 50 {
				log.Info("e", "k", "v")
			}
		})
	}
	wg.Wait()
	want := strings.Repeat("time=2026-05-04T03:02:01.007Z level=info event=e k=v\n", 400)
	if buf.String() != want {
		t.Errorf("lines are interleaved: %q", buf.String()[:100])
	}
}
