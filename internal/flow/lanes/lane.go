package lanes

import (
	"cmp"
	"math"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/bramleycove/bramleycove/internal/flow/limit"
	"github.com/bramleycove/bramleycove/internal/flow/ranks"
	"github.com/bramleycove/bramleycove/internal/flow/result"
	"github.com/bramleycove/bramleycove/internal/flow/work"
	"github.com/bramleycove/bramleycove/internal/oper/tables"
	"github.com/bramleycove/bramleycove/internal/plat/server"
	"github.com/bramleycove/bramleycove/internal/wire/peerpb"
)

// lane holds the queues and the servers of one lane.
type lane struct {
	dispatcher *Dispatcher
	name       string
	keyed      bool

	mu                sync.Mutex
	def               *peerpb.Lane
	leaseEnd          time.Time // for keyed lanes only
	removedAt         time.Time // zero while this instance dispatches the lane
	fallback          bool      // served without an assignment by the controller
	lastUsed          time.Time // last request
	servers           []*backend
	rankNames         []string // by rank index of queue
	queue             *ranks.Queue[*job]
	aloneQueue        []*job // jobs that have to run alone, in order of arrival
	startsBeforeAlone int    // other jobs that may start before the next of aloneQueue
	running           map[*job]struct{}
	endedRevisions    []uint64       // replaced or removed revisions that are not released yet
	wakeTimer         *time.Timer    // calls onWake when a server that was held back can be used
	slotRequests      map[uint32]int // requests by slot since lastReport
	lastReport        time.Time
	lastLoadUpdate    time.Time // up to when loadSeconds counts
}

func newLane(d *Dispatcher, name string) *lane {
	ln := &lane{dispatcher: d, name: name, keyed: isKeyedLane(name), running: make(map[*job]struct{}), slotRequests: make(map[uint32]int)}
	ln.lastReport = d.cfg.Now()
	ln.lastLoadUpdate = ln.lastReport
	return ln
}

// apply puts a definition and a lease in force.
func (ln *lane) apply(now time.Time, def *peerpb.Lane, leaseEnd time.Time, fallback bool) {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	if ln.def != def {
		if removed := !ln.removedAt.IsZero(); ln.def != nil && !ln.fallback && !removed && ln.def.GetRevision() != def.GetRevision() {
			ln.endedRevisions = append(ln.endedRevisions, ln.def.GetRevision())
		}
		ln.def = def
		// A revision that comes into force again must not be released.
		ln.endedRevisions = slices.DeleteFunc(ln.endedRevisions, func(rev uint64) bool { return rev == def.GetRevision() })
		ln.setServers(def.GetServers())
	}
	ln.leaseEnd, ln.removedAt, ln.fallback = leaseEnd, time.Time{}, fallback
	for _, b := range ln.servers {
		b.leaving = b.leavingPerController || ln.dispatcher.cfg.ServerLeaving(b.name)
	}
	ln.setRanks(ln.dispatcher.cfg.Ranks())
	ln.refuseUnpermitted(now)
	ln.startWaiting(now)
	ln.notifyReleasable()
}

// setServers replaces the servers. It keeps the state of those that are the same process.
func (ln *lane) setServers(defs []*peerpb.Server) {
	var next []*backend
	for _, d := range defs {
		addr, err := netip.ParseAddrPort(d.GetAddress())
		if err != nil {
			continue
		}
		addr = ln.dispatcher.cfg.DialAddress(addr)
		i := slices.IndexFunc(ln.servers, func(b *backend) bool { return b.sameProcess(d, addr) })
		if i < 0 {
			next = append(next, newBackend(d, addr))
			continue
		}
		b := ln.servers[i]
		b.leavingPerController, b.incarnation = d.GetLeaving(), max(b.incarnation, d.GetIncarnation())
		next = append(next, b)
		ln.servers = slices.Delete(ln.servers, i, i+1)
	}
	ln.closeServers()
	ln.servers = next
}

