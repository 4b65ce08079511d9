package lanes

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/bramleycove/bramleycove/internal/flow/limit"
	"github.com/bramleycove/bramleycove/internal/plat/server"
	"github.com/bramleycove/bramleycove/internal/wire/peerpb"
)

// leavingFor is how long a server's own word that it is leaving counts. The controller takes its work away within
// seconds; a server that stays after all is used again.
const leavingFor = 30 * time.Second

// hottest is how many slots a report names.
const hottest = 8

// backend is one server of a lane.
type backend struct {
	name        string
	addr        netip.AddrPort
	incarnation uint64
	slots       int
	told        bool      // leaving by the word of the controller
	leaving     bool      // leaving by the word of the controller or the platform's list
	drained     time.Time // by its own answer, until this time
	solo        *job      // running request that lost a server before, and so runs alone
	reserved    bool      // takes no other work until it is idle, for such a request
	client      *server.Client
	limit       *limit.Server
	load        float64 // integral of requests in progress and queued, in seconds
}

func newBackend(d *peerpb.Server, addr netip.AddrPort) *backend {
	slots := max(1, int(d.GetSlots()))
	return &backend{
		name: d.GetName(), addr: addr, incarnation: d.GetIncarnation(), slots: slots, told: d.GetLeaving(),
		client: server.New(addr, connections(slots, int(d.GetConnections()))), limit: limit.New(slots),
	}
}

// connections returns how many connections to open: at most twice the concurrency slots, so that a second dispatcher
// that was frozen and returns still finds the server within its limit.
func connections(slots, limit int) int {
	if limit > 0 {
		return min(2*slots, limit)
	}
	return 2 * slots
}

// same reports whether d describes the process that b talks to.
func (b *backend) same(d *peerpb.Server, addr netip.AddrPort) bool {
	known := b.incarnation != 0 && d.GetIncarnation() != 0
	return b.name == d.GetName() && b.addr == addr && b.slots == max(1, int(d.GetSlots())) &&
		(!known || b.incarnation == d.GetIncarnation())
}

// away reports whether the server takes no new work because it is leaving.
func (b *backend) away(now time.Time) bool { return b.leaving || now.Before(b.drained) }

// pick returns the server with the least outstanding work in relation to its slots that can take a request now.
func (ln *lane) pick(now time.Time) *backend {
	var best *backend
	for _, b := range ln.servers {
		if b.solo != nil || b.reserved || b.away(now) || !b.limit.Ready(now) {
			continue
		}
		if best == nil || b.limit.Running()*best.slots < best.limit.Running()*b.slots {
			best = b
		}
	}
	return best
}

// startAlone starts the first job that has to run alone if a server has become idle. Otherwise it keeps the least
// busy server from taking other work, until that server is idle.
func (ln *lane) startAlone(now time.Time) bool {
	for _, b := range ln.servers {
		b.reserved = false
	}
	if len(ln.alone) == 0 || (ln.turn > 0 && ln.queue.Total() > 0) {
		return false
	}
	j := ln.alone[0]
	var best *backend
	for _, b := range ln.servers {
		if b.away(now) || now.Before(b.limit.HeldUntil(now)) {
			continue
		}
		if best == nil || b.limit.Running() < best.limit.Running() {
			best = b
		}
	}
	if best == nil {
		return false
	}
	if best.limit.Running() > 0 {
		best.reserved = true
		return false
	}
	ln.alone = ln.alone[1:]
	if ln.start(now, j, best) {
		best.solo = j
		ln.turn = best.slots // then the others get as much of a server as it can run
	}
	return true
}

// capacity returns how many requests the servers can run now.
func (ln *lane) capacity(now time.Time) int {
	n := 0
	for _, b := range ln.servers {
		if !b.away(now) && !b.limit.Frozen() {
			n += b.limit.Limit()
		}
	}
	return n
}

// wake arranges a pump for the moment when a server that is held back can be used again.
func (ln *lane) wake(now time.Time) {
	if ln.queue.Total()+len(ln.alone) == 0 {
		return
	}
	var next time.Time
	for _, b := range ln.servers {
		t := b.limit.HeldUntil(now)
		if b.drained.After(now) && b.drained.After(t) {
			t = b.drained
		}
		if !t.IsZero() && (next.IsZero() || t.Before(next)) {
			next = t
		}
	}
	if next.IsZero() {
		return
	}
	if ln.timer == nil {
		ln.timer = time.AfterFunc(next.Sub(now), ln.wakened)
		return
	}
	ln.timer.Reset(next.Sub(now))
}

func (ln *lane) wakened() {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	now := ln.stage.cfg.Now()
	ln.account(now)
	ln.pump(now)
}

// account adds the load since the last change to the integrals.
func (ln *lane) account(now time.Time) {
	dt := now.Sub(ln.changed).Seconds()
	ln.changed = now
	if dt <= 0 || len(ln.servers) == 0 {
		return
	}
	queued := float64(ln.queue.Total()+len(ln.alone)) / float64(len(ln.servers))
	for _, b := range ln.servers {
		b.load += dt * (float64(b.limit.Running()) + queued)
	}
}

// reports returns what was observed since the last call.
func (ln *lane) reports(now time.Time) []*peerpb.ServerReport {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	ln.account(now)
	span := max(now.Sub(ln.reported).Seconds(), 1e-3)
	ln.reported = now
	out := make([]*peerpb.ServerReport, 0, len(ln.servers))
	for _, b := range ln.servers {
		out = append(out, &peerpb.ServerReport{
			Name: b.name, Leaving: now.Before(b.drained), Failing: b.limit.Frozen(), Load: b.load / span,
		})
		b.load = 0
	}
	if ln.keyed && len(out) == 1 {
		out[0].Slots = hot(ln.rates, span)
	}
	clear(ln.rates)
	return out
}

// hot returns the slots with the highest rates.
func hot(rates map[uint32]int, span float64) []*peerpb.SlotLoad {
	out := make([]*peerpb.SlotLoad, 0, len(rates))
	for slot, n := range rates {
		out = append(out, &peerpb.SlotLoad{Slot: slot, Rate: float64(n) / span})
	}
	slices.SortFunc(out, func(a, b *peerpb.SlotLoad) int {
		return cmp.Or(cmp.Compare(b.GetRate(), a.GetRate()), cmp.Compare(a.GetSlot(), b.GetSlot()))
	})
	return out[:min(len(out), hottest)]
}
