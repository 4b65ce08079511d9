package platf_test

import (
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/bramleycove/bramleycove/test/platf"
	"github.com/bramleycove/bramleycove/test/stands"
)

// line returns the line of all logs that contains each of the words, empty if there is none yet.
func (d *deployment) line(words ...string) string {
	for _, in := range d.Instances {
		for _, l := range in.Lines(words[0]) {
			found := true
			for _, w := range words[1:] {
				found = found && strings.Contains(l, w)
			}
			if found {
				return l
			}
		}
	}
	return ""
}

// find waits for a line.
func (d *deployment) find(words ...string) string {
	d.t.Helper()
	var l string
	if !platf.Await(3*time.Second, func() bool { l = d.line(words...); return l != "" }) {
		d.t.Fatalf("no line with %q", words)
	}
	return l
}

// field returns the value of a key=value pair of a line.
func field(line, key string) string {
	_, after, _ := strings.Cut(line, " "+key+"=")
	value, _, _ := strings.Cut(after, " ")
	return strings.Trim(value, `"`)
}

// heldKeys returns a key of each range that a server holds.
func (d *deployment) heldKeys(server string) (keys []int) {
	now := time.Now()
	for _, h := range d.Journal.Held() {
		if strings.HasPrefix(h.Server, server+"/") && h.Until.After(now) {
			keys = append(keys, h.First)
		}
	}
	return keys
}

// Guards against a refused request whose cause, a server that is gone, cannot be found from its id: the first walk-through
// of docs/OPERATIONS.md.
func TestExplainRefusal(t *testing.T) {
	t.Parallel()
	d := up(t, 3, 3)
	victim := d.Live("stock")[0]
	keys := d.heldKeys(victim.ID)
	d.KillServer(victim, true)
	c := d.NewClient()
	var x *platf.Call
	d.await("a key of the server is refused", 3*time.Second, func() bool {
		for _, key := range keys {
			if x = c.Do(d.Instances[0], "/read/x", key, time.Second); x.Status == 503 {
				return true
			}
		}
		return false
	})
	refusal := d.find("event=request", "request="+x.ID+" ")
	t.Log(refusal)
	if field(refusal, "verdict") != "not-run" || field(refusal, "status") != "503" {
		t.Error(refusal)
	}
	switch reason := field(refusal, "reason"); reason {
	case "key-moving":
		d.find("event=server-gone", "server="+victim.ID+" ")
	case "server-connect", "no-owner":
		if send := d.line("event=send", "server="+victim.ID+" ", "outcome=broken"); send == "" {
			t.Errorf("no send to %s behind %s", victim.ID, refusal)
		}
	default:
		t.Errorf("reason %s", reason)
	}
}

// Guards against a request that may have run and whose server cannot be found from its id: the second walk-through.
func TestExplainLost(t *testing.T) {
	t.Parallel()
	d := up(t, 2, 3)
	for _, s := range d.Live("orders") {
		s.LoseAnswer()
	}
	x := d.NewClient().Do(d.Instances[0], "/order/x", -1, time.Second)
	if x.Status != 502 {
		t.Fatalf("status %d", x.Status)
	}
	outcome := d.find("event=request", "request="+x.ID+" ")
	send := d.find("event=send", "request="+x.ID+" ")
	if field(outcome, "verdict") != "may-have-run" || field(outcome, "reason") != "server-lost" || field(send, "outcome") != "broken" {
		t.Errorf("%s\n%s", outcome, send)
	}
	t.Log(outcome)
	t.Log(send)
	server := field(send, "server")
	ran := ""
	d.Journal.Each(func(r stands.Run) {
		if r.Request == x.ID {
			ran = r.Server
		}
	})
	if server == "" || server != ran {
		t.Errorf("the log names %q, the request ran on %q", server, ran)
	}
}

// Guards against a late answer whose time cannot be told from its id to be the servers': the third walk-through.
func TestExplainLate(t *testing.T) {
	t.Parallel()
	d := up(t, 2, 1)
	orders := d.Live("orders")[0]
	orders.SetWork(400 * time.Millisecond)
	var wg sync.WaitGroup
	var mu sync.Mutex
	var late *platf.Call
	for range 14 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			x := d.NewClient().Do(d.Instances[0], "/order/x", -1, 1900*time.Millisecond)
			mu.Lock()
			defer mu.Unlock()
			if x.Status == 200 && x.Done.Sub(x.Sent) > 700*time.Millisecond {
				late = x
			}
		}()
	}
	wg.Wait()
	if late == nil {
		t.Fatal("no answer took over 0.7 s")
	}
	l := d.find("event=late", "request="+late.ID+" ")
	t.Log(l)
	waited, err := time.ParseDuration(field(l, "waited"))
	if took, terr := time.ParseDuration(field(l, "took")); err != nil || terr != nil || took < 600*time.Millisecond || waited > took/2 || field(l, "sends") != "1" {
		t.Error(l)
	}
}
