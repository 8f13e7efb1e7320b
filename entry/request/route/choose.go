package route

import (
	"slices"

	"goldcrestshore/core/process/clock"
)

const (
	// remotePenaltyMs is added to the predicted first-token time of an upstream in
	// another data centre. It exceeds the round trip of 1 to 2 ms, so that the
	// local one of two equal upstreams is preferred, and is small compared to a
	// first-token time, so that load still dominates the choice.
	remotePenaltyMs = 10.0
	// fullBatchPenaltyMs is how much a full batch adds to the first-token time.
	fullBatchPenaltyMs = 60.0
	// maxDraws bounds the random pairs of upstreams that are compared while the
	// best candidate has a queue of more than maxQueueMs. A single pair misses the
	// few idle upstreams when most are busy; random selection keeps the entries
	// from all choosing the same one.
	maxDraws = 4
	// One request in minColdInterval to maxColdInterval goes to a cold upstream:
	// 1.6% to 4%, so that the slow first tokens of cold upstreams do not affect the
	// p95 while the other upstreams have prompts cached.
	minColdInterval = 24
	maxColdInterval = 64
	maxQueueMs      = 30.0
)

// Request holds the properties of a request that the choice depends on.
type Request struct {
	service       string
	promptTokens  int
	reservedBytes int64
	prefixes      []uint64
}

// NewRequest returns a request with promptTokens tokens that reserves
// reservedBytes of the upstream's memory. The prefix hashes come from Prefixes
// and are nil for a service that is not a model.
func NewRequest(service string, promptTokens int, reservedBytes int64, prefixes []uint64) Request {
	return Request{service, promptTokens, reservedBytes, prefixes}
}

// Service returns the name of the requested service.
func (r Request) Service() string { return r.service }

// Choice is the upstream chosen for a request.
type Choice struct {
	upstream     string
	cachedTokens int
	predicted    clock.Millis
}

// Upstream returns the name of the upstream.
func (c Choice) Upstream() string { return c.upstream }

// CachedTokens returns how many prompt tokens the upstream is estimated to have
// cached.
func (c Choice) CachedTokens() int { return c.cachedTokens }

// Predicted returns the predicted time to the first token.
func (c Choice) Predicted() clock.Millis { return c.predicted }

// Choose returns an upstream for r that is not in tried. It compares two random
// upstreams and those that have a prefix of r cached, and returns the one with
// the lowest predicted first-token time. While the best one has a queue of more
// than maxQueueMs, it compares further random pairs, up to maxDraws in total. If
// all of these are full, it considers the whole subset. The error is
// ErrNoCapacity or ErrNoUpstream.
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

// nextCold returns the cold upstream with the most free capacity if this request
// should go to a cold one, and nil otherwise. By predicted times alone a cold
// upstream would stay idle, but it only warms up by completing requests. The
// interval is shorter for a request whose prompt is not cached on any upstream,
// because it is slow everywhere.
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

// predict returns the expected time in the upstream's queue and the expected
// time to the first token.
func (t *Table) predict(now clock.Millis, s *service, u *upstream, uncachedTokens int) (queueMs, firstTokenMs float64) {
	msPerToken := s.prefill.msPerToken()
	// The reported queue and the requests sent since shrink as time passes.
	queueMs = float64(u.load.Latency().QueueMs()) + msPerToken*float64(u.unreportedWork.tokens)
	queueMs = max(queueMs-float64(now-u.reportedAt), 0)
	firstTokenMs = queueMs + msPerToken*float64(uncachedTokens)
	firstTokenMs += fullBatchPenaltyMs * float64(u.inFlight()) / float64(max(u.load.Occupancy().Limit(), 1))
	if u.dataCentre != t.dataCentre {
		firstTokenMs += remotePenaltyMs
	}
	return queueMs, firstTokenMs
}

// FixedChoice returns the choice of an upstream that was determined earlier, for
// example by the idempotency record of an earlier attempt.
func FixedChoice(upstream string) Choice { return Choice{upstream: upstream} }
