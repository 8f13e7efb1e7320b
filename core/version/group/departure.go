package group

import (
	"cmp"
	"slices"

	"goldcrestshore/core/process/clock"
)

const (
	// departureTTL is how long others are told of a departure. A lost message is replaced by
	// the next one, and a doubled or late one tells nothing new.
	departureTTL = 10 * clock.Second
	// MaxDepartures bounds the departures in a message, so that it fits in a datagram.
	MaxDepartures = 16
	// maxRecentDepartures bounds the departures that are kept: anybody can send a datagram. All
	// upstreams of a deployment are far fewer.
	maxRecentDepartures = 4096
)

// RecentDepartures holds the departures of which others are told. The zero value is ready to use.
type RecentDepartures struct {
	addedAt map[Departure]clock.Millis
}

// Add adds a departure, unless others are told of it already, or of as many as are kept.
func (r *RecentDepartures) Add(now clock.Millis, d Departure) {
	if r.addedAt == nil {
		r.addedAt = make(map[Departure]clock.Millis)
	}
	if _, found := r.addedAt[d]; !found && len(r.addedAt) < maxRecentDepartures {
		r.addedAt[d] = now
	}
}

// List returns the departures of which others are told now, the latest ones first.
func (r *RecentDepartures) List(now clock.Millis) []Departure {
	var out []Departure
	for d, at := range r.addedAt {
		if now-at > departureTTL {
			delete(r.addedAt, d)
			continue
		}
		out = append(out, d)
	}
	slices.SortFunc(out, func(a, b Departure) int {
		return cmp.Or(cmp.Compare(r.addedAt[b], r.addedAt[a]), cmp.Compare(a.Upstream, b.Upstream))
	})
	return out[:min(len(out), MaxDepartures)]
}
