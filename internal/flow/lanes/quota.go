package lanes

import (
	"time"

	"github.com/bramleycove/bramleycove/internal/flow/quota"
)

// serverQuota keeps the requests to one server within the limit that the server names.
type serverQuota struct {
	named  quota.Book
	bucket *quota.Bucket
	share  *quota.Share // used instead by a fallback, beside which other instances send
}

// quotaKey is the only key in the book of a server.
const quotaKey = ""

// rate returns the limit, in requests per second, if the server has named one.
func (q *serverQuota) rate() (rate float64, limited bool) {
	l, limited := q.named.Limit(quotaKey)
	return l.Rate, limited
}

// observe takes an answer to a request that was sent at sent.
func (q *serverQuota) observe(now, sent time.Time, named quota.Named, ran bool) {
	q.named.Observe(now, sent, quotaKey, named, ran)
	l, limited := q.named.Limit(quotaKey)
	switch {
	case !limited:
		q.bucket, q.share = nil, nil
	case q.bucket == nil:
		q.bucket, q.share = quota.NewBucket(now, l.Rate), quota.NewShare(now, 0)
	}
}

// quotaWait returns how long no request may be sent to a server because of its limit.
func (ln *lane) quotaWait(now time.Time, b *backend) time.Duration {
	rate, limited := b.quota.rate()
	switch {
	case !limited:
		return 0
	case ln.fallback:
		return b.quota.share.Wait(now, rate, ln.dispatcher.cfg.Instances())
	default:
		return b.quota.bucket.Wait(now, rate)
	}
}

// takeQuota counts a request that is sent to a server. The queue has chosen it by its rank.
func (ln *lane) takeQuota(now time.Time, b *backend) {
	rate, limited := b.quota.rate()
	switch {
	case !limited:
	case ln.fallback:
		b.quota.share.Take(now, rate, ln.dispatcher.cfg.Instances())
	default:
		b.quota.bucket.Take(now, rate, 0)
	}
}

// totalRate returns how many requests per second the servers take, 0 if one of them has named no limit.
func (ln *lane) totalRate(now time.Time) (sum float64) {
	for _, b := range ln.servers {
		if b.isLeaving(now) {
			continue
		}
		rate, limited := b.quota.rate()
		if !limited {
			return 0
		}
		sum += max(rate, quota.MinRate)
	}
	return sum
}
