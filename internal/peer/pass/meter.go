package pass

import (
	"time"

	"github.com/bramleycove/bramleycove/internal/flow/link"
	"github.com/bramleycove/bramleycove/internal/flow/work"
)

// ReasonLink means that the link between regions has too little left for the rank of the request.
const ReasonLink = "link-full"

// overhead is about what the headers of a hop take, in bytes.
const overhead = 700

// SetLink limits what this instance sends to other regions. The Passer serialises all calls of l. Without it the
// traffic is not limited. It must be called before the first request.
func (p *Passer) SetLink(l *link.Link) { p.link = l }

// SetRate changes the rate of the link, in bytes per second and direction.
func (p *Passer) SetRate(rate int64) {
	p.metering.Lock()
	defer p.metering.Unlock()
	if p.link != nil {
		p.link.SetRate(rate)
	}
}

// Used returns the traffic to other regions by rank, in the order of the tables' ranks.
func (p *Passer) Used() []link.Bytes {
	p.metering.Lock()
	defer p.metering.Unlock()
	if p.link == nil {
		return nil
	}
	return p.link.Used()
}

// meter asks to send req to a data centre of another region. received must be called with the answer's size.
func (p *Passer) meter(req *work.Request, dc string) (received func(n int), err error) {
	if p.link == nil || !p.view.IsMetered(dc) {
		return func(int) {}, nil
	}
	t := p.view.Tables()
	_, rank := t.Rank(req.Rank)
	if rank < 0 {
		rank = len(t.Ranks)
	}
	p.metering.Lock()
	defer p.metering.Unlock()
	if wait, ok := p.link.Take(time.Now(), rank, len(t.Ranks), size(req.Headers, req.Body)+len(req.URI)); !ok {
		return nil, work.Refuse(ReasonLink, wait)
	}
	return func(n int) {
		p.metering.Lock()
		defer p.metering.Unlock()
		p.link.Received(time.Now(), rank, n)
	}, nil
}

func size(headers []work.Header, body []byte) int {
	n := overhead + len(body)
	for _, h := range headers {
		n += len(h.Name) + len(h.Value) + 4
	}
	return n
}