// setRanks puts ranks in force. If their names have changed, waiting jobs are queued again.
func (ln *lane) setRanks(defs []tables.Rank) {
	cfg := make([]ranks.Rank, len(defs))
	names := make([]string, len(defs))
	for i, r := range defs {
		cfg[i], names[i] = ranks.Rank{Share: r.Share, Target: r.Target}, r.Name
	}
	if ln.queue != nil && slices.Equal(names, ln.rankNames) {
		ln.queue.SetRanks(cfg)
		return
	}
	old := ln.queue
	ln.rankNames, ln.queue = names, ranks.New[*job](cfg)
	if old != nil {
		for _, e := range old.Drain(func(*job) bool { return true }) {
			e.Value.outcomes <- outcome{requeue: true}
		}
	}
}

// remove stops dispatching the lane.
func (ln *lane) remove(now time.Time) {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	ln.removedAt = now
	if !ln.fallback {
		ln.endedRevisions = append(ln.endedRevisions, ln.def.GetRevision())
	}
	ln.refuseUnpermitted(now)
	ln.notifyReleasable()
}

// keepFallback reports whether ln is a fallback that is still in use.
func (ln *lane) keepFallback(now time.Time) bool {
	const maxIdle = 10 * time.Second
	ln.mu.Lock()
	defer ln.mu.Unlock()
	return ln.fallback && (len(ln.running) > 0 || now.Sub(ln.lastUsed) < maxIdle)
}

func (ln *lane) isFallback() bool {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	return ln.fallback
}

// canForget reports whether ln has no request in progress and no release to report.
func (ln *lane) canForget() bool {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	return len(ln.running) == 0 && len(ln.endedRevisions) == 0
}

func (ln *lane) close() {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	if ln.wakeTimer != nil {
		ln.wakeTimer.Stop()
	}
	ln.closeServers()
}

// closeServers closes the connections of all servers, those in use after their request.
func (ln *lane) closeServers() {
	for _, b := range ln.servers {
		ln.dispatcher.closing.Go(b.client.Close)
	}
	ln.servers = nil
}

// checkPermitted returns an error if the lane may not send the request now.
func (ln *lane) checkPermitted(now time.Time, req *work.Request) error {
	switch {
	case !ln.removedAt.IsZero():
		return work.NewRefusal(ReasonStale, staleRetryAfter)
	case !ln.keyed:
		return nil
	case !now.Before(ln.leaseEnd):
		return work.NewRefusal(ReasonLapsed, time.Second)
	}
	token, ok := ln.slotToken(req.Slot)
	// A request with a higher token comes from an instance that knows a newer assignment than this lease.
	if !ok || req.Token > token {
		return work.NewRefusal(ReasonStale, staleRetryAfter)
	}
	return nil
}

// slotToken returns the token under which the lane holds the slot.
func (ln *lane) slotToken(slot uint32) (uint64, bool) {
	ranges := ln.def.GetSlots()
	i, found := slices.BinarySearchFunc(ranges, slot, func(r *peerpb.Range, s uint32) int {
		return cmp.Compare(r.GetFirst(), s)
	})
	if !found {
		i--
	}
	if i < 0 || slot > ranges[i].GetLast() {
		return 0, false
	}
	return ranges[i].GetToken(), true
}

