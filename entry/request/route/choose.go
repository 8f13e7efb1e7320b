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
	// draws of two upstreams are made while the best has a queue of more than
	// maxQueue ms. Two choices alone miss the few idle upstreams when most are
	// busy; random draws still keep entries from choosing the same one.
	draws = 4
	// One request of at least warmingLeast and at most warmingMost goes to a cold
	// upstream: 1.6% to 4%, so that slow first tokens of cold upstreams stay out of
	// the p95 while the others have cached prompts.
	warmingLeast = 24
	warmingMost  = 64
	maxQueue     = 30.0
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

// Service returns the name of the service.
func (r Request) Service() string { return r.service }

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
// the one with the lowest predicted first-token time. While that one has a queue
// it draws again, up to draws times. When all of them are full it looks at the
// whole subset. It returns ErrNoRoom or ErrNoUpstream.
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
	if u := s.warming(usable, r.bytes, len(hits) > 0); u != nil {
		return Choice{upstream: u.name}, nil
	}
	search := search{table: t, now: now, service: s, request: r, hits: hits}
	search.holders(usable)
	for range draws {
		search.pair(usable)
		if search.found && search.queue <= maxQueue {
			break
		}
	}
	if !search.found {
		search.all(usable)
	}
	if !search.found {
		return Choice{}, ErrNoRoom
	}
	return search.best, nil
}

// warming returns a cold upstream with room when it is the turn of one, nil
// otherwise. Predictions alone would leave a cold upstream idle, and it warms up
// only by completed work. A request whose prompt is cached nowhere is taken
// sooner, since it would be slow anywhere.
func (s *service) warming(usable []*upstream, bytes int64, cached bool) *upstream {
	s.turn++
	if s.turn < warmingLeast || cached && s.turn < warmingMost {
		return nil
	}
	var most *upstream
	for _, u := range usable {
		if !u.load.Condition().Cold() || u.free(bytes) <= 0 {
			continue
		}
		if most == nil || u.free(bytes) > most.free(bytes) {
			most = u
		}
	}
	if most != nil {
		s.turn = 0
	}
	return most
}

// predict returns the expected wait for other prompts and the expected time to
// the first token, both in ms.
func (t *Table) predict(now clock.Millis, s *service, u *upstream, uncached int) (queue, ms float64) {
	perToken := s.pace.perToken()
	// The queue of the report and the work sent since drain as time passes.
	queue = float64(u.load.Pace().QueueMs()) + perToken*float64(u.since.tokens)
	queue = max(queue-float64(now-u.reportedAt), 0)
	ms = queue + perToken*float64(uncached)
	ms += batchPenalty * float64(u.held()) / float64(max(u.load.Occupancy().Limit(), 1))
	if u.dataCentre != t.dataCentre {
		ms += farPenalty
	}
	return queue, ms
}

// Named returns the choice of an upstream that was settled earlier, as by the
// claim of an earlier attempt.
func Named(upstream string) Choice { return Choice{upstream: upstream} }
