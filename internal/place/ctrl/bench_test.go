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

// newSteadySimulation returns a simulation whose data centre has served all its slots for some time, and its controller.
func newSteadySimulation(b *testing.B, instances, servers, count int) (*simulation, *instance) {
	sim := newSimulation(nil, []string{"e"}, instances, servers, 0)
	sim.tables.Pools[0].Slots = uint32(count)
	for end := sim.now.Add(8 * time.Second); sim.now.Before(end); {
		sim.step()
	}
	c := sim.controller("e")
	if c == nil || sim.checkExclusive() != count {
		b.Fatalf("%d of %d slots held", sim.checkExclusive(), count)
	}
	return sim, c
}

// BenchmarkHeartbeat measures the controller's work for one heartbeat, by number of members, and the sizes of the
// request, of a reply with an unchanged view and of a full reply.
func BenchmarkHeartbeat(b *testing.B) {
	for _, n := range []int{12, 25, 50, 100, 200} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			sim, c := newSteadySimulation(b, n, 20, 1024)
			i := sim.instances[n/2]
			req := &peerpb.HeartbeatRequest{Instance: i.id, Dc: "e", Peer: "10.100.200.10:12345", Term: c.core.Pair.Term}
			full := c.core.HandleHeartbeat(sim.now, req)
			req.Known, req.Echo = full.View, full.Nonce
			var rep *peerpb.HeartbeatReply
			b.ResetTimer()
			for b.Loop() {
				rep = c.core.HandleHeartbeat(sim.now, req)
				req.Echo, req.Known = rep.Nonce, rep.View
			}
			b.ReportMetric(float64(proto.Size(req)), "request-B")
			b.ReportMetric(float64(proto.Size(rep)), "reply-B")
			b.ReportMetric(float64(proto.Size(full)), "full-reply-B")
		})
	}
}

// BenchmarkGrantRound measures one interval of a controller without moves: a pass over the slots, a grant to every
// server and their answers.
func BenchmarkGrantRound(b *testing.B) {
	for _, size := range [][2]int{{5, 1024}, {20, 1024}, {50, 1024}, {100, 1024}, {20, 4096}, {20, 16384}, {20, 65536}} {
		b.Run(fmt.Sprintf("servers=%d/slots=%d", size[0], size[1]), func(b *testing.B) {
			sim, c := newSteadySimulation(b, 3, size[0], size[1])
			b.ResetTimer()
			for b.Loop() {
				sim.now = sim.now.Add(lease.Interval)
				for _, a := range c.core.Step(sim.now, &c.placement, sim.now) {
					if g := a.Grant; g != nil {
						s := sim.servers[g.Server]
						c.core.HandleGrantReply(sim.now, g.Server, g.ID, grants.Reply{
							Incarnation: s.incarnation, Clock: s.readClock(sim.now), Term: g.Grant.Term, Accepted: true, Held: g.Grant.Slots,
						}, nil)
					}
				}
			}
		})
	}
}

// BenchmarkIdleStep measures one step of an instance that is not the controller, by number of members. An instance makes
// 20 steps a second.
func BenchmarkIdleStep(b *testing.B) {
	for _, n := range []int{12, 25, 50, 100, 200} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			sim, c := newSteadySimulation(b, n, 20, 64)
			i := sim.instances[0]
			if i == c {
				i = sim.instances[1]
			}
			b.ResetTimer()
			for b.Loop() {
				i.core.Step(sim.now, &i.placement, sim.now)
			}
		})
	}
}
