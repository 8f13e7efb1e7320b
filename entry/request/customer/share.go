package customer

import (
	"cmp"
	"slices"

	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/process/clock"
)

const (
	// shareLife is the time after which the shares of a silent entry no longer
	// count; it covers two lost messages.
	shareLife = 3 * clock.Second
	// leastShare keeps a small part of each limit at an entry that a customer
	// has not used yet, so that its first request there is not refused.
	leastShare = 0.1
)

// peer is what another entry last measured.
type peer struct {
	at     clock.Millis
	shares map[string]frame.Share
}

// peers are the other entries by name.
type peers map[string]*peer

func (p peers) update(now clock.Millis, e Shares) {
	by := make(map[string]frame.Share, len(e.shares))
	for _, s := range e.shares {
		by[s.Customer()] = s
	}
	p[e.entry] = &peer{now, by}
}

// expire forgets entries that have not reported for shareLife.
func (p peers) expire(now clock.Millis) {
	for name, other := range p {
		if now-other.at > shareLife {
			delete(p, name)
		}
	}
}

// others sums the rate per second and the held requests of a customer at the
// other entries.
func (p peers) others(customer string) (rate float64, held int) {
	for _, other := range p {
		s, ok := other.shares[customer]
		if !ok {
			continue
		}
		rate += float64(s.PerMille()) / 1000
		held += s.Held()
	}
	return rate, held
}

// Shares returns what this entry measured, for the other entries, in order of
// name. PerMille is thousandths of a request per second.
func (q *Queue) Shares(now clock.Millis) []frame.Share {
	shares := make([]frame.Share, 0, len(q.customers))
	for name, c := range q.customers {
		c.rate.decay(now)
		perMille := int64(c.rate.perSecond * 1000)
		if perMille == 0 && c.held == 0 {
			continue
		}
		shares = append(shares, frame.NewShare(name, perMille, c.held))
	}
	slices.SortFunc(shares, func(a, b frame.Share) int { return cmp.Compare(a.Customer(), b.Customer()) })
	return shares
}

// localShare returns this entry's part of a customer's limits.
func (q *Queue) localShare(now clock.Millis, c *account) float64 {
	c.rate.decay(now)
	others, _ := q.peers.others(c.limits.name)
	if others <= 0 {
		return 1
	}
	return max(c.rate.perSecond/(c.rate.perSecond+others), leastShare)
}
