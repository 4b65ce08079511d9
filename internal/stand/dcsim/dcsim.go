// Package dcsim runs the controller of one data centre with members and servers that answer at once, on a made-up clock,
// to measure what it costs by size.
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

// Size is what one data centre has, but for the slots, which are those of the pool. With Scattered, neighbouring slots have different
// owners, the worst case for the size of grants and lanes; otherwise owners have runs of slots, as after the first
// assignment.
type Size struct {
	Members, Servers, Slots, HotSlots int
	Scattered                         bool
	DCs                               int // data centres with as many servers, which home the slots together; 0 means 1
}

// Sim is one data centre. It is not safe for concurrent use.
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

// Usage is what the controller has used since the start or the last Reset.
type Usage struct {
	StepTime, HeartbeatTime                                              time.Duration // processor time
	RequestBytes, ReplyBytes, MaxReplyBytes, GrantBytes, GrantReplyBytes int           // bytes; Full is the largest reply
}

// ResetUsage starts to count anew.
func (c *Sim) ResetUsage() { c.Usage = Usage{} }

// Addr returns the made-up address of an instance or server.
func Addr(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 40, byte(n >> 8), byte(n)}), 8081)
}

// New returns a data centre whose controller has not started yet.
func New(s Size) *Sim {
	c := &Sim{now: time.Unix(1_000_000, 0), hotSlots: s.HotSlots}
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
		c.heartbeats = append(c.heartbeats, &peerpb.HeartbeatRequest{
			Instance: fmt.Sprintf("dk-east-1-%02d/5f3a77c0", i), Dc: "dk-east-1", Peer: Addr(i).String(),
		})
	}
	c.members = list.Instances
	c.controller = ctrl.New(ctrl.Config{ID: c.heartbeats[0].GetInstance(), DC: "dk-east-1", PeerAddr: Addr(0), StartedAt: c.now})
	c.controller.SetTables(&tables.Tables{
		Pools:   []tables.Pool{pool},
		Routes:  []tables.Route{{Name: "stock", Path: "/*", Pool: "stock", Timeout: time.Second}},
		Regions: regions,
	}, nil)
	c.controller.SetList(list)
	if s.Scattered {
		c.assignScattered(&pool)
	}
	return c
}

// assignScattered records assignments of an earlier controller.
func (c *Sim) assignScattered(pool *tables.Pool) {
	a := &record.Assign{Dc: "dk-east-1", Pool: pool.Name, Term: 1, Slots: pool.Slots}
	for i := range pool.Slots {
		a.Changes = append(a.Changes, &record.Change{First: i, Last: i, Owner: pool.Servers[int(i)%len(pool.Servers)].Name})
	}
	for _, rec := range []*record.Record{
		{Kind: &record.Record_Term{Term: &record.Term{Dc: "dk-east-1", Holder: "gone/1", Witnesses: []string{c.heartbeats[0].GetInstance()}}}},
		{Kind: &record.Record_Ready{Ready: &record.Ready{Dc: "dk-east-1", Term: 1}}},
		{Kind: &record.Record_Assign{Assign: a}},
	} {
		c.logOffset++
		c.placement.Apply(c.logOffset, rec)
	}
}

// RunInterval is 300 ms of the controller's work: six steps and one heartbeat of each member.
func (c *Sim) RunInterval() {
	for range 6 {
		c.now = c.now.Add(50 * time.Millisecond)
		begin := time.Now()
		actions := c.controller.Step(c.now, &c.placement, c.now)
		c.StepTime += time.Since(begin)
		for _, a := range actions {
			c.execute(a)
		}
	}
	for _, req := range c.heartbeats {
		c.sendHeartbeat(req)
	}
}

func (c *Sim) execute(a ctrl.Action) {
	switch {
	case a.Append != nil:
		c.logOffset++
		c.placement.Apply(c.logOffset, a.Append.Record)
		c.controller.HandleAppendResult(a.Append.Tag, c.logOffset, false)
	case a.Fence != nil:
		for i, m := range c.members {
			if m.Name == a.Fence.Name {
				q := a.Fence.Request
				pair := [2]uint64{q.GetTerm(), uint64(q.GetEpoch())}
				c.heartbeats[i].Term, c.heartbeats[i].Epoch = pair[0], uint32(pair[1])
				c.controller.HandleFenceReply(c.now, c.now, m.Name, lease.Pair{Term: q.GetTerm(), Epoch: q.GetEpoch()}, &peerpb.FenceReply{
					Instance: c.heartbeats[i].GetInstance(), Accepted: true, Term: pair[0], Epoch: uint32(pair[1]),
				})
			}
		}
	case a.Grant != nil:
		g := a.Grant.Grant
		r := grants.Reply{
			Incarnation: 7, Clock: uint64(c.now.UnixNano()), Term: g.Term, Epoch: g.Epoch, Accepted: true, Held: g.Slots, Until: g.Until,
		}
		in, _ := json.Marshal(g)
		out, _ := json.Marshal(r)
		c.GrantBytes, c.GrantReplyBytes = c.GrantBytes+len(in), c.GrantReplyBytes+len(out)
		begin := time.Now()
		c.controller.HandleGrantReply(c.now, a.Grant.Server, a.Grant.ID, r, nil)
		c.StepTime += time.Since(begin)
	}
}

// sendHeartbeat sends the heartbeat of a member, as package member does.
func (c *Sim) sendHeartbeat(req *peerpb.HeartbeatRequest) {
	c.RequestBytes += proto.Size(req)
	begin := time.Now()
	rep := c.controller.HandleHeartbeat(c.now, req)
	c.HeartbeatTime += time.Since(begin)
	n := proto.Size(rep)
	c.ReplyBytes += n
	req.Term, req.Epoch, req.Echo = rep.GetTerm(), rep.GetEpoch(), rep.GetNonce()
	if !rep.GetAccepted() || rep.GetView() == req.GetKnown() {
		return
	}
	c.MaxReplyBytes = max(c.MaxReplyBytes, n)
	req.Known, req.Servers = rep.GetView(), nil
	for _, l := range rep.GetLanes() {
		for _, s := range l.GetServers() {
			r := &peerpb.ServerReport{Name: s.GetName(), Load: 1.25}
			for k := range c.hotSlots {
				r.Slots = append(r.Slots, &peerpb.SlotLoad{Slot: uint32(100 * k), Rate: 12.5})
			}
			req.Servers = append(req.Servers, r)
		}
	}
}

// RunUntilSettled runs until slots are served and nothing has been under way for a while.
func (c *Sim) RunUntilSettled() error {
	last := uint64(0)
	for quiet := 0; quiet < 30; quiet++ {
		c.RunInterval()
		s := c.controller.Status
		if c.logOffset != last || s.State != ctrl.Serving || s.MovingSlots+s.UnloggedMoves > 0 || len(c.placement.Slots("stock")) == 0 {
			last, quiet = c.logOffset, 0
		}
		if c.now.After(time.Unix(1_000_300, 0)) {
			return errors.Newf("not settled: %+v", s)
		}
	}
	return nil
}
