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
	"github.com/bramleycove/bramleycove/internal/wire/peerpb"
)

// lane is the queue and the servers of one lane.
type lane struct {
	stage *Stage
	name  string
	keyed bool

	mu       sync.Mutex
	def      *peerpb.Lane
	until    time.Time // end of the lease, keyed lanes only
	removed  time.Time // zero while this instance dispatches the lane
	fallback bool      // served without being told by a controller
	used     time.Time // last request
	servers  []*backend
	names    []string // rank names of the queue
	queue    *ranks.Queue[*job]
	alone    []*job // requests that lost a server before, in order of arrival
	turn     int    // jobs that others may start before the next one that runs alone
	running  map[*job]struct{}
	ended    []uint64    // revisions that were replaced or removed and are not released yet
	timer    *time.Timer // runs pump when a server that was held back can be used
	rates    map[uint32]int
	reported time.Time
	changed  time.Time // last change of the load
}

func newLane(s *Stage, name string) *lane {
	ln := &lane{stage: s, name: name, keyed: keyedName(name), running: make(map[*job]struct{}), rates: make(map[uint32]int)}
	ln.reported = s.cfg.Now()
	ln.changed = ln.reported
	return ln
}

// apply puts a definition and a lease into force.
func (ln *lane) apply(now time.Time, def *peerpb.Lane, until time.Time, fallback bool) {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	if ln.def != def {
		if removed := !ln.removed.IsZero(); ln.def != nil && !ln.fallback && !removed && ln.def.GetRevision() != def.GetRevision() {
			ln.ended = append(ln.ended, ln.def.GetRevision())
		}
		ln.def = def
		// A revision that is in force again must not be released.
		ln.ended = slices.DeleteFunc(ln.ended, func(rev uint64) bool { return rev == def.GetRevision() })
		ln.setServers(def.GetServers())
	}
	ln.until, ln.removed, ln.fallback = until, time.Time{}, fallback
	for _, b := range ln.servers {
		b.leaving = b.told || ln.stage.cfg.Leaving(b.name)
	}
	ln.setRanks(ln.stage.cfg.Ranks())
	ln.refuse(now)
	ln.pump(now)
	ln.freed()
}

// setServers keeps the state of servers that are still the same process.
func (ln *lane) setServers(defs []*peerpb.Server) {
	var next []*backend
	for _, d := range defs {
		addr, err := netip.ParseAddrPort(d.GetAddress())
		if err != nil {
			continue
		}
		addr = ln.stage.cfg.Via(addr)
		i := slices.IndexFunc(ln.servers, func(b *backend) bool { return b.same(d, addr) })
		if i < 0 {
			next = append(next, newBackend(d, addr))
			continue
		}
		b := ln.servers[i]
		b.told, b.incarnation = d.GetLeaving(), max(b.incarnation, d.GetIncarnation())
		next = append(next, b)
		ln.servers = slices.Delete(ln.servers, i, i+1)
	}
	ln.retire()
	ln.servers = next
}

// setRanks puts changed ranks into force. When their names change, waiting jobs are queued anew.
func (ln *lane) setRanks(in []tables.Rank) {
	cfg := make([]ranks.Rank, len(in))
	names := make([]string, len(in))
	for i, r := range in {
		cfg[i], names[i] = ranks.Rank{Share: r.Share, Target: r.Target}, r.Name
	}
	if ln.queue != nil && slices.Equal(names, ln.names) {
		ln.queue.SetRanks(cfg)
		return
	}
	old := ln.queue
	ln.names, ln.queue = names, ranks.New[*job](cfg)
	if old != nil {
		for _, e := range old.Drain(func(*job) bool { return true }) {
			e.Value.ready <- outcome{moved: true}
		}
	}
}

// remove ends the dispatching of the lane.
func (ln *lane) remove(now time.Time) {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	ln.removed = now
	if !ln.fallback {
		ln.ended = append(ln.ended, ln.def.GetRevision())
	}
	ln.refuse(now)
	ln.freed()
}

// keepFallback reports whether an unkeyed lane that no controller gave to this instance is still in use.
func (ln *lane) keepFallback(now time.Time) bool {
	const unused = 10 * time.Second
	ln.mu.Lock()
	defer ln.mu.Unlock()
	return ln.fallback && (len(ln.running) > 0 || now.Sub(ln.used) < unused)
}

