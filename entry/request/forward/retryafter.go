package forward

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/event"
	"goldcrestshore/entry/connection/upstream"
	"goldcrestshore/entry/request/balance"
)

const (
	retryAfterHeader = "Retry-After"
	// maxPause is the longest pause that is counted. It only keeps times from overflowing.
	maxPause = 24 * clock.Hour
)

// recordPause records for how long an upstream wants no requests that turns one away. What can't be
// read is logged once for each upstream.
func (c *call) recordPause(resp *upstream.ResponseReader) {
	if resp.Status != http.StatusServiceUnavailable && resp.Status != http.StatusTooManyRequests {
		return
	}
	stated := resp.Header.Values(retryAfterHeader)
	pause, ok := parseRetryAfter(stated, resp.Header.Get("Date"))
	s, id := c.server, c.ticket.Registration().ID
	if !ok && s.unreadablePauses.add(id) {
		s.Log.Emit(event.UpstreamPaused, event.Fields{"upstream": id, "unreadable": strings.Join(stated, ", ")})
	}
	if pause == 0 {
		return
	}
	begins := false
	s.Scheduler.WithBalancer(func(now clock.Millis, b *balance.Balancer) { begins = b.RecordPause(now, c.ticket, pause) })
	if begins {
		s.Log.Emit(event.UpstreamPaused, event.Fields{"upstream": id, "pauseMs": pause, "request": c.request.id, "status": resp.Status})
	}
}

// parseRetryAfter returns the pause that a response asks for, 0 if it asks for none. Of several values
// the longest one counts. It reports false if one of them can't be read.
func parseRetryAfter(values []string, responseDate string) (pause clock.Millis, ok bool) {
	ok = true
	for _, list := range values {
		for _, v := range splitValues(list) {
			d, readable := parsePause(v, responseDate)
			pause, ok = max(pause, d), ok && readable
		}
	}
	return pause, ok
}

// splitValues divides a header with several values. A date has a comma of its own.
func splitValues(list string) []string {
	if _, err := http.ParseTime(strings.TrimSpace(list)); err == nil {
		return []string{list}
	}
	return strings.Split(list, ",")
}

// parsePause returns the pause in one value, rounded up: seconds, which may have fractions, or a date,
// which counts from the date of the response.
func parsePause(value, responseDate string) (pause clock.Millis, ok bool) {
	value = strings.TrimSpace(value)
	if at, err := http.ParseTime(value); err == nil {
		from, err := http.ParseTime(responseDate)
		if err != nil {
			from = time.Now()
		}
		return min(max(clock.FromDuration(at.Sub(from)), 0), maxPause), true
	}
	seconds, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(seconds) || seconds < 0 {
		return 0, false
	}
	return clock.Millis(math.Ceil(min(seconds*float64(clock.Second), float64(maxPause)))), true
}

// maxOnce bounds the names that a onceSet remembers.
const maxOnce = 1024

// onceSet remembers names, so that something is logged once for each. The zero value is ready to use.
// It is safe for concurrent use.
type onceSet struct {
	mu    sync.Mutex
	names map[string]bool
}

// add adds a name and reports whether it is new.
func (s *onceSet) add(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.names[name] {
		return false
	}
	if s.names == nil || len(s.names) >= maxOnce {
		s.names = make(map[string]bool)
	}
	s.names[name] = true
	return true
}
