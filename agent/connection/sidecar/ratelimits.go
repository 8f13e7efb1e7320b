package sidecar

import (
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/version/group"
)

const (
	// endedLimitTTL is how long entries are told that a limit has ended.
	endedLimitTTL = 10 * clock.Second
	// limitTTL is how long entries are told of a limit that no entry states any more.
	limitTTL = 5 * clock.Minute
)

// rateLimits holds the last statement of each upstream about how many requests it takes, as
// entries have passed them on.
type rateLimits map[string]rateLimit

type rateLimit struct {
	// perSecond is 0 if the upstream no longer states a limit.
	perSecond float64
	// statedAt is when the upstream stated so.
	statedAt clock.Millis
}

// record records what upstreams have stated to an entry, unless later statements are known.
func (r rateLimits) record(now clock.Millis, limits []group.RateLimit) {
	for _, l := range limits {
		statedAt := now - clock.Millis(max(l.Age, 0))
		if known, found := r[l.Upstream]; !found || statedAt > known.statedAt {
			r[l.Upstream] = rateLimit{l.PerSecond, statedAt}
		}
	}
}

// recent returns the statements of which entries are told, the latest ones first.
func (r rateLimits) recent(now clock.Millis) []group.RateLimit {
	var out []group.RateLimit
	for upstream, l := range r {
		ttl := limitTTL
		if l.perSecond == 0 {
			ttl = endedLimitTTL
		}
		if now-l.statedAt > ttl {
			delete(r, upstream)
			continue
		}
		out = append(out, group.RateLimit{Upstream: upstream, PerSecond: l.perSecond, Age: int64(now - l.statedAt)})
	}
	group.SortRateLimits(out)
	return out[:min(len(out), group.MaxRateLimits)]
}
