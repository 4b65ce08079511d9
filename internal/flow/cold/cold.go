// Package cold decides until when a server that has just started, or whose data centre has returned from an evacuation, is cold,
// and how many requests it takes until then. It reads no clock.
package cold

import (
	"time"

	"github.com/bramleycove/bramleycove/internal/oper/tables"
	"github.com/bramleycove/bramleycove/internal/place/topo"
)

// Until returns when s stops being cold. It is not after now for a server that is warm, or whose pool sets no limit for cold ones.
func Until(w *topo.Snapshot, p *tables.Pool, s *topo.Server) time.Time {
	if p == nil || p.ColdRate <= 0 {
		return time.Time{}
	}
	until := s.WarmAt
	// Servers may have become cold shortly before an evacuation, without saying so, and are cold after it.
	if at, evacuated := w.Evacuations.Since(s.DC); evacuated && at.Add(p.ColdStart).After(until) {
		until = at.Add(p.ColdStart)
	}
	if at := w.Evacuations.ReturnedAt(s.DC); !at.IsZero() && at.Add(p.ColdStart).After(until) {
		until = at.Add(p.ColdStart)
	}
	return until
}

// Rate returns the number of requests per second that s takes at now from all instances together. limited is false for a server
// that is warm.
func Rate(now time.Time, w *topo.Snapshot, s *topo.Server) (rate float64, limited bool) {
	if w.Tables == nil {
		return 0, false
	}
	p := w.Tables.Pool(s.Pool)
	if !now.Before(Until(w, p, s)) {
		return 0, false
	}
	return p.ColdRate, true
}
