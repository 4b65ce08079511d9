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

// seizeWait is how long slots taken from another data centre stay unserved. The data centre they came from is not
// known to a later controller, so the longest declared time counts. Servers that don't check tokens may still run what
// was sent to them before.
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

// mustStop reports whether the pool must stop because the log was last reached longer ago than it declared.
func (c *Pass) mustStop(v *poolView) bool {
	yield := c.Placement.YieldAfter(v.poolName, c.DC)
	stop := yield > 0 && c.Now.Sub(c.LogContact) > yield
	if stop != v.stopped {
		c.Event("cutoff", "pool", v.poolName, "stopped", stop, "contact", c.Now.Sub(c.LogContact))
	}
	return stop
}

// seize takes the slots of another data centre that has given them up by declaration or is declared lost.
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

// chooseSeizer chooses the data centre that seizes the slots of from, the first by rendezvous that is reachable from here.
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

// homeDCs returns the data centres that have slots, sorted.
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