func (ln *lane) isFallback() bool {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	return ln.fallback
}

// forget reports whether a removed lane has no request in progress and no release to report.
func (ln *lane) forget() bool {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	return len(ln.running) == 0 && len(ln.ended) == 0
}

func (ln *lane) close() {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	if ln.timer != nil {
		ln.timer.Stop()
	}
	ln.retire()
}

// retire closes the connections of all servers, those in use after their request.
func (ln *lane) retire() {
	for _, b := range ln.servers {
		ln.stage.tasks.Go(b.client.Close)
	}
	ln.servers = nil
}

// permit checks that the lane may send the request now.
func (ln *lane) permit(now time.Time, req *work.Request) error {
	switch {
	case !ln.removed.IsZero():
		return work.NewRefusal(ReasonStale, staleRetry)
	case !ln.keyed:
		return nil
	case !now.Before(ln.until):
		return work.NewRefusal(ReasonLapsed, time.Second)
	}
	token, ok := ln.token(req.Slot)
	// A request with a higher token comes from an instance that knows a newer assignment than this lease.
	if !ok || req.Token > token {
		return work.NewRefusal(ReasonStale, staleRetry)
	}
	return nil
}

// token returns the token under which the lane holds the slot.
func (ln *lane) token(slot uint32) (uint64, bool) {
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

// push queues a job or refuses it at once.
func (ln *lane) push(now time.Time, j *job) error {
	var wait time.Duration
	if j.alone, wait = ln.stage.cfg.Admit(now, j.req.Fingerprint); wait > 0 {
		return work.NewRefusal(ReasonCrash, wait)
	}
	ln.mu.Lock()
	defer ln.mu.Unlock()
	ln.used = now
	if err := ln.permit(now, j.req); err != nil {
		return err
	}
	if !now.Before(j.req.Deadline) {
		return work.NewRefusal(ReasonDeadline, time.Second)
	}
	if j.rank = slices.Index(ln.names, j.req.Rank); j.rank < 0 {
		return &result.Error{Verdict: result.NotRun, Status: 400, Reason: ReasonRank}
	}
	if err := ln.blocked(now, j); err != nil {
		return err
	}
	ln.account(now)
	if ln.keyed {
		ln.rates[j.req.Slot]++
	}
	if j.alone {
		if len(ln.alone) >= maxAlone {
			return work.NewRefusal(ReasonQueue, time.Second)
		}
		ln.alone = append(ln.alone, j)
	} else {
		e, after, ok := ln.queue.Push(now, j.rank, j.req.Deadline, j)
		if !ok {
			return work.NewRefusal(ReasonQueue, after)
		}
		j.entry = e
	}
	ln.pump(now)
	return nil
}

// maxAlone bounds the requests that wait to run alone, since each of them empties a server.
const maxAlone = 16

// blocked refuses work that no server can take in useful time.
func (ln *lane) blocked(now time.Time, j *job) error {
	var wait time.Duration
	var usable, frozen int
	for _, b := range ln.servers {
		if b.away(now) {
			continue
		}
		usable++
		if b.limit.Frozen() {
			frozen++
		}
		if w := b.limit.HeldUntil(now).Sub(now); usable == 1 || w < wait {
			wait = w
		}
	}
	if usable == 0 && ln.keyed {
		// The controller moves the slots of a server that leaves. The request waits until then, and is refused as stale
		// with the change, so that its entry instance sends it to the new owner.
		return nil
	}
	if usable == 0 {
		return work.NewRefusal(ReasonServers, time.Second)
	}
	if frozen < usable {
		if wait <= 0 {
			return nil
		}
		if target := ln.stage.target(j.rank); target > 0 && wait > target {
			return work.NewRefusal(ReasonHeld, wait)
		}
		return nil
	}
	// All are frozen: as many as the next trials can serve may wait if a trial comes soon.
	if rest := j.req.Deadline.Sub(now); wait > rest/2 || ln.queue.Total()+len(ln.running) >= usable {
		return work.NewRefusal(ReasonFrozen, max(wait, time.Second))
	}
	return nil
}

// withdraw takes a waiting job out. It reports false if the job's outcome has been decided.
func (ln *lane) withdraw(j *job) bool {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	if j.alone {
		if i := slices.Index(ln.alone, j); i >= 0 {
			ln.alone = slices.Delete(ln.alone, i, i+1)
			ln.pump(ln.stage.cfg.Now()) // a server may have been kept free for it
			return true
		}
		return false
	}
	return ln.queue.Cancel(j.entry)
}

// refuse ends waiting jobs that the lane may no longer send.
func (ln *lane) refuse(now time.Time) {
	if ln.queue == nil {
		return
	}
	for _, e := range ln.queue.Drain(func(j *job) bool { return ln.permit(now, j.req) != nil }) {
		e.Value.ready <- outcome{err: ln.permit(now, e.Value.req)}
	}
	ln.alone = slices.DeleteFunc(ln.alone, func(j *job) bool {
		err := ln.permit(now, j.req)
		if err != nil {
			j.ready <- outcome{err: err}
		}
		return err != nil
	})
}

// pump starts waiting jobs while servers can take them.
func (ln *lane) pump(now time.Time) {
	ln.abandon(now)
	ln.queue.SetCapacity(ln.capacity(now))
	for started := true; started; {
		started = ln.startAlone(now) || ln.startNext(now)
	}
	ln.wake(now)
}

// abandon refuses what waits in an unkeyed lane without a server that takes work; other lanes may have one.
func (ln *lane) abandon(now time.Time) {
	if ln.keyed || slices.ContainsFunc(ln.servers, func(b *backend) bool { return !b.away(now) }) {
		return
	}
	for _, e := range ln.queue.Drain(func(*job) bool { return true }) {
		e.Value.ready <- outcome{err: work.NewRefusal(ReasonServers, time.Second)}
	}
	for _, j := range ln.alone {
		j.ready <- outcome{err: work.NewRefusal(ReasonServers, time.Second)}
	}
	ln.alone = nil
}

func (ln *lane) startNext(now time.Time) bool {
	b := ln.pick(now)
	if b == nil {
		return false
	}
	e, expired := ln.queue.Pop(now)
	for _, x := range expired {
		x.Value.ready <- outcome{err: work.NewRefusal(ReasonDeadline, time.Second)}
	}
	if e == nil {
		return false
	}
	ln.turn--
	ln.start(now, e.Value, b)
	return true
}

// start gives a job to a server. If the permission to send it has ended meanwhile, it refuses the job and reports false.
func (ln *lane) start(now time.Time, j *job, b *backend) bool {
	if err := ln.permit(now, j.req); err != nil {
		j.ready <- outcome{err: err}
		return false
	}
	if ln.keyed {
		j.req.Token, _ = ln.token(j.req.Slot)
		j.until = ln.until
	}
	ln.account(now)
	j.started, j.rev = now, ln.def.GetRevision()
	b.limit.Start()
	ln.running[j] = struct{}{}
	j.ready <- outcome{server: b}
	return true
}

// finish frees the slot of a job.
func (ln *lane) finish(now time.Time, j *job, b *backend, out limit.Outcome, hold time.Duration, leaving bool) {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	ln.account(now)
	delete(ln.running, j)
	took := now.Sub(j.started)
	b.limit.Finish(now, out, took, hold)
	if b.solo == j {
		b.solo = nil
	}
	if leaving {
		b.drained = now.Add(leavingFor)
	}
	if out == limit.Done {
		ln.queue.Observe(j.rank, took)
	}
	ln.pump(now)
	ln.freed()
}

// freed tells the stage if a revision can be released.
func (ln *lane) freed() {
	if len(ln.ended) > 0 && ln.blocker() > ln.ended[0] {
		ln.stage.cfg.Freed()
	}
}

// released takes out and returns the ended revisions that no request in progress needs.
func (ln *lane) released() []uint64 {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	if len(ln.ended) == 0 {
		return nil
	}
	oldest := ln.blocker()
	var out []uint64
	ln.ended = slices.DeleteFunc(ln.ended, func(rev uint64) bool {
		if rev >= oldest {
			return false
		}
		out = append(out, rev)
		return true
	})
	return out
}

// blocker returns the lowest revision under which a request in progress was sent that the lane would not send now.
// A request of an earlier revision blocks all later ones that ended: its slot was part of them too.
func (ln *lane) blocker() uint64 {
	low := uint64(math.MaxUint64)
	for j := range ln.running {
		if ln.removed.IsZero() {
			if token, ok := ln.token(j.req.Slot); !ln.keyed || ok && token == j.req.Token {
				continue
			}
		}
		low = min(low, j.rev)
	}
	return low
}
