package forward

import (
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"goldcrestshore/core/process/clock"
	"goldcrestshore/entry/request/balance"
)

// Counters are the metrics of requests. A nil value counts nothing.
type Counters struct {
	scope tally.Scope
	first tally.Histogram
	gap   tally.Histogram
	// bounds are those of all histograms.
	bounds tally.DurationBuckets
}

// NewCounters returns counters in the scope.
func NewCounters(scope tally.Scope) *Counters {
	c := &Counters{scope: scope}
	for _, ms := range []int{10, 25, 50, 100, 150, 200, 300, 400, 500, 750, 1000, 1500, 2000, 4000} {
		c.bounds = append(c.bounds, time.Duration(ms)*time.Millisecond)
	}
	c.first = scope.Histogram("first_event_seconds", c.bounds)
	c.gap = scope.Histogram("event_gap_seconds", c.bounds)
	return c
}

// outcome counts the end of a request.
func (c *Counters) outcome(cause string) {
	if c == nil {
		return
	}
	c.scope.Tagged(map[string]string{"outcome": cause}).Counter("requests").Inc(1)
}

// repeated counts a request that is sent again, by what ended the attempt before.
func (c *Counters) repeated(cause string) {
	if c == nil {
		return
	}
	c.scope.Tagged(map[string]string{"cause": cause}).Counter("repeats").Inc(1)
}

// firstEvent records the time from the request to the first event.
func (c *Counters) firstEvent(after clock.Millis) {
	if c == nil {
		return
	}
	c.first.RecordDuration(after.Duration())
}

// nextEvent records the pause between two events of a stream.
func (c *Counters) nextEvent(after clock.Millis) {
	if c == nil {
		return
	}
	c.gap.RecordDuration(after.Duration())
}

// mostPriorities bounds the label of the priority.
const mostPriorities = 10

// queued records how long a request has waited for an upstream.
func (c *Counters) queued(priority int, wait clock.Millis) {
	if c == nil {
		return
	}
	label := strconv.Itoa(min(max(priority, 0), mostPriorities-1))
	c.scope.Tagged(map[string]string{"priority": label}).Histogram("queue_seconds", c.bounds).RecordDuration(wait.Duration())
}

// Report sets the gauges of a service.
func (c *Counters) Report(s balance.Status) {
	if c == nil {
		return
	}
	scope := c.scope.Tagged(map[string]string{"service": s.Service})
	for priority := range mostPriorities {
		if n, queued := s.Queued[priority]; queued || priority == 0 {
			scope.Tagged(map[string]string{"priority": strconv.Itoa(priority)}).Gauge("queue_length").Update(float64(n))
		}
	}
	for _, state := range balance.States {
		scope.Tagged(map[string]string{"state": string(state)}).Gauge("upstreams").Update(float64(s.Upstreams[state]))
	}
	for name, value := range map[string]float64{
		"upstream_silence_seconds": float64(s.MaxInactivity) / float64(clock.Second),
		"held":                     float64(s.InFlight),
		"held_limit":               float64(s.Limit),
		"connections":              float64(s.Connections),
		"connections_limit":        float64(s.ConnectionLimit),
		"cold_sent":                float64(s.ColdSent),
		"cold_limit":               float64(s.ColdLimit),
		"repeats_in_window":        s.Retries,
		"repeats_limit":            s.RetriesAllowed,
	} {
		scope.Gauge(name).Update(value)
	}
}
