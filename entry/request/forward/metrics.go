package forward

import (
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"goldcrestshore/core/process/clock"
	"goldcrestshore/entry/request/balance"
)

// Metrics records the metrics of requests. The recording methods of a nil
// *Metrics do nothing.
type Metrics struct {
	scope       tally.Scope
	firstEvents tally.Histogram
	eventGaps   tally.Histogram
	// buckets are the bucket bounds of all histograms.
	buckets tally.DurationBuckets
}

// NewMetrics returns metrics that report to scope.
func NewMetrics(scope tally.Scope) *Metrics {
	c := &Metrics{scope: scope}
	for _, ms := range []int{10, 25, 50, 100, 150, 200, 300, 400, 500, 750, 1000, 1500, 2000, 4000} {
		c.buckets = append(c.buckets, time.Duration(ms)*time.Millisecond)
	}
	c.firstEvents = scope.Histogram("first_event_seconds", c.buckets)
	c.eventGaps = scope.Histogram("event_gap_seconds", c.buckets)
	return c
}

// countOutcome counts a finished request by how it ended.
func (c *Metrics) countOutcome(cause string) {
	if c == nil {
		return
	}
	c.scope.Tagged(map[string]string{"outcome": cause}).Counter("requests").Inc(1)
}

// countRetry counts a retry by the cause of the failed attempt.
func (c *Metrics) countRetry(cause string) {
	if c == nil {
		return
	}
	c.scope.Tagged(map[string]string{"cause": cause}).Counter("repeats").Inc(1)
}

// recordFirstEvent records the time from the request's arrival to the first event.
func (c *Metrics) recordFirstEvent(delay clock.Millis) {
	if c == nil {
		return
	}
	c.firstEvents.RecordDuration(delay.Duration())
}

// recordEventGap records the time between two consecutive writes of events.
func (c *Metrics) recordEventGap(gap clock.Millis) {
	if c == nil {
		return
	}
	c.eventGaps.RecordDuration(gap.Duration())
}

// maxPriorityLabels bounds the number of values of the priority label; higher
// priorities share the last one.
const maxPriorityLabels = 10

// recordQueueWait records how long a request waited for an upstream.
func (c *Metrics) recordQueueWait(priority int, wait clock.Millis) {
	if c == nil {
		return
	}
	label := strconv.Itoa(min(max(priority, 0), maxPriorityLabels-1))
	c.scope.Tagged(map[string]string{"priority": label}).Histogram("queue_seconds", c.buckets).RecordDuration(wait.Duration())
}

// Report updates the gauges of a service.
func (c *Metrics) Report(s balance.Status) {
	if c == nil {
		return
	}
	scope := c.scope.Tagged(map[string]string{"service": s.Service})
	for priority := range maxPriorityLabels {
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
