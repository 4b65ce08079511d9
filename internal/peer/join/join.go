// Package join loads the state of a starting instance from the leader if the deployment is large. When 50 of 100 instances
// started at once, each reading the records of a thousand servers, they filled the link to the store for seconds.
package join

import (
	"context"
	"net/netip"
	"slices"
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
	// findLeaderTimeout bounds the search for the leader, which delays the start: three round trips between regions.
	findLeaderTimeout = 150 * time.Millisecond
	// firstPushTimeout bounds the wait for a leader's first pushes, which follow at once on an introduction.
	firstPushTimeout = time.Second
	// firstStartWait bounds the wait for a first leader while all instances start, and firstStartInterval is that between its searches.
	// The seeds read the store and one of them leads within a second. If each of 67 instances read it, a start took 690 calls.
	firstStartWait     = 2 * time.Second
	firstStartInterval = 300 * time.Millisecond
	// checkInterval is the interval at which their arrival is checked.
	checkInterval = 20 * time.Millisecond
)

// Joiner loads the state of one instance. All exported fields are set.
type Joiner struct {
	Self    string // address for other instances
	Seeds   func() []netip.AddrPort
	Client  *push.Client
	Log     keyed.Log
	Reader  *reads.Reader
	Streams *mirror.Streams
	Events  *events.Logger
	// Now is a clock that advances while the instance is suspended.
	Now func() time.Time

	seedCalls conc.WaitGroup
}

// AwaitFirstLeader is LoadFromLeader for the first start of a deployment, in which the seeds go ahead. It waits until one of them knows
// a leader, for firstStartWait at most.
func (j *Joiner) AwaitFirstLeader(ctx context.Context) (leader string, ok bool) {
	seeds := j.Seeds()
	if len(seeds) == 0 || slices.ContainsFunc(seeds, func(a netip.AddrPort) bool { return a.String() == j.Self }) {
		return "", false
	}
	defer j.seedCalls.Wait()
	for until := j.Now().Add(firstStartWait); ctx.Err() == nil && j.Now().Before(until); reads.Sleep(ctx, firstStartInterval) {
		if leader, _ = j.findLeader(ctx); leader != "" {
			// The leader knows few instances so far, so that it can't tell whether the deployment is large.
			return leader, j.loadFrom(ctx, leader)
		}
	}
	return "", false
}

// LoadFromLeader waits for pushes from the leader or its relay, then reads newer tables and placement from the store. ok is
// false if there is no leader, if it does not answer, if a read fails, or if the deployment is small.
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
	return leader, j.loadFrom(ctx, leader)
}

// loadFrom waits for pushes from the leader or its relay, then reads newer tables and placement from the store.
func (j *Joiner) loadFrom(ctx context.Context, leader string) bool {
	if named, _, err := j.Client.FindLeader(ctx, leader, j.Self); err != nil || named != leader {
		j.Events.Info("leader-silent", "leader", leader, "said", named, "error", err)
		return false
	}
	for deadline := j.Now().Add(firstPushTimeout); !j.knowsAllTopics(); reads.Sleep(ctx, checkInterval) {
		if ctx.Err() != nil || j.Now().After(deadline) {
			j.Events.Info("leader-silent", "leader", leader)
			return false
		}
	}
	return j.Reader.Read(ctx, keyed.Config, 0) && j.Reader.Read(ctx, keyed.Place, 0)
}

// knowsAllTopics reports whether all streams are loaded.
func (j *Joiner) knowsAllTopics() bool {
	for t := range keyed.TopicCount {
		if _, known := j.Streams.End(t); !known {
			return false
		}
	}
	return true
}

// ReadLead returns the leader's lease from the last records of the place stream, which always renew it. ok is false if it
// could not be read.
func (j *Joiner) ReadLead(ctx context.Context) (lead elect.LeadRecord, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, reads.CallTimeout)
	defer cancel()
	var batch keyed.Batch
	end, err := j.Log.End(ctx, keyed.Place)
	if err == nil && keyed.Offset(end) > 0 {
		batch, err = j.Log.Read(ctx, keyed.Place, end-1, 0)
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

// findLeader asks all seeds and returns the first answer that names a leader.
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
				if a.leader, a.peers, err = j.Client.FindLeader(ctx, addr, j.Self); err != nil && ctx.Err() != context.Canceled {
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
