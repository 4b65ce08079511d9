package crash_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/bramleycove/bramleycove/internal/flow/crash"
)

var (
	start    = time.Unix(0, 0)
	crashing = crash.NewFingerprint("POST", "/cut", []byte("bad"))
	innocent = crash.NewFingerprint("POST", "/cut", []byte("good"))
)

func timeAt(d time.Duration) time.Time { return start.Add(d) }

func expectDecision(t *testing.T, tr *crash.Tracker, now time.Time, f crash.Fingerprint, want crash.Decision) time.Duration {
	t.Helper()
	got, wait := tr.Admit(now, f)
	if got != want {
		t.Fatalf("at %v: %v, want %v", now.Sub(start), got, want)
	}
	return wait
}

// Guards against a request that keeps crashing servers, and against a trial by more than one request.
func TestQuarantine(t *testing.T) {
	tr := crash.New("a")
	expectDecision(t, tr, start, crashing, crash.Allow)
	tr.RecordLoss(start, "s1", []crash.Fingerprint{crashing, innocent})
	expectDecision(t, tr, start, crashing, crash.AllowAlone)
	tr.RecordLoss(timeAt(4*time.Second), "s1", []crash.Fingerprint{crashing})
	expectDecision(t, tr, timeAt(4*time.Second), crashing, crash.AllowAlone) // losing the same server twice may be the server's fault
	now := timeAt(5 * time.Second)
	for i, minutes := range []int{1, 2, 4, 8, 10, 10} {
		tr.RecordLoss(now, fmt.Sprint("s", i+2), []crash.Fingerprint{crashing})
		wait := expectDecision(t, tr, now, crashing, crash.Refuse)
		if least := time.Duration(minutes) * time.Minute; wait < least || wait > least*5/4 {
			t.Fatalf("quarantine %d lasts %v, want %v", i, wait, least)
		}
		now = now.Add(wait)
		expectDecision(t, tr, now, crashing, crash.AllowTrial)
		expectDecision(t, tr, now, crashing, crash.Refuse)
		now = now.Add(time.Second)
	}
	if _, refused := tr.QuarantineLeft(now, crashing); refused {
		t.Fatal("still in quarantine during the trial")
	}
	tr.RecordSuccess(now, crashing)
	expectDecision(t, tr, now, crashing, crash.Allow)
}

// Guards against a request that keeps its strike after a success, also when another instance reports the strike again.
func TestSuccessClearsStrikes(t *testing.T) {
	a, b := crash.New("a"), crash.New("b")
	a.RecordLoss(start, "s1", []crash.Fingerprint{crashing, innocent})
	b.Merge(timeAt(time.Second), a.RecentStrikes(timeAt(time.Second), time.Minute))
	expectDecision(t, b, timeAt(time.Second), innocent, crash.AllowAlone)
	b.RecordSuccess(timeAt(2*time.Second), innocent)
	b.Merge(timeAt(3*time.Second), a.RecentStrikes(timeAt(3*time.Second), time.Minute))
	expectDecision(t, b, timeAt(3*time.Second), innocent, crash.Allow)
	expectDecision(t, b, timeAt(3*time.Second), crashing, crash.AllowAlone)
	b.RecordLoss(timeAt(4*time.Second), "s2", []crash.Fingerprint{innocent})
	expectDecision(t, b, timeAt(4*time.Second), innocent, crash.AllowAlone)
	expectDecision(t, a, timeAt(31*time.Minute), innocent, crash.Allow)
}

// Guards against counting a loss twice that is reported over several paths, and against instances that differ in how they
// extend the quarantine.
func TestMergedStrikes(t *testing.T) {
	all := []*crash.Tracker{crash.New("a"), crash.New("b"), crash.New("c")}
	exchange := func(now time.Time) {
		for range 3 {
			for i, from := range all {
				now = now.Add(200 * time.Millisecond)
				all[(i+1)%3].Merge(now, from.RecentStrikes(now, 10*time.Second))
			}
		}
	}
	all[0].RecordLoss(start, "s1", []crash.Fingerprint{crashing})
	exchange(start)
	all[1].RecordLoss(timeAt(3*time.Second), "s1", []crash.Fingerprint{crashing})
	exchange(timeAt(3 * time.Second))
	for _, tr := range all {
		expectDecision(t, tr, timeAt(5*time.Second), crashing, crash.AllowAlone)
	}
	now := timeAt(6 * time.Second)
	for i, least := range []time.Duration{time.Minute, 2 * time.Minute, 4 * time.Minute} {
		all[i].RecordLoss(now, fmt.Sprint("s", i+2), []crash.Fingerprint{crashing})
		exchange(now)
		now = now.Add(3 * time.Second)
		for k, tr := range all {
			if wait := expectDecision(t, tr, now, crashing, crash.Refuse); wait < least-5*time.Second || wait > least*5/4 {
				t.Fatalf("instance %d refuses for %v, want %v", k, wait, least)
			}
		}
		now = now.Add(least * 5 / 4)
	}
}

// Guards against memory that grows with the number of strikes, and against many strikes evicting a quarantine.
func TestMemoryIsBounded(t *testing.T) {
	tr := crash.New("a")
	tr.RecordLoss(start, "s1", []crash.Fingerprint{crashing})
	tr.RecordLoss(start, "s2", []crash.Fingerprint{crashing})
	for i := range 20000 {
		tr.RecordLoss(timeAt(time.Second), "s3", []crash.Fingerprint{crash.NewFingerprint("GET", fmt.Sprint(i), nil)})
	}
	if n := len(tr.RecentStrikes(timeAt(time.Second), time.Hour)); n > 4096+1 {
		t.Fatalf("%d strikes are kept, want at most 4097", n)
	}
	expectDecision(t, tr, timeAt(2*time.Second), crashing, crash.Refuse)
}
