package conns

import (
	"net/netip"
	"sync"
	"time"
)

// unusedTime is how long the pool of an unused address is kept.
const unusedTime = time.Minute

// Pools are pools of connections by address, which are closed when they are unused for a minute. They are safe for concurrent use.
type Pools struct {
	options Options
	limit   int

	mu          sync.Mutex
	byAddr      map[netip.AddrPort]*usedPool
	lastCleanup time.Time
}

type usedPool struct {
	*Pool
	lastUsed time.Time
}

// NewPools returns pools of at most limit connections to each address; limit 0 means no limit.
func NewPools(limit int, o Options) *Pools {
	return &Pools{options: o, limit: limit, byAddr: make(map[netip.AddrPort]*usedPool)}
}

// At returns the pool of addr.
func (p *Pools) At(now time.Time, addr netip.AddrPort) *Pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.lastCleanup) >= unusedTime {
		p.lastCleanup = now
		for a, old := range p.byAddr {
			if now.Sub(old.lastUsed) >= unusedTime {
				old.Close()
				delete(p.byAddr, a)
			}
		}
	}
	q := p.byAddr[addr]
	if q == nil {
		q = &usedPool{Pool: NewWith(addr, p.limit, p.options)}
		p.byAddr[addr] = q
	}
	q.lastUsed = now
	return q.Pool
}

// Close closes idle connections now and the others when their request ends.
func (p *Pools) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, q := range p.byAddr {
		q.Close()
	}
	clear(p.byAddr)
}
