package customer

import (
	"cmp"
	"slices"

	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/process/clock"
)

const (
	// shareTTL is how long the last shares of an unresponsive entry still count.
	// Shares are sent every second, so two consecutive messages may be lost.
	shareTTL = 3 * clock.Second
	// maxMinShare bounds the smallest share of a customer's limits that an entry
	// applies. That share keeps an entry that the customer has not used yet from
	// refusing the customer's first request.
	maxMinShare = 0.1
)

// peer holds the shares last received from another entry.
type peer struct {
	receivedAt clock.Millis
	shares     map[string]frame.Share
}

// peers maps the names of other entries to their shares.
type peers map[string]*peer

func (p peers) update(now clock.Millis, e Shares) {
	byCustomer := make(map[string]frame.Share, len(e.shares))
	for _, s := range e.shares {
		byCustomer[s.Customer()] = s
	}
	p[e.entry] = &peer{now, byCustomer}
}

// expire removes entries whose shares are older than shareTTL.
func (p peers) expire(now clock.Millis) {
	for name, other := range p {
		if now-other.receivedAt > shareTTL {
			delete(p, name)
		}
	}
}

// peerUsage returns the sums over the other entries of a customer's request rate
// per second and of its requests in flight.
func (p peers) peerUsage(customer string) (rate float64, inFlight int) {
	for _, other := range p {
		s, ok := other.shares[customer]
		if !ok {
			continue
		}
		rate += float64(s.MilliRequestsPerSecond()) / 1000
		inFlight += s.InFlight()
	}
	return rate, inFlight
}

// Shares returns the usage that this entry measured for each active customer,
// sorted by customer name, to be sent to the other entries. Rates are in
// thousandths of a request per second.
func (q *Queue) Shares(now clock.Millis) []frame.Share {
	shares := make([]frame.Share, 0, len(q.customers))
	for name, c := range q.customers {
		c.rate.decay(now)
		perMille := int64(c.rate.eventsPerSecond * 1000)
		if perMille == 0 && c.inFlight == 0 {
			continue
		}
		shares = append(shares, frame.NewShare(name, perMille, c.inFlight))
	}
	slices.SortFunc(shares, func(a, b frame.Share) int { return cmp.Compare(a.Customer(), b.Customer()) })
	return shares
}

// localShare returns the fraction of a customer's limits that this entry applies:
// its fraction of the customer's total request rate, but at least minShare.
func (q *Queue) localShare(now clock.Millis, c *account) float64 {
	c.rate.decay(now)
	peerUsage, _ := q.peers.peerUsage(c.limits.name)
	if peerUsage <= 0 {
		return 1
	}
	return max(c.rate.eventsPerSecond/(c.rate.eventsPerSecond+peerUsage), q.minShare())
}

// minShare returns the smallest share of a customer's limits that this entry applies. It is
// not more than an equal one, so that the shares of many entries do not exceed the limits.
func (q *Queue) minShare() float64 {
	entries := len(q.peers) + 1
	return min(maxMinShare, 1/float64(entries))
}