// push queues a job, and starts it if a server is free, or returns why it is refused.
func (ln *lane) push(now time.Time, j *job) error {
	var wait time.Duration
	if j.runsAlone, wait = ln.dispatcher.cfg.Admit(now, j.req.Fingerprint); wait > 0 {
		return work.NewRefusal(ReasonCrash, wait)
	}
	ln.mu.Lock()
	defer ln.mu.Unlock()
	ln.lastUsed = now
	if err := ln.checkPermitted(now, j.req); err != nil {
		return err
	}
	if !now.Before(j.req.Deadline) {
		return work.NewRefusal(ReasonDeadline, time.Second)
	}
	if j.rank = slices.Index(ln.rankNames, j.req.Rank); j.rank < 0 {
		return &result.Error{Verdict: result.NotRun, Status: 400, Reason: ReasonRank}
	}
	if err := ln.checkAvailable(now, j); err != nil {
		return err
	}
	ln.updateLoad(now)
	if ln.keyed {
		ln.slotRequests[j.req.Slot]++
	}
	if j.runsAlone {
		if len(ln.aloneQueue) >= maxAloneQueue {
			return work.NewRefusal(ReasonQueue, time.Second)
		}
		ln.aloneQueue = append(ln.aloneQueue, j)
	} else {
		e, after, ok := ln.queue.Push(now, j.rank, j.req.Deadline, j)
		if !ok {
			return work.NewRefusal(ReasonQueue, after)
		}
		j.entry = e
	}
	ln.startWaiting(now)
	return nil
}

// maxAloneQueue bounds the requests that wait to run alone, since each of them needs an idle server.
const maxAloneQueue = 16

// checkAvailable returns an error if no server can take the job in time.
func (ln *lane) checkAvailable(now time.Time, j *job) error {
	var wait time.Duration
	var usable, frozen int
	for _, b := range ln.servers {
		if b.isLeaving(now) {
			continue
		}
		usable++
		if b.limiter.Frozen() {
			frozen++
		}
		if w := max(b.limiter.HeldUntil(now).Sub(now), ln.quotaWait(now, b)); usable == 1 || w < wait {
			wait = w
		}
	}
	if usable == 0 && ln.keyed {
		// The controller moves the slots of a leaving server. The request waits until then and is refused as stale, so
		// that its entry instance sends it to the new owner.
		return nil
	}
	if usable == 0 {
		return work.NewRefusal(ReasonServers, time.Second)
	}
	if frozen < usable {
		if wait <= 0 {
			return nil
		}
		if target := ln.dispatcher.latencyTarget(j.rank); target > 0 && wait > target {
			return work.NewRefusal(ReasonHeld, wait)
		}
		return nil
	}
	// All are frozen: one request for each may wait or run if a trial comes soon.
	if rest := j.req.Deadline.Sub(now); wait > rest/2 || ln.queue.Total()+len(ln.running) >= usable {
		return work.NewRefusal(ReasonFrozen, max(wait, time.Second))
	}
	return nil
}

// withdraw removes a waiting job. It reports false if the job's outcome has been decided.
func (ln *lane) withdraw(j *job) bool {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	if j.runsAlone {
		if i := slices.Index(ln.aloneQueue, j); i >= 0 {
			ln.aloneQueue = slices.Delete(ln.aloneQueue, i, i+1)
			ln.startWaiting(ln.dispatcher.cfg.Now()) // a server may have been reserved for it
			return true
		}
		return false
	}
	return ln.queue.Cancel(j.entry)
}

// refuseUnpermitted refuses waiting jobs that the lane may no longer send.
func (ln *lane) refuseUnpermitted(now time.Time) {
	if ln.queue == nil {
		return
	}
	for _, e := range ln.queue.Drain(func(j *job) bool { return ln.checkPermitted(now, j.req) != nil }) {
		e.Value.outcomes <- outcome{err: ln.checkPermitted(now, e.Value.req)}
	}
	ln.aloneQueue = slices.DeleteFunc(ln.aloneQueue, func(j *job) bool {
		err := ln.checkPermitted(now, j.req)
		if err != nil {
			j.outcomes <- outcome{err: err}
		}
		return err != nil
	})
}

// startWaiting starts waiting jobs while servers can take them.
func (ln *lane) startWaiting(now time.Time) {
	ln.refuseWithoutServer(now)
	ln.queue.SetCapacity(ln.capacity(now))
	ln.queue.SetMaxRate(ln.totalRate(now))
	for started := true; started; {
		started = ln.startAlone(now) || ln.startNext(now)
	}
	ln.scheduleWake(now)
}

