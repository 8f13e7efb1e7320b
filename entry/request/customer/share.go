package customer

import (
	"cmp"
	"slices"

	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/process/clock"
)

const (
	// shareTTL is the time after which the shares of a silent entry no longer
	// count; it covers two lost messages.
	shareTTL = 3 * clock.Second
	// minShare keeps a small part of each limit at an entry that a customer
	// has not used yet, so that its first request there is not refused.
	minShare = 0.1
)

// peer is what another entry last measured.
type peer struct {
	receivedAt clock.Millis
	shares     map[string]frame.Share
}

// peers are the other entries by name.
type peers map[string]*peer

func (p peers) update(now clock.Millis, e Shares) {
	byCustomer := make(map[string]frame.Share, len(e.shares))
	for _, s := range e.shares {
		byCustomer[s.Customer()] = s
	}
	p[e.entry] = &peer{now, byCustomer}
}

// expire forgets entries that have not reported for shareLife.
func (p peers) expire(now clock.Millis) {
	for name, other := range p {
		if now-other.receivedAt > shareTTL {
			delete(p, name)
		}
	}
}

// peerUsage sums the rate per second and the held requests of a customer at the
// other entries.
func (p peers) peerUsage(customer string) (rate float64, inFlight int) {
	for _, other := range p {
		s, ok := other.shares[customer]
		if !ok {
			continue
		}
		rate += float64(s.PerMille()) / 1000
		inFlight += s.Held()
	}
	return rate, inFlight
}

// Shares returns what this entry measured, for the other entries, in order of
// name. PerMille is thousandths of a request per second.
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

// localShare returns this entry's part of a customer's limits.
func (q *Queue) localShare(now clock.Millis, c *account) float64 {
	c.rate.decay(now)
	peerUsage, _ := q.peers.peerUsage(c.limits.name)
	if peerUsage <= 0 {
		return 1
	}
	return max(c.rate.eventsPerSecond/(c.rate.eventsPerSecond+peerUsage), minShare)
}
