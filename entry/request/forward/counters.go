package forward

import (
	"time"

	"github.com/uber-go/tally/v4"

	"goldcrestshore/core/process/clock"
)

// Counters are the metrics of requests. A nil value counts nothing.
type Counters struct {
	scope tally.Scope
	first tally.Histogram
}

// NewCounters returns counters in the scope.
func NewCounters(scope tally.Scope) *Counters {
	bounds := tally.DurationBuckets{}
	for _, ms := range []int{50, 100, 200, 300, 400, 500, 750, 1000, 1500, 2000, 4000} {
		bounds = append(bounds, time.Duration(ms)*time.Millisecond)
	}
	return &Counters{scope: scope, first: scope.Histogram("first_event_seconds", bounds)}
}

// outcome counts the end of a request.
func (c *Counters) outcome(cause string) {
	if c == nil {
		return
	}
	c.scope.Tagged(map[string]string{"outcome": cause}).Counter("requests").Inc(1)
}

// firstEvent records the time from the request to the first event.
func (c *Counters) firstEvent(after clock.Millis) {
	if c == nil {
		return
	}
	c.first.RecordDuration(after.Duration())
}
