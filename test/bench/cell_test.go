package bench_test

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/goccy/go-json"
	"google.golang.org/protobuf/proto"

	"github.com/bramleycove/bramleycove/internal/oper/tables"
	"github.com/bramleycove/bramleycove/internal/place/ctrl"
	"github.com/bramleycove/bramleycove/internal/place/fold"
	"github.com/bramleycove/bramleycove/internal/plat/grants"
	"github.com/bramleycove/bramleycove/internal/plat/roster"
	"github.com/bramleycove/bramleycove/internal/wire/peerpb"
	"github.com/bramleycove/bramleycove/internal/wire/record"
)

// size is what one data centre has, but for the slots, which are those of the pool. With scattered, neighbouring slots have different
// owners, the worst case for the size of grants and lanes; otherwise owners have runs of slots, as after the first
// assignment.
type size struct {
	members, servers, slots, hot int
	scattered                    bool
	dcs                          int // data centres with as many servers, which home the slots together; 0 means 1
}

// cell is the controller of one data centre with members and servers that answer at once, on a made-up clock.
type cell struct {
	core    *ctrl.Core
	now     time.Time
	place   fold.Place
	offset  uint64
	reqs    []*peerpb.HeartbeatRequest
	members []roster.Instance
	hot     int

	steps, beats                      time.Duration // processor time
	request, reply, full, grant, held int           // bytes
	calls                             int
}

func addr(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 40, byte(n >> 8), byte(n)}), 8081)
}

func newCell(s size) *cell {
	c := &cell{now: time.Unix(1_000_000, 0), hot: s.hot}
	pool := tables.Pool{Name: "stock", Keyed: true, Slots: uint32(s.slots)}
	for i := range s.servers {
		pool.Servers = append(pool.Servers, tables.Server{
			Name: fmt.Sprintf("server-%03d", i), Address: addr(1 << 12 * (i + 1) % 65000), DC: "dk-east-1", Slots: 3, Connections: 130, Checks: true,
		})
	}
	regions := []tables.Region{{Name: "dk-east", DCs: []string{"dk-east-1"}}}
	for d := 1; d < s.dcs; d++ {
		dc := fmt.Sprintf("dc-%02d", d)
		regions[0].DCs = append(regions[0].DCs, dc)
		for i := range s.servers {
			pool.Servers = append(pool.Servers, tables.Server{Name: fmt.Sprintf("%s-%03d", dc, i), DC: dc, Slots: 3, Connections: 130, Checks: true})
		}
	}
	var list roster.List
	for i := range s.members {
		list.Instances = append(list.Instances, roster.Instance{Name: fmt.Sprintf("dk-east-1-%02d", i), DC: "dk-east-1", Peer: addr(i)})
		c.reqs = append(c.reqs, &peerpb.HeartbeatRequest{
			Instance: fmt.Sprintf("dk-east-1-%02d/5f3a77c0", i), Dc: "dk-east-1", Peer: addr(i).String(),
		})
	}
	c.members = list.Instances
	c.core = ctrl.New(ctrl.Config{ID: c.reqs[0].GetInstance(), DC: "dk-east-1", Peer: addr(0), Start: c.now})
	c.core.Tables(&tables.Tables{
		Pools:   []tables.Pool{pool},
		Routes:  []tables.Route{{Name: "stock", Path: "/*", Pool: "stock", Timeout: time.Second}},
		Regions: regions,
	}, nil)
	c.core.List(list)
	if s.scattered {
		c.scatter(&pool)
	}
	return c
}

// scatter records assignments of an earlier controller.
func (c *cell) scatter(pool *tables.Pool) {
	a := &record.Assign{Dc: "dk-east-1", Pool: pool.Name, Term: 1, Slots: pool.Slots}
	for i := range pool.Slots {
		a.Changes = append(a.Changes, &record.Change{First: i, Last: i, Owner: pool.Servers[int(i)%len(pool.Servers)].Name})
	}
	for _, rec := range []*record.Record{
		{Kind: &record.Record_Term{Term: &record.Term{Dc: "dk-east-1", Holder: "gone/1", Witnesses: []string{c.reqs[0].GetInstance()}}}},
		{Kind: &record.Record_Ready{Ready: &record.Ready{Dc: "dk-east-1", Term: 1}}},
		{Kind: &record.Record_Assign{Assign: a}},
	} {
		c.offset++
		c.place.Apply(c.offset, rec)
	}
}

// interval is 300 ms of the controller's work: six steps and one heartbeat of each member.
func (c *cell) interval() {
	for range 6 {
		c.now = c.now.Add(50 * time.Millisecond)
		begin := time.Now()
		actions := c.core.Step(c.now, &c.place, c.now)
		c.steps += time.Since(begin)
		for _, a := range actions {
			c.perform(a)
		}
	}
	for _, req := range c.reqs {
		c.beat(req)
	}
}

