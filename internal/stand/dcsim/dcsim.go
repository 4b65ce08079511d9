// Package dcsim simulates a data centre whose members and servers answer immediately, on a simulated clock, to measure
// the time and bytes that its controller uses.
package dcsim

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-json"
	"google.golang.org/protobuf/proto"

	"github.com/bramleycove/bramleycove/internal/oper/tables"
	"github.com/bramleycove/bramleycove/internal/place/ctrl"
	"github.com/bramleycove/bramleycove/internal/place/fold"
	"github.com/bramleycove/bramleycove/internal/place/lease"
	"github.com/bramleycove/bramleycove/internal/plat/grants"
	"github.com/bramleycove/bramleycove/internal/plat/roster"
	"github.com/bramleycove/bramleycove/internal/wire/peerpb"
	"github.com/bramleycove/bramleycove/internal/wire/record"
)

// Size is the size of a data centre, but Slots counts those of the whole pool. With Scattered, adjacent
// slots have different owners, the worst case for the size of grants and lanes. Otherwise each owner has ranges of
// slots, as after the first assignment.
type Size struct {
	Members, Servers, Slots, HotSlots int
	Scattered                         bool
	DCs                               int // with Servers each; the homes of slots are spread over them; 0 means 1
}

// Sim is one simulated data centre. It is not safe for concurrent use.
type Sim struct {
	controller *ctrl.Core
	now        time.Time
	placement  fold.Placement
	logOffset  uint64
	heartbeats []*peerpb.HeartbeatRequest
	members    []roster.Instance
	hotSlots   int

	Usage
}

// Usage is what the controller has used since New or the last ResetUsage.
type Usage struct {
	StepTime, HeartbeatTime                                              time.Duration // time spent in the controller
	RequestBytes, ReplyBytes, MaxReplyBytes, GrantBytes, GrantReplyBytes int           // bytes sent and received
}

// ResetUsage sets all usage to zero.
func (sim *Sim) ResetUsage() { sim.Usage = Usage{} }

// Addr returns the fictitious address of instance or server n.
func Addr(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 40, byte(n >> 8), byte(n)}), 8081)
}

// New returns a data centre whose controller has not run yet.
func New(s Size) *Sim {
	sim := &Sim{now: time.Unix(1_000_000, 0), hotSlots: s.HotSlots}
	pool := tables.Pool{Name: "stock", Keyed: true, Slots: uint32(s.Slots)}
	for i := range s.Servers {
		pool.Servers = append(pool.Servers, tables.Server{
			Name: fmt.Sprintf("server-%03d", i), Address: Addr(1 << 12 * (i + 1) % 65000), DC: "dk-east-1", Slots: 3, Connections: 130, Checks: true,
		})
	}
	regions := []tables.Region{{Name: "dk-east", DCs: []string{"dk-east-1"}}}
	for d := 1; d < s.DCs; d++ {
		dc := fmt.Sprintf("dc-%02d", d)
		regions[0].DCs = append(regions[0].DCs, dc)
		for i := range s.Servers {
			pool.Servers = append(pool.Servers, tables.Server{Name: fmt.Sprintf("%s-%03d", dc, i), DC: dc, Slots: 3, Connections: 130, Checks: true})
		}
	}
	var list roster.List
	for i := range s.Members {
		list.Instances = append(list.Instances, roster.Instance{Name: fmt.Sprintf("dk-east-1-%02d", i), DC: "dk-east-1", Peer: Addr(i)})
		sim.heartbeats = append(sim.heartbeats, &peerpb.HeartbeatRequest{
			Instance: fmt.Sprintf("dk-east-1-%02d/5f3a77c0", i), Dc: "dk-east-1", Peer: Addr(i).String(),
		})
	}
	sim.members = list.Instances
	sim.controller = ctrl.New(ctrl.Config{ID: sim.heartbeats[0].GetInstance(), DC: "dk-east-1", PeerAddr: Addr(0), StartedAt: sim.now})
	sim.controller.SetTables(&tables.Tables{
		Pools:   []tables.Pool{pool},
		Routes:  []tables.Route{{Name: "stock", Path: "/*", Pool: "stock", Timeout: time.Second}},
		Regions: regions,
	}, nil)
	sim.controller.SetList(list)
	if s.Scattered {
		sim.assignScattered(&pool)
	}
	return sim
}

