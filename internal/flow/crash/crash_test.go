package crash_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/bramleycove/bramleycove/internal/flow/crash"
)

var (
	start  = time.Unix(0, 0)
	killer = crash.Print("POST", "/cut", []byte("bad"))
	honest = crash.Print("POST", "/cut", []byte("good"))
)

func at(d time.Duration) time.Time { return start.Add(d) }

func want(t *testing.T, tr *crash.Tracker, now time.Time, f crash.Fingerprint, want crash.Decision) time.Duration {
	t.Helper()
	got, wait := tr.Admit(now, f)
	if got != want {
		t.Fatalf("at %v: %v, want %v", now.Sub(start), got, want)
	}
	return wait
}

// Guards against a request that goes on crashing servers, and against a trial by more than one request.
func TestQuarantine(t *testing.T) {
	tr := crash.New("a")
	want(t, tr, start, killer, crash.Run)
	tr.Lost(start, "s1", []crash.Fingerprint{killer, honest})
	want(t, tr, start, killer, crash.Alone)
	tr.Lost(at(4*time.Second), "s1", []crash.Fingerprint{killer})
	want(t, tr, at(4*time.Second), killer, crash.Alone) // the same server twice may be the server's fault
	now := at(5 * time.Second)
	for i, minutes := range []int{1, 2, 4, 8, 10, 10} {
		tr.Lost(now, fmt.Sprint("s", i+2), []crash.Fingerprint{killer})
		wait := want(t, tr, now, killer, crash.Refuse)
		if least := time.Duration(minutes) * time.Minute; wait < least || wait > least*5/4 {
			t.Fatalf("quarantine %d lasts %v, want %v", i, wait, least)
		}
		now = now.Add(wait)
		want(t, tr, now, killer, crash.Trial)
		want(t, tr, now, killer, crash.Refuse)
		now = now.Add(time.Second)
	}
	if _, refused := tr.Refused(now, killer); refused {
		t.Fatal("refused during the trial's quarantine, which has ended")
	}
	tr.Succeeded(now, killer)
	want(t, tr, now, killer, crash.Run)
}

// Guards against an innocent request that keeps its strike, also when another instance reports it again.
func TestInnocentShedsItsStrike(t *testing.T) {
	a, b := crash.New("a"), crash.New("b")
	a.Lost(start, "s1", []crash.Fingerprint{killer, honest})
	b.Merge(at(time.Second), a.Recent(at(time.Second), time.Minute))
	want(t, b, at(time.Second), honest, crash.Alone)
	b.Succeeded(at(2*time.Second), honest)
	b.Merge(at(3*time.Second), a.Recent(at(3*time.Second), time.Minute))
	want(t, b, at(3*time.Second), honest, crash.Run)
	want(t, b, at(3*time.Second), killer, crash.Alone)
	b.Lost(at(4*time.Second), "s2", []crash.Fingerprint{honest})
	want(t, b, at(4*time.Second), honest, crash.Alone)
	want(t, a, at(31*time.Minute), honest, crash.Run)
}

// Guards against one loss that counts twice because it arrives over several ways, and against instances that do not
// lengthen the quarantine alike.
func TestMergedStrikes(t *testing.T) {
	all := []*crash.Tracker{crash.New("a"), crash.New("b"), crash.New("c")}
	exchange := func(now time.Time) {
		for range 3 {
			for i, from := range all {
				now = now.Add(200 * time.Millisecond)
				all[(i+1)%3].Merge(now, from.Recent(now, 10*time.Second))
			}
		}
	}
	all[0].Lost(start, "s1", []crash.Fingerprint{killer})
	exchange(start)
	all[1].Lost(at(3*time.Second), "s1", []crash.Fingerprint{killer})
	exchange(at(3 * time.Second))
	for _, tr := range all {
		want(t, tr, at(5*time.Second), killer, crash.Alone)
	}
	now := at(6 * time.Second)
	for i, least := range []time.Duration{time.Minute, 2 * time.Minute, 4 * time.Minute} {
		all[i].Lost(now, fmt.Sprint("s", i+2), []crash.Fingerprint{killer})
		exchange(now)
		now = now.Add(3 * time.Second)
		for k, tr := range all {
			if wait := want(t, tr, now, killer, crash.Refuse); wait < least-5*time.Second || wait > least*5/4 {
				t.Fatalf("instance %d refuses for %v, want %v", k, wait, least)
			}
		}
		now = now.Add(least * 5 / 4)
	}
}

// Guards against memory that grows with the number of strikes, and against a flood of them that ends a quarantine.
func TestMemoryIsBounded(t *testing.T) {
	tr := crash.New("a")
	tr.Lost(start, "s1", []crash.Fingerprint{killer})
	tr.Lost(start, "s2", []crash.Fingerprint{killer})
	for i := range 20000 {
		tr.Lost(at(time.Second), "s3", []crash.Fingerprint{crash.Print("GET", fmt.Sprint(i), nil)})
	}
	if n := len(tr.Recent(at(time.Second), time.Hour)); n > 4096+1 {
		t.Fatalf("%d strikes are kept", n)
	}
	want(t, tr, at(2*time.Second), killer, crash.Refuse)
}
