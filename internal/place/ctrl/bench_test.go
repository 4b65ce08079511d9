package ctrl_test

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bramleycove/bramleycove/internal/place/lease"
	"github.com/bramleycove/bramleycove/internal/plat/grants"
	"github.com/bramleycove/bramleycove/internal/wire/peerpb"
)

// newSteadySimulation returns a data centre that has served all its slots for some time, and its controller.
func newSteadySimulation(b *testing.B, instances, servers, count int) (*simulation, *instance) {
	w := newSimulation(nil, []string{"e"}, instances, servers, 0)
	w.tables.Pools[0].Slots = uint32(count)
	for end := w.now.Add(8 * time.Second); w.now.Before(end); {
		w.step()
	}
	c := w.controller("e")
	if c == nil || w.checkExclusive() != count {
		b.Fatalf("%d of %d slots held", w.checkExclusive(), count)
	}
	return w, c
}

// BenchmarkHeartbeat measures the controller's work for one heartbeat, by members, and the bytes of request, of a
// reply with an unchanged view and of a full reply.
func BenchmarkHeartbeat(b *testing.B) {
	for _, n := range []int{12, 25, 50, 100, 200} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			w, c := newSteadySimulation(b, n, 20, 1024)
			i := w.instances[n/2]
			req := &peerpb.HeartbeatRequest{Instance: i.id, Dc: "e", Peer: "10.100.200.10:12345", Term: c.core.Pair.Term}
			full := c.core.HandleHeartbeat(w.now, req)
			req.Known, req.Echo = full.View, full.Nonce
			var rep *peerpb.HeartbeatReply
			b.ResetTimer()
			for b.Loop() {
				rep = c.core.HandleHeartbeat(w.now, req)
				req.Echo, req.Known = rep.Nonce, rep.View
			}
			b.ReportMetric(float64(proto.Size(req)), "request-B")
			b.ReportMetric(float64(proto.Size(rep)), "reply-B")
			b.ReportMetric(float64(proto.Size(full)), "full-reply-B")
		})
	}
}

// BenchmarkGrantRound measures one interval of a controller with nothing to move: its pass over the slots, a grant to
// every server and their answers.
func BenchmarkGrantRound(b *testing.B) {
	for _, size := range [][2]int{{5, 1024}, {20, 1024}, {50, 1024}, {100, 1024}, {20, 4096}, {20, 16384}, {20, 65536}} {
		b.Run(fmt.Sprintf("servers=%d/slots=%d", size[0], size[1]), func(b *testing.B) {
			w, c := newSteadySimulation(b, 3, size[0], size[1])
			b.ResetTimer()
			for b.Loop() {
				w.now = w.now.Add(lease.Interval)
				for _, a := range c.core.Step(w.now, &c.placement, w.now) {
					if g := a.Grant; g != nil {
						s := w.servers[g.Server]
						c.core.HandleGrantReply(w.now, g.Server, g.ID, grants.Reply{
							Incarnation: s.incarnation, Clock: s.readClock(w.now), Term: g.Grant.Term, Accepted: true, Held: g.Grant.Slots,
						}, nil)
					}
				}
			}
		})
	}
}

// BenchmarkIdleStep measures one step of an instance that is not the controller, by members. It makes 20 a second.
func BenchmarkIdleStep(b *testing.B) {
	for _, n := range []int{12, 25, 50, 100, 200} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			w, c := newSteadySimulation(b, n, 20, 64)
			i := w.instances[0]
			if i == c {
				i = w.instances[1]
			}
			b.ResetTimer()
			for b.Loop() {
				i.core.Step(w.now, &i.placement, w.now)
			}
		})
	}
}