func (c *cell) perform(a ctrl.Action) {
	switch {
	case a.Append != nil:
		c.offset++
		c.place.Apply(c.offset, a.Append.Record)
		c.core.Appended(a.Append.Tag, c.offset, false)
	case a.Fence != nil:
		for i, m := range c.members {
			if m.Name == a.Fence.Name {
				q := a.Fence.Request
				pair := [2]uint64{q.GetTerm(), uint64(q.GetEpoch())}
				c.reqs[i].Term, c.reqs[i].Epoch = pair[0], uint32(pair[1])
				c.core.Fenced(c.now, c.now, m.Name, pairOf(q), &peerpb.FenceReply{
					Instance: c.reqs[i].GetInstance(), Accepted: true, Term: pair[0], Epoch: uint32(pair[1]),
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
		c.grant, c.held, c.calls = c.grant+len(in), c.held+len(out), c.calls+1
		begin := time.Now()
		c.core.Answered(c.now, a.Grant.Server, a.Grant.ID, r, nil)
		c.steps += time.Since(begin)
	}
}

// beat sends the heartbeat of a member, as package member does.
func (c *cell) beat(req *peerpb.HeartbeatRequest) {
	c.request += proto.Size(req)
	begin := time.Now()
	rep := c.core.Heartbeat(c.now, req)
	c.beats += time.Since(begin)
	n := proto.Size(rep)
	c.reply += n
	req.Term, req.Epoch, req.Echo = rep.GetTerm(), rep.GetEpoch(), rep.GetNonce()
	if !rep.GetAccepted() || rep.GetView() == req.GetKnown() {
		return
	}
	c.full = max(c.full, n)
	req.Known, req.Servers = rep.GetView(), nil
	for _, l := range rep.GetLanes() {
		for _, s := range l.GetServers() {
			r := &peerpb.ServerReport{Name: s.GetName(), Load: 1.25}
			for k := range c.hot {
				r.Slots = append(r.Slots, &peerpb.SlotLoad{Slot: uint32(100 * k), Rate: 12.5})
			}
			req.Servers = append(req.Servers, r)
		}
	}
}

// settle runs until slots are served and nothing has been under way for a while.
func (c *cell) settle(b *testing.B) {
	last := uint64(0)
	for quiet := 0; quiet < 30; quiet++ {
		c.interval()
		s := c.core.Status
		if c.offset != last || s.State != ctrl.Serving || s.Moves+s.Unlogged > 0 || len(c.place.Slots("stock")) == 0 {
			last, quiet = c.offset, 0
		}
		if c.now.After(time.Unix(1_000_300, 0)) {
			b.Fatalf("not settled: %+v", s)
		}
	}
}

// BenchmarkController measures one interval of 300 ms of a controller in a quiet data centre, without the network:
// processor time as part of a core, and the bytes of heartbeats and grants.
func BenchmarkController(b *testing.B) {
	base := size{members: 86, servers: 20, slots: 4096, hot: 8, dcs: 1}

	var sizes []size
	for _, n := range []int{3, 12, 43, 86} {
		sizes = append(sizes, size{n, base.servers, base.slots, base.hot, false, 0})
	}
	for _, n := range []int{4, 16, 64, 128} {
		sizes = append(sizes, size{base.members, n, base.slots, base.hot, false, 0})
	}
	for _, n := range []int{1024, 4096, 16384, 65536} {
		sizes = append(sizes, size{base.members, base.servers, n, base.hot, false, 0})
	}
	for _, n := range []int{0, 2, 4, 8} {
		sizes = append(sizes, size{base.members, base.servers, base.slots, n, false, 0})
	}
	for _, n := range []int{1024, 4096, 16384, 65536} {
		sizes = append(sizes, size{base.members, base.servers, n, base.hot, true, 0})
	}
	sizes = append(sizes, size{base.members, 20, 65536, base.hot, false, dcs}, size{base.members, 128, 65536, base.hot, false, dcs})
	for _, s := range sizes {
		name := fmt.Sprintf("members=%d/servers=%d/slots=%d/hot=%d", s.members, s.servers, s.slots, s.hot)
		if s.dcs > 1 {
			name = "target/" + name
		}
		if s.scattered {
			name = "scattered/" + name
		}
		b.Run(name, func(b *testing.B) {
			before := heap()
			c := newCell(s)
			c.settle(b)
			grown, full := heap()-before, c.full
			c.steps, c.beats, c.request, c.reply, c.grant, c.held, c.calls = 0, 0, 0, 0, 0, 0, 0
			for b.Loop() {
				c.interval()
			}
			n := float64(b.N)
			b.ReportMetric(float64(grown)/1e6, "MB")
			b.ReportMetric(float64(c.steps)/n/3e6, "%core-steps")
			b.ReportMetric(float64(c.beats)/n/3e6, "%core-beats")
			b.ReportMetric(float64(c.request)/n/float64(s.members), "B/request")
			b.ReportMetric(float64(c.reply)/n/float64(s.members), "B/reply")
			b.ReportMetric(float64(full), "B/full-reply")
			b.ReportMetric(float64(c.grant+c.held)/n/0.3/1e3, "grant-kB/s")
			runtime.KeepAlive(c)
		})
	}
}
