package forward

import (
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"goldcrestshore/core/connection/connlimit"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/entry/request/balance"
)

// Metrics records the metrics of requests. The methods of a nil *Metrics do
// nothing.
type Metrics struct {
	scope       tally.Scope
	firstEvents tally.Histogram
	eventGaps   tally.Histogram
	// buckets are the bucket bounds of all histograms.
	buckets tally.DurationBuckets
}

// NewMetrics returns metrics that report to scope.
func NewMetrics(scope tally.Scope) *Metrics {
	m := &Metrics{scope: scope}
	for _, ms := range []int{10, 25, 50, 100, 150, 200, 300, 400, 500, 750, 1000, 1500, 2000, 4000} {
		m.buckets = append(m.buckets, time.Duration(ms)*time.Millisecond)
	}
	m.firstEvents = scope.Histogram("first_event_seconds", m.buckets)
	m.eventGaps = scope.Histogram("event_gap_seconds", m.buckets)
	return m
}

// countOutcome counts a finished request by how it ended.
func (m *Metrics) countOutcome(outcome string) {
	if m == nil {
		return
	}
	m.scope.Tagged(map[string]string{"outcome": outcome}).Counter("requests").Inc(1)
}

// countClosed counts a connection of a caller that was closed because of a limit.
func (m *Metrics) countClosed(reason connlimit.Reason) {
	if m == nil {
		return
	}
	m.scope.Tagged(map[string]string{"reason": string(reason)}).Counter("caller_connections_closed").Inc(1)
}

// countRetry counts a retry by the cause of the failed attempt.
func (m *Metrics) countRetry(cause string) {
	if m == nil {
		return
	}
	m.scope.Tagged(map[string]string{"cause": cause}).Counter("repeats").Inc(1)
}

// recordFirstEvent records the time from the request's arrival to the first event.
func (m *Metrics) recordFirstEvent(delay clock.Millis) {
	if m == nil {
		return
	}
	m.firstEvents.RecordDuration(delay.Duration())
}

// recordEventGap records the time between two consecutive writes of events.
func (m *Metrics) recordEventGap(gap clock.Millis) {
	if m == nil {
		return
	}
	m.eventGaps.RecordDuration(gap.Duration())
}

// maxPriorityLabels bounds the number of values of the priority label.
const maxPriorityLabels = 10

// priorityLabel returns the label of a priority. The lowest priorities share the last one.
func priorityLabel(priority int) int { return min(max(priority, 0), maxPriorityLabels-1) }

// recordQueueWait records how long a request waited for an upstream.
func (m *Metrics) recordQueueWait(priority int, wait clock.Millis) {
	if m == nil {
		return
	}
	label := strconv.Itoa(priorityLabel(priority))
	m.scope.Tagged(map[string]string{"priority": label}).Histogram("queue_seconds", m.buckets).RecordDuration(wait.Duration())
}

// Report updates the gauges of a service.
func (m *Metrics) Report(s balance.Status) {
	if m == nil {
		return
	}
	scope := m.scope.Tagged(map[string]string{"service": s.Service})
	var queued [maxPriorityLabels]int
	for priority, n := range s.Queued {
		queued[priorityLabel(priority)] += n
	}
	for label, n := range queued {
		scope.Tagged(map[string]string{"priority": strconv.Itoa(label)}).Gauge("queue_length").Update(float64(n))
	}
	for _, state := range balance.States {
		scope.Tagged(map[string]string{"state": string(state)}).Gauge("upstreams").Update(float64(s.Upstreams[state]))
	}
	for name, value := range map[string]float64{
		"queue_customers":          float64(s.QueuedCustomers),
		"queue_largest":            float64(s.MostQueued),
		"upstreams_lapsed":         float64(s.Lapsed),
		"upstream_silence_seconds": float64(s.MaxInactivity) / float64(clock.Second),
		"held":                     float64(s.InFlight),
		"held_limit":               float64(s.Limit),
		"connections":              float64(s.Connections),
		"connections_limit":        float64(s.ConnectionLimit),
		"cold_sent":                float64(s.ColdSent),
		"cold_limit":               s.ColdLimit,
		"repeats_in_window":        s.Retries.Used,
		"repeats_limit":            s.Retries.Allowed,
		"entries":                  float64(s.Retries.Entries),
	} {
		scope.Gauge(name).Update(value)
	}
}
