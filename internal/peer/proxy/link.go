package proxy

import (
	"time"

	"github.com/bramleycove/bramleycove/internal/flow/link"
	"github.com/bramleycove/bramleycove/internal/flow/work"
)

// ReasonLinkFull means that the link between regions has too little left for the rank of the request.
const ReasonLinkFull = "link-full"

// hopHeaderBytes is about what the headers of a hop take, in bytes.
const hopHeaderBytes = 700

// SetLink limits what this instance sends to other regions. The Passer serialises all calls of l. Without it the
// traffic is not limited. It must be called before the first request.
func (f *Forwarder) SetLink(l *link.Link) { f.link = l }

// SetLinkRate changes the rate of the link, in bytes per second and direction.
func (f *Forwarder) SetLinkRate(rate int64) {
	f.linkMu.Lock()
	defer f.linkMu.Unlock()
	if f.link != nil {
		f.link.SetRate(rate)
	}
}

// LinkTraffic returns the traffic to other regions by rank, in the order of the tables' ranks.
func (f *Forwarder) LinkTraffic() []link.Traffic {
	f.linkMu.Lock()
	defer f.linkMu.Unlock()
	if f.link == nil {
		return nil
	}
	return f.link.TrafficByRank()
}

// takeLinkBudget asks to send req to a data centre of another region. received must be called with the answer's size.
func (f *Forwarder) takeLinkBudget(req *work.Request, dc string) (addReceived func(n int), err error) {
	if f.link == nil || !f.view.IsMetered(dc) {
		return func(int) {}, nil
	}
	t := f.view.Tables()
	_, rank := t.Rank(req.Rank)
	if rank < 0 {
		rank = len(t.Ranks)
	}
	f.linkMu.Lock()
	defer f.linkMu.Unlock()
	if wait, ok := f.link.Take(time.Now(), rank, len(t.Ranks), messageBytes(req.Headers, req.Body)+len(req.URI)); !ok {
		return nil, work.NewRefusal(ReasonLinkFull, wait)
	}
	return func(n int) {
		f.linkMu.Lock()
		defer f.linkMu.Unlock()
		f.link.AddReceived(time.Now(), rank, n)
	}, nil
}

func messageBytes(headers []work.Header, body []byte) int {
	n := hopHeaderBytes + len(body)
	for _, h := range headers {
		n += len(h.Name) + len(h.Value) + 4
	}
	return n
}