// assignScattered records scattered assignments by an earlier controller.
func (sim *Sim) assignScattered(pool *tables.Pool) {
	a := &record.Assign{Dc: "dk-east-1", Pool: pool.Name, Term: 1, Slots: pool.Slots}
	for i := range pool.Slots {
		a.Changes = append(a.Changes, &record.Change{First: i, Last: i, Owner: pool.Servers[int(i)%len(pool.Servers)].Name})
	}
	for _, rec := range []*record.Record{
		{Kind: &record.Record_Term{Term: &record.Term{Dc: "dk-east-1", Holder: "gone/1", Witnesses: []string{sim.heartbeats[0].GetInstance()}}}},
		{Kind: &record.Record_Ready{Ready: &record.Ready{Dc: "dk-east-1", Term: 1}}},
		{Kind: &record.Record_Assign{Assign: a}},
	} {
		sim.logOffset++
		sim.placement.Apply(sim.logOffset, rec)
	}
}

// RunInterval simulates 300 ms: six steps of the controller and one heartbeat of each member.
func (sim *Sim) RunInterval() {
	for range 6 {
		sim.now = sim.now.Add(50 * time.Millisecond)
		begin := time.Now()
		actions := sim.controller.Step(sim.now, &sim.placement, sim.now)
		sim.StepTime += time.Since(begin)
		for _, a := range actions {
			sim.execute(a)
		}
	}
	for _, req := range sim.heartbeats {
		sim.sendHeartbeat(req)
	}
}

func (sim *Sim) execute(a ctrl.Action) {
	switch {
	case a.Append != nil:
		sim.logOffset++
		sim.placement.Apply(sim.logOffset, a.Append.Record)
		sim.controller.HandleAppendResult(a.Append.Tag, sim.logOffset, false)
	case a.Fence != nil:
		for i, m := range sim.members {
			if m.Name == a.Fence.Name {
				q := a.Fence.Request
				pair := [2]uint64{q.GetTerm(), uint64(q.GetEpoch())}
				sim.heartbeats[i].Term, sim.heartbeats[i].Epoch = pair[0], uint32(pair[1])
				sim.controller.HandleFenceReply(sim.now, sim.now, m.Name, lease.Pair{Term: q.GetTerm(), Epoch: q.GetEpoch()}, &peerpb.FenceReply{
					Instance: sim.heartbeats[i].GetInstance(), Accepted: true, Term: pair[0], Epoch: uint32(pair[1]),
				})
			}
		}
	case a.Grant != nil:
		g := a.Grant.Grant
		r := grants.Reply{
			Incarnation: 7, Clock: uint64(sim.now.UnixNano()), Term: g.Term, Epoch: g.Epoch, Accepted: true, Held: g.Slots, Until: g.Until,
		}
		in, _ := json.Marshal(g)
		out, _ := json.Marshal(r)
		sim.GrantBytes, sim.GrantReplyBytes = sim.GrantBytes+len(in), sim.GrantReplyBytes+len(out)
		begin := time.Now()
		sim.controller.HandleGrantReply(sim.now, a.Grant.Server, a.Grant.ID, r, nil)
		sim.StepTime += time.Since(begin)
	}
}

// sendHeartbeat sends the heartbeat of a member, as package member does.
func (sim *Sim) sendHeartbeat(req *peerpb.HeartbeatRequest) {
	sim.RequestBytes += proto.Size(req)
	begin := time.Now()
	rep := sim.controller.HandleHeartbeat(sim.now, req)
	sim.HeartbeatTime += time.Since(begin)
	n := proto.Size(rep)
	sim.ReplyBytes += n
	req.Term, req.Epoch, req.Echo = rep.GetTerm(), rep.GetEpoch(), rep.GetNonce()
	if !rep.GetAccepted() || rep.GetView() == req.GetKnown() {
		return
	}
	sim.MaxReplyBytes = max(sim.MaxReplyBytes, n)
	req.Known, req.Servers = rep.GetView(), nil
	for _, l := range rep.GetLanes() {
		for _, s := range l.GetServers() {
			r := &peerpb.ServerReport{Name: s.GetName(), Load: 1.25}
			for k := range sim.hotSlots {
				r.Slots = append(r.Slots, &peerpb.SlotLoad{Slot: uint32(100 * k), Rate: 12.5})
			}
			req.Servers = append(req.Servers, r)
		}
	}
}

// RunUntilSettled runs until the controller has served slots for 30 intervals without moves or log records.
func (sim *Sim) RunUntilSettled() error {
	lastOffset := uint64(0)
	for quiet := 0; quiet < 30; quiet++ {
		sim.RunInterval()
		s := sim.controller.Status
		if sim.logOffset != lastOffset || s.State != ctrl.Serving || s.MovingSlots+s.UnloggedMoves > 0 || len(sim.placement.Slots("stock")) == 0 {
			lastOffset, quiet = sim.logOffset, 0
		}
		if sim.now.After(time.Unix(1_000_300, 0)) {
			return errors.Newf("not settled within 300 s of simulated time: %+v", s)
		}
	}
	return nil
}
