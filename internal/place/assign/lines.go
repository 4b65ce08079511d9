package assign

import (
	"time"

	"github.com/bramleycove/bramleycove/internal/place/spans"
)

// probeInterval is the time between two attempts to open the connection to a server that refused it and gets no keys.
const probeInterval = time.Second

// maxSpareLines bounds memory: at so many connections beyond those that are needed now, all are forgotten and opened again as first
// grants need them. A bound that the needed ones alone exceed would forget them in each round, so that no grant was ever sent.
const maxSpareLines = 1000

// openLine is the connection for grants to one server.
type openLine struct {
	session  Session   // 0 if it is not known to be open
	openedBy time.Time // it was open at that time
	check    bool      // it may have been closed
	inFlight bool      // an order to open it was sent
	failed   bool      // it could not be opened
	retryAt  time.Time
}

// lines tracks the connections on which first grants may be sent: those that were open when the last accepted record of this leader
// began. A successor claims the lead after that record, so that everything it granted at the address went to the process at the other
// end, which refuses lower fences. On a later connection, a process that started since the successor's grants could accept one.
type lines struct {
	open        map[spans.Owner]*openLine
	recordBegun time.Time // the newest attempt to record the owners
	soleAt      time.Time // the newest attempt that succeeded: no other instance had claimed the lead before
}

// usable returns the connection on which first grants to o may be sent now, 0 if there is none.
func (l *lines) usable(o spans.Owner) Session {
	if x := l.open[o]; x != nil && !x.check && x.openedBy.Before(l.soleAt) {
		return x.session
	}
	return 0
}

// reopen notes that an order to o failed, which may have closed its connection.
func (l *lines) reopen(o spans.Owner) {
	if x := l.open[o]; x != nil {
		x.check = true
	}
}

// dueOpens returns the orders to open connections that first grants need now, or will need once owners have released their keys. If a
// connection was opened after the last record began, the owners are recorded again.
func (k *Assigner) dueOpens(now time.Time) (out []Order) {
	l := &k.lines
	if l.open == nil || len(l.open) > 2*len(k.ranges)+len(k.servers)+maxSpareLines {
		l.open = make(map[spans.Owner]*openLine)
	}
	need := func(o spans.Owner, first bool) {
		x := l.open[o]
		if x == nil {
			x = new(openLine)
			l.open[o] = x
		}
		switch {
		case x.inFlight:
		case x.session == 0 || x.check:
			if !now.Before(x.retryAt) && len(out) < maxNonRenewals {
				x.inFlight = true
				out = append(out, Order{Kind: Open, Span: spans.Span{Owner: o}})
			}
		case first && !x.openedBy.Before(l.recordBegun):
			k.dirty = true
		}
	}
	for _, p := range k.ranges {
		if p.target.Server != "" {
			need(p.target, false)
		}
		if p.fenceUnused && !p.inFlight && (p.state == owned || p.state == announced) {
			need(p.Owner, true)
		}
	}
	for _, s := range k.servers {
		if x := l.open[s.Owner]; x != nil && x.failed && now.Sub(x.retryAt) >= probeInterval {
			need(s.Owner, false)
		}
	}
	return out
}

func (k *Assigner) finishOpen(now time.Time, o Order, res Result) {
	x := k.lines.open[o.Owner]
	if x == nil {
		return
	}
	x.inFlight, x.check, x.failed = false, false, res != Accepted
	if res == Accepted {
		if x.session != o.Session {
			x.session, x.openedBy = o.Session, now
		}
		return
	}
	x.session, x.retryAt = 0, now.Add(retryDelay)
	for _, p := range k.ranges {
		if p.Owner == o.Owner && p.fenceUnused && (p.state == owned || p.state == announced) {
			p.lastFailed = true
		}
	}
}
