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
	// maxLimits bounds the upstreams whose statements are kept: anybody can send a datagram. All
	// upstreams of a deployment are far fewer.
	maxLimits = 4096
)

// rateLimits holds the last statement of each upstream about how many requests it takes, as
// entries have passed them on.
type rateLimits map[string]group.Statement

// record records what upstreams have stated to an entry, unless later statements are known. Of other
// upstreams than are known it keeps as many as there is room for.
func (r rateLimits) record(now clock.Millis, limits []group.RateLimit) {
	for _, l := range limits {
		stated := l.Statement(now)
		known, found := r[l.Upstream]
		if found {
			stated = known.Merge(stated)
		}
		if found || len(r) < maxLimits {
			r[l.Upstream] = stated
		}
	}
}

// recent returns the statements of which entries are told, the latest ones first.
func (r rateLimits) recent(now clock.Millis) []group.RateLimit {
	var out []group.RateLimit
	for upstream, s := range r {
		ttl := limitTTL
		if !s.Limited() {
			ttl = endedLimitTTL
		}
		if now-s.At > ttl {
			delete(r, upstream)
			continue
		}
		out = append(out, s.RateLimit(now, upstream))
	}
	group.SortRateLimits(out)
	return out[:min(len(out), group.MaxRateLimits)]
}
