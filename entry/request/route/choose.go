package route

import (
	"slices"

	"goldcrestshore/core/process/clock"
)

const (
	// farPenalty is added to the prediction for another data centre. It exceeds
	// the round trip of 1 to 2 ms so that equal upstreams are chosen nearby, and
	// stays small against a first-token time so that load still decides.
	farPenalty = 10.0
	// batchPenalty is what a full batch adds to the first token in ms.
	batchPenalty = 60.0
)

// Request is what the choice depends on.
type Request struct {
	service      string
	promptTokens int
	bytes        int64
	prefixes     []uint64
}

// NewRequest returns a request of promptTokens that reserves bytes of the
// upstream's memory. Prefixes come from Prefixes, nil for a plain service.
func NewRequest(service string, promptTokens int, bytes int64, prefixes []uint64) Request {
	return Request{service, promptTokens, bytes, prefixes}
}

// Choice is the upstream chosen for a request.
type Choice struct {
	upstream     string
	cachedTokens int
	predicted    clock.Millis
}

// Upstream returns the name of the upstream.
func (c Choice) Upstream() string { return c.upstream }

// CachedTokens returns how many prompt tokens the upstream is believed to hold.
func (c Choice) CachedTokens() int { return c.cachedTokens }

// Predicted returns the predicted time to the first token.
func (c Choice) Predicted() clock.Millis { return c.predicted }

// Choose returns an upstream for r that is not among tried. It compares two
// upstreams drawn at random and those that hold the longest prefix, and takes
// the one with the lowest predicted first-token time. When all of them are
// full it looks at the whole subset. It returns ErrNoRoom or ErrNoUpstream.
func (t *Table) Choose(now clock.Millis, r Request, tried []string) (Choice, error) {
	s := t.services[r.service]
	if s == nil {
		return Choice{}, ErrNoUpstream
	}
	usable := make([]*upstream, 0, len(s.subset))
	for _, u := range s.subset {
		if u.usable(now) && !slices.Contains(tried, u.name) {
			usable = append(usable, u)
		}
	}
	if len(usable) == 0 {
		return Choice{}, ErrNoUpstream
	}
	hits := t.prefixes.find(r.prefixes)
	best, ok := t.best(now, s, r, t.candidates(usable, hits), hits)
	if !ok {
		best, ok = t.best(now, s, r, usable, hits)
	}
	if !ok {
		return Choice{}, ErrNoRoom
	}
	return best, nil
}

// candidates returns two random upstreams and those with a prefix hit.
func (t *Table) candidates(usable []*upstream, hits []hit) []*upstream {
	if len(usable) <= 2 {
		return usable
	}
	i := t.random.IntN(len(usable))
	j := t.random.IntN(len(usable) - 1)
	if j >= i {
		j++
	}
	drawn := []*upstream{usable[i], usable[j]}
	for _, u := range usable {
		if u != drawn[0] && u != drawn[1] && hitTokens(u, hits) > 0 {
			drawn = append(drawn, u)
		}
	}
	return drawn
}

// best returns the candidate with room that is predicted to answer first.
func (t *Table) best(now clock.Millis, s *service, r Request, candidates []*upstream, hits []hit) (Choice, bool) {
	var best Choice
	var lowest float64
	found := false
	for _, u := range candidates {
		if u.free(r.bytes) <= 0 {
			continue
		}
		cached := min(hitTokens(u, hits), r.promptTokens)
		ms := t.predict(now, s, u, r.promptTokens-cached)
		if !found || ms < lowest {
			best = Choice{u.name, cached, clock.Millis(ms)}
			lowest = ms
			found = true
		}
	}
	return best, found
}

// predict returns the expected time to the first token in ms.
func (t *Table) predict(now clock.Millis, s *service, u *upstream, uncached int) float64 {
	perToken := s.pace.perToken()
	queue := float64(u.load.Pace().QueueMs()) * u.freshness(now)
	ms := queue + perToken*float64(u.since.tokens+uncached)
	ms += batchPenalty * float64(u.held()) / float64(max(u.load.Occupancy().Limit(), 1))
	if u.dataCentre != t.dataCentre {
		ms += farPenalty
	}
	return ms
}

// Named returns the choice of an upstream that was settled earlier, as by the
// claim of an earlier attempt.
func Named(upstream string) Choice { return Choice{upstream: upstream} }