// refuseWithoutServer refuses the waiting jobs of an unkeyed lane if all servers are leaving; other lanes may have some.
func (ln *lane) refuseWithoutServer(now time.Time) {
	if ln.keyed || slices.ContainsFunc(ln.servers, func(b *backend) bool { return !b.isLeaving(now) }) {
		return
	}
	for _, e := range ln.queue.Drain(func(*job) bool { return true }) {
		e.Value.outcomes <- outcome{err: work.NewRefusal(ReasonServers, time.Second)}
	}
	for _, j := range ln.aloneQueue {
		j.outcomes <- outcome{err: work.NewRefusal(ReasonServers, time.Second)}
	}
	ln.aloneQueue = nil
}

func (ln *lane) startNext(now time.Time) bool {
	b := ln.leastLoaded(now)
	if b == nil {
		return false
	}
	e, expired := ln.queue.Pop(now)
	for _, x := range expired {
		x.Value.outcomes <- outcome{err: work.NewRefusal(ReasonDeadline, time.Second)}
	}
	if e == nil {
		return false
	}
	ln.startsBeforeAlone--
	ln.start(now, e.Value, b)
	return true
}

// start gives a job to a server. If the lane may no longer send it, start refuses it and reports false.
func (ln *lane) start(now time.Time, j *job, b *backend) bool {
	if err := ln.checkPermitted(now, j.req); err != nil {
		j.outcomes <- outcome{err: err}
		return false
	}
	if ln.keyed {
		j.req.Token, _ = ln.slotToken(j.req.Slot)
		j.leaseEnd = ln.leaseEnd
	}
	ln.updateLoad(now)
	j.startedAt, j.revision = now, ln.def.GetRevision()
	b.limiter.Start()
	ln.takeQuota(now, b)
	ln.running[j] = struct{}{}
	j.outcomes <- outcome{server: b}
	return true
}

// finish records how a job ended, and starts waiting jobs.
func (ln *lane) finish(now time.Time, j *job, b *backend, out limit.Outcome, hold time.Duration, reply server.Reply) {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	ln.updateLoad(now)
	delete(ln.running, j)
	took := now.Sub(j.startedAt)
	b.limiter.Finish(now, out, took, hold)
	if b.aloneJob == j {
		b.aloneJob = nil
	}
	b.quota.observe(now, j.startedAt, reply.Limit, out == limit.Done && reply.Status < 500)
	if reply.Leaving {
		b.selfLeavingUntil = now.Add(selfLeavingTime)
	}
	if out == limit.Done {
		ln.queue.Observe(j.rank, took)
	}
	ln.startWaiting(now)
	ln.notifyReleasable()
}

// notifyReleasable calls its callback if a revision can be released.
func (ln *lane) notifyReleasable() {
	if len(ln.endedRevisions) > 0 && ln.oldestBlocking() > ln.endedRevisions[0] {
		ln.dispatcher.cfg.NotifyReleasable()
	}
}

// takeReleased removes and returns the ended revisions that no request in progress needs.
func (ln *lane) takeReleased() []uint64 {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	if len(ln.endedRevisions) == 0 {
		return nil
	}
	oldest := ln.oldestBlocking()
	var out []uint64
	ln.endedRevisions = slices.DeleteFunc(ln.endedRevisions, func(rev uint64) bool {
		if rev >= oldest {
			return false
		}
		out = append(out, rev)
		return true
	})
	return out
}

// oldestBlocking returns the lowest revision of a request in progress whose slot and token the lane no longer holds. It
// blocks the release of all later ended revisions too: the slot was part of them.
func (ln *lane) oldestBlocking() uint64 {
	low := uint64(math.MaxUint64)
	for j := range ln.running {
		if ln.removedAt.IsZero() {
			if token, ok := ln.slotToken(j.req.Slot); !ln.keyed || ok && token == j.req.Token {
				continue
			}
		}
		low = min(low, j.revision)
	}
	return low
}
