// Package join lets an instance that starts in a large deployment learn the state from the leader. When half of a hundred
// instances started at once, their readings of a thousand servers filled the link to the store for seconds.
package join

import (
	"context"
	"math"
	"net/netip"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/bramleycove/bramleycove/internal/oper/events"
	"github.com/bramleycove/bramleycove/internal/peer/mirror"
	"github.com/bramleycove/bramleycove/internal/peer/push"
	"github.com/bramleycove/bramleycove/internal/peer/reads"
	"github.com/bramleycove/bramleycove/internal/place/build"
	"github.com/bramleycove/bramleycove/internal/place/elect"
	"github.com/bramleycove/bramleycove/internal/plat/keyed"
)

const (
	// findLeaderTimeout bounds the question who leads: three times the way between regions and back. A starting instance waits.
	findLeaderTimeout = 150 * time.Millisecond
	// firstPushTimeout bounds the wait for a leader's first pushes, which come at once to an instance that it has met.
	firstPushTimeout = time.Second
	// checkInterval is the interval of looking whether they have come.
	checkInterval = 20 * time.Millisecond
)

// Joiner starts one instance. All fields are set.
type Joiner struct {
	Self    string // address for other instances
	Seeds   func() []netip.AddrPort
	Client  *push.Client
	Log     keyed.Log
	Reader  *reads.Reader
	Streams *mirror.Streams
	Events  *events.Logger
	// Now is a clock that counts while the instance is suspended.
	Now func() time.Time

	seedCalls conc.WaitGroup
}

// LoadFromLeader waits for the pushes of the leader or of its relay, and asks the store for what came since. ok is false if
// there is no leader, if it does not answer, or if the deployment is small.
func (j *Joiner) LoadFromLeader(ctx context.Context) (leader string, ok bool) {
	defer j.seedCalls.Wait()
	leader, peers := j.findLeader(ctx)
	if leader == "" {
		if l, ok := j.ReadLead(ctx); ok && !l.Resigned {
			leader, peers = l.Holder, l.Members
		}
	}
	if leader == "" || leader == j.Self || len(peers) < push.MinInstancesForRelays {
		return "", false
	}
	if named, _, err := j.Client.FindLeader(ctx, leader, j.Self); err != nil || named != leader {
		j.Events.Info("leader-silent", "leader", leader, "said", named, "error", err)
		return "", false
	}
	for deadline := j.Now().Add(firstPushTimeout); !j.knowsAllTopics(); reads.Sleep(ctx, checkInterval) {
		if ctx.Err() != nil || j.Now().After(deadline) {
			j.Events.Info("leader-silent", "leader", leader)
			return "", false
		}
	}
	return leader, j.Reader.Read(ctx, keyed.Config, 0) && j.Reader.Read(ctx, keyed.Place, 0)
}

// knowsAllTopics reports whether all streams are known.
func (j *Joiner) knowsAllTopics() bool {
	for t := range keyed.TopicCount {
		if _, known := j.Streams.End(t); !known {
			return false
		}
	}
	return true
}

// ReadLead returns the last record of the place stream, which always renews the lead. ok is false if it could not be read.
func (j *Joiner) ReadLead(ctx context.Context) (lead elect.LeadRecord, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, reads.CallTimeout)
	defer cancel()
	var batch keyed.Batch
	// No record is that far, so that the answer only tells the end.
	end, err := j.Log.Read(ctx, keyed.Place, math.MaxInt64, 0)
	if err == nil && end.End > 0 {
		batch, err = j.Log.Read(ctx, keyed.Place, end.End-1, 0)
	}
	if err != nil {
		j.Events.Info("lead-unread", "error", err)
		return lead, false
	}
	for _, e := range batch.Entries {
		l, isLead, err := build.ParseLead(e)
		switch {
		case err != nil:
			j.Events.Info("lead-unread", "error", err)
		case isLead:
			lead, ok = l, true
		}
	}
	return lead, ok
}

// findLeader asks all seeds for the leader and the instances and returns the first answer.
func (j *Joiner) findLeader(ctx context.Context) (leader string, peers []string) {
	ctx, cancel := context.WithTimeout(ctx, findLeaderTimeout)
	defer cancel()
	type answer struct {
		leader string
		peers  []string
	}
	seeds := j.Seeds()
	answers := make(chan answer, len(seeds))
	for _, s := range seeds {
		j.seedCalls.Go(func() {
			var a answer
			if addr := s.String(); addr != j.Self {
				var err error
				if a.leader, a.peers, err = j.Client.FindLeader(ctx, addr, j.Self); err != nil {
					j.Events.Info("seed-silent", "peer", addr, "error", err)
				}
			}
			answers <- a
		})
	}
	for range seeds {
		if a := <-answers; a.leader != "" {
			return a.leader, a.peers
		}
	}
	return "", nil
}
