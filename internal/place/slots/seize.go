package slots

import (
	"slices"
	"time"

	"github.com/bramleycove/bramleycove/internal/oper/tables"
	"github.com/bramleycove/bramleycove/internal/place/fold"
	"github.com/bramleycove/bramleycove/internal/place/homes"
	"github.com/bramleycove/bramleycove/internal/place/lease"
	"github.com/bramleycove/bramleycove/internal/wire/record"
)

// seizeWait returns how long slots seized from another data centre stay unserved. A later controller does not know which
// one that was, so the longest declared yield time counts. Servers that don't check tokens may still run earlier requests.
func (c *Pass) seizeWait(v *poolView) time.Duration {
	var yield time.Duration
	for _, dc := range c.Placement.DCs() {
		yield = max(yield, c.Placement.YieldAfter(v.poolName, dc))
	}
	if slices.ContainsFunc(v.cfg.Servers, func(s tables.Server) bool { return !s.Checks }) {
		yield += v.longestTimeout
	}
	return lease.AddDriftMargin(yield + lease.ConfirmationValidity + lease.Validity)
}

// mustStop reports whether the pool must stop because the last contact with the log is older than its yield time.
func (c *Pass) mustStop(v *poolView) bool {
	yield := c.Placement.YieldAfter(v.poolName, c.DC)
	stop := yield > 0 && c.Now.Sub(c.LogContact) > yield
	if stop != v.stopped {
		c.Event("cutoff", "pool", v.poolName, "stopped", stop, "contact", c.Now.Sub(c.LogContact))
	}
	return stop
}

// seize takes the slots of another data centre that is declared lost, or that is unreachable and declared a yield time.
func (c *Pass) seize(t *tables.Pool, p *Pool) {
	for _, dc := range homeDCs(c.Placement.Slots(t.Name)) {
		lost := slices.Contains(c.LostDCs, dc)
		cut := c.Placement.YieldAfter(t.Name, dc) > 0 && !c.reachable(dc)
		if dc == c.DC || (!lost && !cut) || c.chooseSeizer(t, dc) != c.DC {
			continue
		}
		c.Event("seize", "pool", t.Name, "from", dc, "lost", lost)
		p.pendingAppend = c.Log.Append(c.Now, &record.Record{Kind: &record.Record_Seize{Seize: &record.Seize{
			Dc: c.DC, From: dc, Pool: t.Name, Term: c.Cell.Term, Base: c.Placement.Version(t.Name, dc), Lost: lost,
		}}})
		return
	}
}

// chooseSeizer returns the data centre that seizes the slots of from: the first in rendezvous order that is reachable.
func (c *Pass) chooseSeizer(t *tables.Pool, from string) string {
	var names []string
	for _, w := range homes.Weights(t, append([]string{from}, c.LostDCs...)) {
		names = append(names, w.DC)
	}
	for _, dc := range homes.Rank(t.Name+"\x00"+from, names) {
		if dc == c.DC || c.reachable(dc) {
			return dc
		}
	}
	return ""
}

func homeDCs(slots []fold.Slot) []string {
	var out []string
	for _, s := range slots {
		if s.DC != "" && !slices.Contains(out, s.DC) {
			out = append(out, s.DC)
		}
	}
	slices.Sort(out)
	return out
}
