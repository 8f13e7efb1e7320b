package route

import (
	"slices"

	"goldcrestshore/core/process/clock"
)

const (
	// remotePenaltyMs is added to the prediction for another data centre. It exceeds
	// the round trip of 1 to 2 ms so that equal upstreams are chosen nearby, and
	// stays small against a first-token time so that load still decides.
	remotePenaltyMs = 10.0
	// fullBatchPenaltyMs is what a full batch adds to the first token in ms.
	fullBatchPenaltyMs = 60.0
	// maxDraws of two upstreams are made while the best has a queue of more than
	// maxQueue ms. Two choices alone miss the few idle upstreams when most are
	// busy; random maxDraws still keep entries from choosing the same one.
	maxDraws = 4
	// One request of at least minColdInterval and at most warmingMost goes to a cold
	// upstream: 1.6% to 4%, so that slow first tokens of cold upstreams stay out of
	// the p95 while the others have cached prompts.
	minColdInterval = 24
	maxColdInterval = 64
	maxQueueMs      = 30.0
)

// Request is what the choice depends on.
type Request struct {
	service       string
	promptTokens  int
	reservedBytes int64
	prefixes      []uint64
}

// NewRequest returns a request of promptTokens that reserves bytes of the
// upstream's memory. Prefixes come from Prefixes, nil for a plain service.
func NewRequest(service string, promptTokens int, reservedBytes int64, prefixes []uint64) Request {
	return Request{service, promptTokens, reservedBytes, prefixes}
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
	if u := s.nextCold(usable, r.reservedBytes, len(hits) > 0); u != nil {
		return Choice{upstream: u.name}, nil
	}
	search := search{table: t, now: now, service: s, request: r, hits: hits}
	search.considerHolders(usable)
	for range maxDraws {
		search.considerPair(usable)
		if search.found && search.queueMs <= maxQueueMs {
			break
		}
	}
	if !search.found {
		search.considerAll(usable)
	}
	if !search.found {
		return Choice{}, ErrNoCapacity
	}
	return search.best, nil
}

// nextCold returns a cold upstream with room when it is the turn of one, nil
// otherwise. Predictions alone would leave a cold upstream idle, and it warms up
// only by completed work. A request whose prompt is cached nowhere is taken
// sooner, since it would be slow anywhere.
func (s *service) nextCold(usable []*upstream, reservedBytes int64, cached bool) *upstream {
	s.sinceCold++
	if s.sinceCold < minColdInterval || cached && s.sinceCold < maxColdInterval {
		return nil
	}
	var freest *upstream
	for _, u := range usable {
		if !u.load.Condition().Cold() || u.freeCapacity(reservedBytes) <= 0 {
			continue
		}
		if freest == nil || u.freeCapacity(reservedBytes) > freest.freeCapacity(reservedBytes) {
			freest = u
		}
	}
	if freest != nil {
		s.sinceCold = 0
	}
	return freest
}

// predict returns the expected wait for other prompts and the expected time to
// the first token, both in ms.
func (t *Table) predict(now clock.Millis, s *service, u *upstream, uncachedTokens int) (queueMs, firstTokenMs float64) {
	msPerToken := s.prefill.msPerToken()
	// The queue of the report and the work sent since drain as time passes.
	queueMs = float64(u.load.Pace().QueueMs()) + msPerToken*float64(u.unreported.tokens)
	queueMs = max(queueMs-float64(now-u.reportedAt), 0)
	firstTokenMs = queueMs + msPerToken*float64(uncachedTokens)
	firstTokenMs += fullBatchPenaltyMs * float64(u.inFlight()) / float64(max(u.load.Occupancy().Limit(), 1))
	if u.dataCentre != t.dataCentre {
		firstTokenMs += remotePenaltyMs
	}
	return queueMs, firstTokenMs
}

// FixedChoice returns the choice of an upstream that was settled earlier, as by the
// claim of an earlier attempt.
func FixedChoice(upstream string) Choice { return Choice{upstream: upstream} }
