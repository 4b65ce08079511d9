package proxy

import (
	"time"

	"github.com/bramleycove/bramleycove/internal/flow/link"
	"github.com/bramleycove/bramleycove/internal/flow/work"
)

// ReasonLinkFull means that the link between regions has too little capacity left for the rank of the request.
const ReasonLinkFull = "link-full"

// hopHeaderBytes is the approximate size of the headers that a hop adds.
const hopHeaderBytes = 700

// SetLink limits the traffic to other regions by l, which only the Forwarder may then use. Without it, traffic is not
// limited. It must be called before the first request.
func (f *Forwarder) SetLink(l *link.Link) { f.link = l }

// SetLinkRate changes the rate of the link, in bytes per second in each direction.
func (f *Forwarder) SetLinkRate(rate int64) {
	f.linkMu.Lock()
	defer f.linkMu.Unlock()
	if f.link != nil {
		f.link.SetRate(rate)
	}
}

// LinkTraffic returns the traffic exchanged with other regions by rank, in the order of the tables' ranks.
func (f *Forwarder) LinkTraffic() []link.Traffic {
	f.linkMu.Lock()
	defer f.linkMu.Unlock()
	if f.link == nil {
		return nil
	}
	return f.link.TrafficByRank()
}

// takeLinkBudget takes the size of req from the link's budget if dc is in another region, or refuses req. Pass the size
// of the answer to addReceived.
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
