package sender

import "time"

// stopTimes are the times of a planned stop.
type stopTimes struct {
	lastSend time.Time // requests sent until then have had their share of the grace
	end      time.Time // requests in progress are cut off then
}

// BeginStop makes the sender refuse requests after lastSend that might still be in progress at end, when the process ends.
func (c *Sender) BeginStop(lastSend, end time.Time) { c.stop.Store(&stopTimes{lastSend, end}) }

// mayBeCut reports whether a request that is sent now may be cut off by the end of the process.
func (c *Sender) mayBeCut(now, deadline time.Time) bool {
	s := c.stop.Load()
	return s != nil && now.After(s.lastSend) && deadline.After(s.end)
}
