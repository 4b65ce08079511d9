package allow_test

import (
	"testing"
	"time"

	"github.com/bramleycove/bramleycove/internal/flow/allow"
)

var now = time.Unix(1e9, 0)

func ago(d time.Duration) time.Time { return now.Add(-d) }

func notices(leaving, away time.Duration) (n allow.Notices) {
	if leaving > 0 {
		n.ObserveLeaving(ago(leaving))
	}
	if away != 0 {
		n.ObserveAway(now, away)
	}
	return n
}

// Guards against a request that reaches a server which it must not reach, for each reason alone, and against an owner that loses its
// requests before its keys can have moved.
func TestCheck(t *testing.T) {
	t.Parallel()
	const drain = 3 * time.Second
	for name, c := range map[string]struct {
		allow.Facts
		want allow.Reason
	}{
		"nothing known":                   {allow.Facts{InRegion: true}, allow.None},
		"other region":                    {allow.Facts{}, allow.Region},
		"other region, owner":             {allow.Facts{Owner: true}, allow.Region},
		"evacuated":                       {allow.Facts{InRegion: true, EvacuatedSince: now}, allow.Evacuated},
		"evacuated, owner, keys move":     {allow.Facts{InRegion: true, Owner: true, EvacuatedSince: ago(time.Second)}, allow.None},
		"evacuated, owner, too late":      {allow.Facts{InRegion: true, Owner: true, EvacuatedSince: ago(1600 * time.Millisecond)}, allow.Evacuated},
		"registered as leaving":           {allow.Facts{InRegion: true, LeavingSince: now}, allow.Leaving},
		"registered as leaving, owner":    {allow.Facts{InRegion: true, Owner: true, LeavingSince: ago(400 * time.Millisecond)}, allow.None},
		"registered as leaving, too late": {allow.Facts{InRegion: true, Owner: true, LeavingSince: ago(600 * time.Millisecond)}, allow.Leaving},
		"says that it leaves":             {allow.Facts{Notices: notices(time.Millisecond, 0), InRegion: true, DrainTime: drain}, allow.Leaving},
		"says that it leaves, owner":      {allow.Facts{Notices: notices(2*time.Second, 0), InRegion: true, Owner: true, DrainTime: drain}, allow.None},
		"says that it leaves, too late":   {allow.Facts{Notices: notices(2600*time.Millisecond, 0), InRegion: true, Owner: true, DrainTime: drain}, allow.Leaving},
		"asked away":                      {allow.Facts{Notices: notices(0, time.Second), InRegion: true, Owner: true}, allow.AskedAway},
		"asked away, over":                {allow.Facts{Notices: notices(0, -time.Second), InRegion: true}, allow.None},
		"failing":                         {allow.Facts{InRegion: true, HeldUntil: now.Add(time.Second)}, allow.Failing},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if v := allow.Check(now, c.Facts); v.Reason != c.want || v.OK() != (c.want == allow.None) {
				t.Errorf("reason %q, want %q", v.Reason, c.want)
			}
		})
	}
}

// Guards against a faulty server that would get nothing for hours.
func TestAwayIsBounded(t *testing.T) {
	t.Parallel()
	v := allow.Check(now, allow.Facts{Notices: notices(0, 24*time.Hour), InRegion: true})
	if wait := v.Until.Sub(now); wait > time.Minute {
		t.Errorf("the server gets nothing for %v, want 1m0s at most", wait)
	}
}
