package forward

import (
	"sync"

	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/recent"
)

// durationAge is the time for which durations are remembered at least.
const durationAge = 30 * clock.Second

// durations holds the longest duration of the recent requests of each route. The zero value is
// ready to use. It is safe for concurrent use.
type durations struct {
	mu      sync.Mutex
	byRoute recent.Map[string, clock.Millis]
}

// record adds the duration of a request that has ended.
func (d *durations) record(now clock.Millis, route string, duration clock.Millis) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire(now)
	d.byRoute.Update(now, route, func(longest *clock.Millis) { *longest = max(*longest, duration) })
}

// longest returns the longest duration of the recent requests of a route, and whether there
// were any.
func (d *durations) longest(now clock.Millis, route string) (longest clock.Millis, known bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire(now)
	newer, older, known := d.byRoute.Values(route)
	return max(newer, older), known
}

// expire must be called with mu held.
func (d *durations) expire(now clock.Millis) {
	d.byRoute.Age = durationAge
	d.byRoute.Expire(now)
}
