package site

import (
	"time"

	"github.com/bramleycove/bramleycove/internal/flow/crash"
	"github.com/bramleycove/bramleycove/internal/flow/quota"
	"github.com/bramleycove/bramleycove/internal/peer/permit"
	"github.com/bramleycove/bramleycove/internal/wire/sitepb"
)

// limitReportTime is how long an observed limit is part of the answers to the leader: of some, as one may be lost.
const limitReportTime = 2 * time.Second

// fillReport adds this instance's key loads, server latencies and strikes to an answer to the leader.
func (s *Instance) fillReport(now time.Time, r *sitepb.PushReply) {
	report := s.sender.TakeReport(now)
	for k, n := range report.KeyLoads {
		r.Loads = append(r.Loads, &sitepb.KeyLoad{Pool: k.Pool, Key: uint32(k.Key), Count: uint32(n)})
	}
	for _, seen := range report.Latencies {
		r.Seen = append(r.Seen, &sitepb.Seen{
			Server: seen.Server, Answers: uint32(seen.AnswerCount), Seconds: seen.MeanLatency.Seconds(),
		})
	}
	r.Strikes = append(r.Strikes, encodeStrikes(report.Strikes)...)
	r.Limits = permit.EncodeLimits(now, s.limits.Observed(now.Add(-limitReportTime)))
}

// recentStrikes returns the recent strikes known to this instance.
func (s *Instance) recentStrikes(now time.Time) []*sitepb.Strike {
	return encodeStrikes(s.sender.RecentStrikes(now))
}

func encodeStrikes(strikes []crash.Strike) (out []*sitepb.Strike) {
	for _, strike := range strikes {
		out = append(out, &sitepb.Strike{Print: strike.Fingerprint[:], Server: strike.Server, AgeMs: strike.Age.Milliseconds()})
	}
	return out
}

// learnStrikes merges strikes from other instances. It ignores those whose fingerprint has the wrong length.
func (s *Instance) learnStrikes(now time.Time, strikes []*sitepb.Strike) {
	var out []crash.Strike
	for _, strike := range strikes {
		if len(strike.GetPrint()) == len(crash.Fingerprint{}) {
			out = append(out, crash.Strike{
				Fingerprint: crash.Fingerprint(strike.GetPrint()), Server: strike.GetServer(), Age: time.Duration(strike.GetAgeMs()) * time.Millisecond,
			})
		}
	}
	s.sender.MergeStrikes(now, out)
}

// learnLatencies passes the answer times that all instances saw on to the sender.
func (s *Instance) learnLatencies(now time.Time, latencies []*sitepb.Latency) {
	shared := make(map[string]time.Duration, len(latencies))
	for _, l := range latencies {
		shared[l.GetServer()] = time.Duration(l.GetMillis()) * time.Millisecond
	}
	s.sender.SetSharedLatencies(now, shared)
}

// logLimit logs that a server's limit was learnt, has changed or has ended.
func (s *Instance) logLimit(incarnation string, l quota.Limit) {
	s.log.Info("server-limit", "server", incarnation, "rate", l.Rate, "ended", l.Ended)
}

// countPermit counts a decision on a request to a server with a limit.
func (s *Instance) countPermit(d quota.Decision, byLeader bool) {
	outcome, source := "refused", "share"
	if d.OK {
		outcome = "granted"
	}
	if byLeader {
		source = "leader"
	}
	s.meter.Counter("permits_total", map[string]string{"outcome": outcome, "source": source}).Inc(1)
}
