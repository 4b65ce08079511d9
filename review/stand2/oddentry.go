package main

import (
	"errors"
	"sort"
	"time"
)

// maxShared is how long two servers may hold the same keys.
const maxShared = 500 * time.Millisecond

// oddEntry shows that the keys of a server are given to others while it holds them, once an entry of another writer names its address
// and it closes a connection with an answer, as servers do occasionally.
func oddEntry(c *trial) (broken bool, err error) {
	if err := c.addServers("keyed-stock", 4); err != nil {
		return false, err
	}
	if err := c.publish(1, route{"read", "/read/", "idempotent", "keyed-stock"}); err != nil {
		return false, err
	}
	if err := c.start(); err != nil {
		return false, err
	}
	load := c.startClients(6, "/read/x")
	time.Sleep(6 * time.Second)
	victim := c.servers[0]
	if c.trouble {
		// The service is named in no configuration.
		text := entry("legacy", victim.addr, victim.zone, 1, time.Now().UnixMilli())
		c.store.put("keyed.servers", "odd-1", text)
		c.note("entry of another writer: servers/odd-1 %s", text)
	}
	time.Sleep(3 * time.Second)
	c.note("%s closes the connection of a grant with its answer", victim.id)
	victim.closeNextGrant()
	time.Sleep(6 * time.Second)
	calls := load.stop()
	return c.sharedKeys(calls)
}

// sharedKeys writes what was sent, answered, run and held to the record, and reports whether two servers held the same keys for
// longer than maxShared.
func (c *trial) sharedKeys(calls []*call) (broken bool, err error) {
	served := 0
	for _, x := range calls {
		c.note("sent %s at %s to %s, key %d: %d %s at %s", x.id, c.at(x.sent), x.daemon, x.key, x.status, x.body, c.at(x.done))
		if x.status == 200 {
			served++
		}
	}
	c.noteRuns()
	c.journal.mu.Lock()
	defer c.journal.mu.Unlock()
	now := time.Now()
	var held []*hold
	for _, h := range c.journal.holds {
		if h.until.After(now) {
			h.until = now
		}
		held = append(held, h)
	}
	sort.Slice(held, func(i, j int) bool { return held[i].from.Before(held[j].from) })
	for _, s := range c.servers {
		for _, other := range c.servers {
			if s.id < other.id {
				broken = c.shared(held, s.id, other.id) || broken
			}
		}
	}
	c.note("%d of %d requests were served", served, len(calls))
	if 2*served < len(calls) {
		return false, errors.New("less than half of the requests were served")
	}
	return broken, nil
}

// shared reports whether two servers held some key for longer than maxShared without a break.
func (c *trial) shared(held []*hold, a, b string) (broken bool) {
	longest, since := time.Duration(0), time.Time{}
	key := 0
	for k := 0; k < 65536; k += 64 {
		both := intersect(periods(held, a, k), periods(held, b, k))
		for _, p := range both {
			if d := p[1].Sub(p[0]); d > longest {
				longest, since, key = d, p[0], k
			}
		}
	}
	if longest > 0 {
		c.note("%s and %s both held key %d for %.3f s from %s", a, b, key, longest.Seconds(), c.at(since))
	}
	return longest > maxShared
}

// periods returns when a server held a key, joined where one hold follows another.
func periods(held []*hold, server string, key int) (out [][2]time.Time) {
	for _, h := range held {
		if h.server != server || key < h.first || key > h.last || !h.from.Before(h.until) {
			continue
		}
		if n := len(out); n > 0 && !h.from.After(out[n-1][1]) {
			if h.until.After(out[n-1][1]) {
				out[n-1][1] = h.until
			}
			continue
		}
		out = append(out, [2]time.Time{h.from, h.until})
	}
	return out
}

func intersect(a, b [][2]time.Time) (out [][2]time.Time) {
	for _, x := range a {
		for _, y := range b {
			from, until := x[0], x[1]
			if y[0].After(from) {
				from = y[0]
			}
			if y[1].Before(until) {
				until = y[1]
			}
			if from.Before(until) {
				out = append(out, [2]time.Time{from, until})
			}
		}
	}
	return out
}
