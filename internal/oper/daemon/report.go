package daemon

import (
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bramleycove/bramleycove/internal/edge/front"
	"github.com/bramleycove/bramleycove/internal/edge/route"
	"github.com/bramleycove/bramleycove/internal/flow/result"
	"github.com/bramleycove/bramleycove/internal/oper/opapi"
	"github.com/bramleycove/bramleycove/internal/oper/tables"
	"github.com/bramleycove/bramleycove/internal/place/ctrl"
	"github.com/bramleycove/bramleycove/internal/place/homes"
	"github.com/bramleycove/bramleycove/internal/place/plan"
)

// recordOutcome records the metrics of a finished request and logs it.
func (d *daemon) recordOutcome(o front.Outcome) {
	verdict := result.Ran
	if o.Err != nil {
		verdict = o.Err.Verdict
	}
	tenant, rank := "", ""
	if o.Request != nil {
		tenant, rank = o.Request.Tenant, o.Request.Rank
	}
	d.meter.Series(tenant, rank).RecordAnswer(o.Duration, verdict)
	log := d.log.For("edge")
	if o.Err == nil && !log.IsDebugEnabled() {
		return
	}
	id, route := "", ""
	if o.Request != nil {
		id, route = o.Request.ID, o.Request.Route
	}
	if o.Err != nil {
		log.Info("refused", "request", id, "route", route, "reason", o.Err.Reason, "verdict", verdict, "status", o.Status, "took", o.Duration)
		return
	}
	log.Debug("answered", "request", id, "route", route, "status", o.Status, "took", o.Duration)
}

func (d *daemon) status() opapi.Status {
	version, placementVersion := d.folds.Versions()
	s := d.driver.Status()
	out := opapi.Status{
		Instance: d.id, DC: d.cfg.DC, Region: d.cfg.Region, ConfigVersion: version, PlaceOffset: placementVersion,
		IsController: s.State == ctrl.Serving,
		Ready:        version != 0 && d.folds.HasState() && !d.leaving.Load(), Leaving: d.leaving.Load(),
		QuarantinedCount: d.crashes.quarantineCount(time.Now()),
	}
	highest := d.member.HighestPair()
	out.Term, out.Epoch = highest.Term, highest.Epoch
	for _, name := range d.dispatcher.Lanes() {
		out.Lanes = append(out.Lanes, opapi.Lane{Name: name})
	}
	return out
}

// explainRoute returns where a request would go. A non-empty key replaces the key of the path or query.
func (d *daemon) explainRoute(method, path, key string) opapi.Explanation {
	t := d.view.Tables()
	if t == nil {
		return opapi.Explanation{Reason: front.ReasonNoTables}
	}
	r := route.Find(t, method, path)
	if r == nil {
		return opapi.Explanation{Reason: route.ReasonNoRoute}
	}
	if key == "" {
		key = pathKey(t, method, path)
	}
	out := opapi.Explanation{Route: r.Name, Rank: r.Rank, Tenant: r.Tenant, Pool: r.Pool, Key: key}
	if r.Key != (tables.KeySource{}) && key == "" {
		out.Reason = route.ReasonNoKey
		return out
	}
	target, err := d.view.Locate(r.Pool, key)
	if err != nil {
		out.Reason = result.FromError(err).Reason
		return out
	}
	out.Slot, out.Home, out.Owner, out.Token, out.Lane = target.Slot, target.DC, target.Server, target.Token, target.Lane
	out.Dispatcher = target.Dispatcher.String()
	return out
}

// pathKey returns the key that a route takes from the path or query, "" if it takes it from elsewhere.
func pathKey(t *tables.Tables, method, path string) string {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(method)
	req.SetRequestURI(path)
	m, err := route.Extract(t, req, "", time.Time{})
	if m.Request == nil || result.FromError(err).Reason == route.ReasonNoKey {
		return ""
	}
	return m.Request.Key
}

// newBalancer returns the function by which the controller plans moves of slots. It keeps one planner for each pool.
func newBalancer() func(string, time.Time, []homes.Server, []homes.Slot) []homes.Move {
	var mu sync.Mutex
	planners := make(map[string]*plan.Planner)
	return func(pool string, now time.Time, servers []homes.Server, slots []homes.Slot) []homes.Move {
		mu.Lock()
		defer mu.Unlock()
		p := planners[pool]
		if p == nil {
			p = new(plan.Planner)
			planners[pool] = p
		}
		planServers := make([]plan.Server, len(servers))
		for i, s := range servers {
			planServers[i] = plan.Server(s)
		}
		planSlots := make([]plan.Slot, len(slots))
		for i, s := range slots {
			planSlots[i] = plan.Slot(s)
		}
		var moves []homes.Move
		for _, m := range p.Decide(now, planServers, planSlots) {
			moves = append(moves, homes.Move(m))
		}
		return moves
	}
}
