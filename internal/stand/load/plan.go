package load

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

func phase(cfg *Settings, at time.Duration) int { return min(int(phases*at/cfg.Duration), phases-1) }

// plan draws the requests of one kind from the seed.
type plan struct {
	cfg         *Settings
	kind        *Kind
	stream      uint64
	run         int64 // start of the run
	random      *rand.Rand
	zipf        *rand.Zipf
	at          time.Duration
	base, flood float64 // arrivals a second without and during a flood
}

const (
	phases   = 3   // of a run, of equal length
	during   = 1   // phase in which a flood lasts
	skew     = 1.1 // of the Zipf distribution: with 100,000 keys the 51 hottest get about half of the requests
	hottest  = 51  // keys that change places together
	bodySize = 200 // of an order, in bytes
)

func newPlan(cfg *Settings, k *Kind, stream int, run time.Time) *plan {
	p := &plan{cfg: cfg, kind: k, stream: uint64(stream), run: run.UnixNano(), random: rand.New(rand.NewPCG(cfg.Seed, uint64(stream)))}
	perSecond := k.Capacity * cfg.Scale / cfg.Service.Seconds()
	p.base, p.flood = k.Load*perSecond, k.Load*perSecond
	if k.Flood == cfg.Scenario {
		p.flood = cfg.Factor * perSecond
	}
	if k.Keys > 0 {
		p.zipf = rand.NewZipf(p.random, skew, 1, k.Keys-1)
	}
	return p
}

// next returns the time of the next arrival. Times are drawn at the highest rate of the run, and kept with the
// probability that gives the rate of the moment.
func (p *plan) next() time.Duration {
	for highest := max(p.base, p.flood); ; {
		p.at += time.Duration(p.random.ExpFloat64() / highest * float64(time.Second))
		rate := p.base
		if phase(p.cfg, p.at) == during {
			rate = p.flood
		}
		if p.at >= p.cfg.Duration || p.random.Float64()*highest < rate {
			return p.at
		}
	}
}

// request is what one caller wants.
type request struct {
	kind                 *Kind
	cell                 *cell
	at                   time.Duration // planned arrival
	path, identity, body string
	random               *rand.Rand // of the caller, for the choice of instances and pauses
}

func (p *plan) request(at time.Duration, n uint64) *request {
	// Runs on one system must not repeat each other's identities, whatever the seed.
	k, id := p.kind, fmt.Sprintf("%s-%x-%d", p.kind.Name, p.run, n)
	q := &request{kind: k, at: at, path: k.Path, random: rand.New(rand.NewPCG(p.cfg.Seed, p.stream<<32|n))}
	if p.zipf != nil {
		// Keys are shifted over the key space, so that other keys are hot from time to time.
		q.path += fmt.Sprint((p.zipf.Uint64() + hottest*uint64(at/p.cfg.Shift)) % k.Keys)
	}
	if k.Method != "GET" {
		q.identity, q.body = id, id+strings.Repeat(".", bodySize)
	}
	return q
}
