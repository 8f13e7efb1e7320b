package forward

import (
	"math"
	"strconv"
	"strings"

	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/event"
	"goldcrestshore/entry/connection/upstream"
	"goldcrestshore/entry/request/balance"
)

// minRateLimit replaces a stated limit that is lower, in requests per second. An upstream
// that got nothing could not state that its limit has ended. maxRateLimit replaces one that is
// higher, with which the requests that it allows can't be counted.
const (
	minRateLimit = 0.1
	maxRateLimit = 1e6
)

// recordRateLimit records how many requests the upstream states that it takes. A statement
// that cannot be read changes nothing.
func (c *call) recordRateLimit(resp *upstream.ResponseReader) {
	s := c.server
	stated := resp.Header.Get(s.Headers.RateLimit)
	perSecond, ok := parseRateLimit(stated)
	if !ok {
		s.Log.Emit(event.UpstreamLimited, event.Fields{"upstream": c.upstream, "unreadable": stated})
		return
	}
	changed := false
	s.Scheduler.WithBalancer(func(now clock.Millis, b *balance.Balancer) { changed = b.RecordRateLimit(now, c.ticket, perSecond) })
	if changed {
		s.Log.Emit(event.UpstreamLimited, event.Fields{"upstream": c.upstream, "perSecond": perSecond, "source": "response"})
	}
}

// parseRateLimit returns the requests per second in a header, 0 if there is none. It reports
// whether the header can be read.
func parseRateLimit(stated string) (perSecond float64, ok bool) {
	if stated == "" {
		return 0, true
	}
	perSecond, err := strconv.ParseFloat(strings.TrimSpace(stated), 64)
	if err != nil || math.IsNaN(perSecond) || perSecond < 0 {
		return 0, false
	}
	return min(max(perSecond, minRateLimit), maxRateLimit), true
}
