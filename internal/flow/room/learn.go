package room

import (
	"math"
	"time"
)

// counter counts events, with a weight that falls by the factor e in each period. The zero value has counted none.
type counter struct {
	count   float64
	at      time.Time // of count
	firstAt time.Time
}

func (c *counter) add(now time.Time, n float64, period time.Duration) {
	if c.firstAt.IsZero() {
		c.firstAt = now
	}
	c.count, c.at = max(0, c.value(now, period)+n), now
}

// value returns the decayed count.
func (c *counter) value(now time.Time, period time.Duration) float64 {
	if c.count == 0 {
		return 0
	}
	return c.count * math.Exp(-max(0, now.Sub(c.at)).Seconds()/period.Seconds())
}

// perSecond returns the recent rate of events. A counter that has just begun covers the time since its first event.
func (c *counter) perSecond(now time.Time, period time.Duration) float64 {
	n := c.value(now, period)
	if n == 0 {
		return 0
	}
	covered := period.Seconds() * (1 - math.Exp(-now.Sub(c.firstAt).Seconds()/period.Seconds()))
	return n / max(covered, period.Seconds()/4)
}

// quietEvents is the number of events that are expected in the time since the last one, if the rate is too high to be believed.
const quietEvents = 3

// currentRate is perSecond, lowered when the last event is long ago: servers that become slow answer nothing for a while.
func (c *counter) currentRate(now time.Time, period time.Duration) float64 {
	return min(c.perSecond(now, period), quietEvents/max(1e-3, now.Sub(c.at).Seconds()))
}

// route is what is known of the requests of a route.
type route struct {
	samples   float64
	mean, dev float64       // of the time from send to answer, in seconds
	usualLeft time.Duration // time that a caller leaves for a request that comes for the first time
}

const (
	// workWeight is the weight of a new answer time in the mean, which covers some ten answers: servers may become slower by a
	// factor of ten within a second.
	workWeight = 0.1
	// leftWeight lowers the usual time left when callers begin to leave less. A request with more time raises it at once.
	leftWeight = 0.005
	// returnMargin is the least by which a request that comes again has less time left than usual.
	returnMargin = 40 * time.Millisecond
)

// observeWork learns from an attempt. One that failed took at least its time.
func (r *route) observeWork(took time.Duration, ok bool) {
	sec := took.Seconds()
	if !ok && sec < r.mean {
		return
	}
	r.samples++
	w := max(workWeight, 1/r.samples)
	r.dev += w * (math.Abs(sec-r.mean) - r.dev)
	if r.samples == 1 {
		r.dev = sec / 2
	}
	r.mean += w * (sec - r.mean)
}

// observeLeft learns the time that callers leave.
func (r *route) observeLeft(left time.Duration) {
	if left > r.usualLeft {
		r.usualLeft = left
		return
	}
	r.usualLeft += time.Duration(leftWeight * float64(left-r.usualLeft))
}

// spent returns how long ago a caller has first sent a request that comes with the time left.
func (r *route) spent(left time.Duration) time.Duration { return max(0, r.usualLeft-left) }

// likely returns the time in which most answers come, least the time below which few do.
func (r *route) likely() time.Duration { return seconds(r.mean + r.dev/2) }

func (r *route) least() time.Duration { return seconds(max(r.mean-r.dev, r.mean/2)) }

func seconds(sec float64) time.Duration { return time.Duration(sec * float64(time.Second)) }

// class is what is known of the requests of a priority.
type class struct {
	// offered counts requests, those that come again not a second time; served those that were sent; awaited the refused whose
	// callers may come again.
	offered, served, awaited counter
	// held is the time in seconds that refused requests had spent here, mayHold the time that they might have.
	held, mayHold counter
	// joined and answered count the requests that began to wait and those answered, each first those that come for the first time,
	// then those that come again.
	joined, answered [2]counter
	// returns counts requests that come again and find no room.
	returns    counter
	nextReturn time.Time // when the next refused caller should come again
}

// returnFlow returns the rate at which requests that come again take room, or would take it.
func (c *class) returnFlow(now time.Time) float64 {
	return max(c.flow(now, 1), c.returns.perSecond(now, ratePeriod))
}

// flow returns the rate at which requests of the class take room.
func (c *class) flow(now time.Time, before int) float64 {
	return max(c.joined[before].perSecond(now, ratePeriod), c.answered[before].perSecond(now, ratePeriod))
}

const (
	// minShare is the least share of a priority's requests that is sent, as a part of the share of all requests. A quarter is
	// required; it is measured coarsely on instances that see few requests of a priority.
	minShare = 0.4
	// shareLead is the lead in the share sent that a priority should have over less urgent ones.
	shareLead = 0.02
	// minOffered is the number of requests below which the share of a priority says nothing.
	minOffered = 2
	// sharePeriod is the period over which the shares of the priorities served are compared.
	sharePeriod = 10 * time.Second
	// ratePeriod is the period of the rates at which servers answer. A shorter one has too few answers on an instance that
	// gets ten in a second.
	ratePeriod = time.Second
	// awaitedPeriod is how long refused callers are expected.
	awaitedPeriod = 3 * time.Second
)

// share returns the part of the requests that were sent, 1 if there were none.
func (c *class) share(now time.Time) float64 {
	offered := c.offered.value(now, sharePeriod)
	if offered == 0 {
		return 1
	}
	return min(1, c.served.value(now, sharePeriod)/offered)
}

// tolerance returns 1 if refused requests have waited as long as they might, more if less, and less if longer.
func (c *class) tolerance(now time.Time) float64 {
	mayHold, held := c.mayHold.value(now, sharePeriod)+heldAllowance.Seconds(), c.held.value(now, sharePeriod)
	if mayHold >= maxTolerance*held {
		return maxTolerance
	}
	return mayHold / held
}
