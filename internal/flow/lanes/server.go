package lanes

import (
	"cmp"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/bramleycove/bramleycove/internal/flow/limit"
	"github.com/bramleycove/bramleycove/internal/plat/server"
	"github.com/bramleycove/bramleycove/internal/wire/peerpb"
)

// selfLeavingTime is how long a server's answer that it is leaving counts. The controller moves its work away within
// seconds; a server that stays after all is used again.
const selfLeavingTime = 30 * time.Second

// maxReportedSlots bounds the slots that a report lists.
const maxReportedSlots = 8

// backend is one server of a lane.
type backend struct {
	name                 string
	addr                 netip.AddrPort
	incarnation          uint64
	slots                int
	leavingPerController bool      // the controller says that it is leaving
	leaving              bool      // the controller or the platform's list says so
	selfLeavingUntil     time.Time // set by an answer in which the server says so
	aloneJob             *job      // running job that no other may run beside
	reserved             bool      // takes no more work until it is idle, for such a job
	client               *server.Client
	limiter              *limit.Limiter
	quota                serverQuota
	loadSeconds          float64 // running and queued requests, integrated over time
}

func newBackend(d *peerpb.Server, addr netip.AddrPort) *backend {
	slots := max(1, int(d.GetSlots()))
	return &backend{
		name: d.GetName(), addr: addr, incarnation: d.GetIncarnation(), slots: slots, leavingPerController: d.GetLeaving(),
		client: server.New(addr, maxConnections(slots, int(d.GetConnections()))), limiter: limit.New(slots),
	}
}

// process returns a name of the process that b talks to, which differs from that of the next one under the same name.
func (b *backend) process() string {
	if b.incarnation == 0 {
		return b.name
	}
	return b.name + "/" + strconv.FormatUint(b.incarnation, 16)
}

// maxConnections returns how many connections to open: at most twice the concurrency slots, so that the server's limit
// has room for a second dispatcher that was frozen and returns.
func maxConnections(slots, limit int) int {
	if limit > 0 {
		return min(2*slots, limit)
	}
	return 2 * slots
}

// sameProcess reports whether d describes the process that b talks to.
func (b *backend) sameProcess(d *peerpb.Server, addr netip.AddrPort) bool {
	known := b.incarnation != 0 && d.GetIncarnation() != 0
	return b.name == d.GetName() && b.addr == addr && b.slots == max(1, int(d.GetSlots())) &&
		(!known || b.incarnation == d.GetIncarnation())
}

// isLeaving reports whether the server gets no new work because it is leaving.
func (b *backend) isLeaving(now time.Time) bool { return b.leaving || now.Before(b.selfLeavingUntil) }

// leastLoaded returns the server with the fewest running requests per slot that can take one now, or nil.
func (ln *lane) leastLoaded(now time.Time) *backend {
	var best *backend
	for _, b := range ln.servers {
		if b.aloneJob != nil || b.reserved || b.isLeaving(now) || !b.limiter.Ready(now) || ln.quotaWait(now, b) > 0 {
			continue
		}
		if best == nil || b.limiter.Running()*best.slots < best.limiter.Running()*b.slots {
			best = b
		}
	}
	return best
}

// startAlone starts the first job that has to run alone if a server is idle. Otherwise it reserves the least busy server
// until that is idle, and reports false.
func (ln *lane) startAlone(now time.Time) bool {
	for _, b := range ln.servers {
		b.reserved = false
	}
	if len(ln.aloneQueue) == 0 || (ln.startsBeforeAlone > 0 && ln.queue.Total() > 0) {
		return false
	}
	j := ln.aloneQueue[0]
	var best *backend
	for _, b := range ln.servers {
		if b.isLeaving(now) || now.Before(b.limiter.HeldUntil(now)) || ln.quotaWait(now, b) > 0 {
			continue
		}
		if best == nil || b.limiter.Running() < best.limiter.Running() {
			best = b
		}
	}
	if best == nil {
		return false
	}
	if best.limiter.Running() > 0 {
		best.reserved = true
		return false
	}
	ln.aloneQueue = ln.aloneQueue[1:]
	if ln.start(now, j, best) {
		best.aloneJob = j
		ln.startsBeforeAlone = best.slots // as many others as the server can run at once
	}
	return true
}

// capacity returns how many requests the servers may run at the same time.
func (ln *lane) capacity(now time.Time) int {
	n := 0
	for _, b := range ln.servers {
		if !b.isLeaving(now) && !b.limiter.Frozen() {
			n += b.limiter.Limit()
		}
	}
	return n
}

// scheduleWake sets the timer to when the first server that is held back or leaving can be used again.
func (ln *lane) scheduleWake(now time.Time) {
	if ln.queue.Total()+len(ln.aloneQueue) == 0 {
		return
	}
	var next time.Time
	for _, b := range ln.servers {
		t := b.limiter.HeldUntil(now)
		if end := now.Add(ln.quotaWait(now, b)); end.After(now) && end.After(t) {
			t = end
		}
		if b.selfLeavingUntil.After(now) && b.selfLeavingUntil.After(t) {
			t = b.selfLeavingUntil
		}
		if !t.IsZero() && (next.IsZero() || t.Before(next)) {
			next = t
		}
	}
	if next.IsZero() {
		return
	}
	if ln.wakeTimer == nil {
		ln.wakeTimer = time.AfterFunc(next.Sub(now), ln.onWake)
		return
	}
	ln.wakeTimer.Reset(next.Sub(now))
}

func (ln *lane) onWake() {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	now := ln.dispatcher.cfg.Now()
	ln.updateLoad(now)
	ln.startWaiting(now)
}

// updateLoad adds the load since lastLoadUpdate to loadSeconds; the servers share the queued jobs equally.
func (ln *lane) updateLoad(now time.Time) {
	dt := now.Sub(ln.lastLoadUpdate).Seconds()
	ln.lastLoadUpdate = now
	if dt <= 0 || len(ln.servers) == 0 {
		return
	}
	queued := float64(ln.queue.Total()+len(ln.aloneQueue)) / float64(len(ln.servers))
	for _, b := range ln.servers {
		b.loadSeconds += dt * (float64(b.limiter.Running()) + queued)
	}
}

// takeReports returns what was observed since the last call.
func (ln *lane) takeReports(now time.Time) []*peerpb.ServerReport {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	ln.updateLoad(now)
	span := max(now.Sub(ln.lastReport).Seconds(), 1e-3)
	ln.lastReport = now
	out := make([]*peerpb.ServerReport, 0, len(ln.servers))
	for _, b := range ln.servers {
		out = append(out, &peerpb.ServerReport{
			Name: b.name, Leaving: now.Before(b.selfLeavingUntil), Failing: b.limiter.Frozen(), Load: b.loadSeconds / span,
		})
		b.loadSeconds = 0
	}
	if ln.keyed && len(out) == 1 {
		out[0].Slots = hottestSlots(ln.slotRequests, span)
	}
	clear(ln.slotRequests)
	return out
}

// hottestSlots returns the slots with the highest request rates.
func hottestSlots(rates map[uint32]int, span float64) []*peerpb.SlotLoad {
	out := make([]*peerpb.SlotLoad, 0, len(rates))
	for slot, n := range rates {
		out = append(out, &peerpb.SlotLoad{Slot: slot, Rate: float64(n) / span})
	}
	slices.SortFunc(out, func(a, b *peerpb.SlotLoad) int {
		return cmp.Or(cmp.Compare(b.GetRate(), a.GetRate()), cmp.Compare(a.GetSlot(), b.GetSlot()))
	})
	return out[:min(len(out), maxReportedSlots)]
}
