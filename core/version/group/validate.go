package group

import (
	"fmt"

	"goldcrestshore/core/version/bounds"
)

// Upper bounds of the numbers in messages between entries and agents, far above any real one.
const (
	// maxCount bounds numbers of requests and of processes.
	maxCount = 1 << 24
	// MaxSlowdown bounds how many times slower than usual a rank is.
	MaxSlowdown = 1 << 20
	// maxPerSecond bounds a rate limit, and maxAllowed what it allows in all.
	maxPerSecond = 1 << 30
	maxAllowed   = 1 << 50
	// maxAgeMillis bounds ages and points in time in milliseconds.
	maxAgeMillis = 1 << 50
	// MaxCounter leaves room to count on from a version, a step, an epoch or a term. Versions of maps
	// begin with the term of their owner, which may take 62 bits.
	MaxCounter = 1<<63 - 1<<32
)

// Validate returns an error unless an entry can send the heartbeat.
func (h *EntryHeartbeat) Validate() error {
	return bounds.Check(
		bounds.Number{Name: "requests in flight", Value: float64(h.InFlight), Most: maxCount},
		bounds.Number{Name: "term", Value: float64(h.Term), Most: MaxCounter},
	)
}

// Validate returns an error unless an agent can send the load.
func (l *Load) Validate() error {
	return bounds.Check(
		bounds.Number{Name: "requests of others in flight", Value: float64(l.OthersInFlight), Most: maxCount},
		bounds.Number{Name: "entries", Value: float64(l.Entries), Most: maxCount},
		bounds.Number{Name: "term", Value: float64(l.Term), Most: MaxCounter},
		bounds.Number{Name: "age of the owner's message", Value: float64(l.OwnerAge), Most: maxAgeMillis},
		bounds.Number{Name: "slowdown", Value: l.Slowdown, Most: MaxSlowdown},
		bounds.Number{Name: "state of the group", Value: float64(l.State), Most: float64(StateClosed)},
	)
}

// Validate returns an error unless a process can send the limits.
func (r *RateLimits) Validate() error {
	for _, l := range r.Limits {
		err := bounds.Check(
			bounds.Number{Name: "requests per second", Value: l.PerSecond, Most: maxPerSecond},
			bounds.Number{Name: "age of the statement", Value: float64(max(l.Age, 0)), Most: maxAgeMillis}, // below 0 means now
			bounds.Number{Name: "allowed requests", Value: l.Allowed, Most: maxAllowed},
		)
		if err != nil {
			return fmt.Errorf("limit of %.80q: %w", l.Upstream, err)
		}
	}
	return bounds.Check(bounds.Number{Name: "position", Value: float64(r.Position), Most: maxCount})
}

// Validate returns an error unless a process can send the departures.
func (d *Departures) Validate() error {
	for _, departure := range d.Departures {
		err := bounds.Check(bounds.Number{Name: "start", Value: float64(departure.StartTime), Most: maxAgeMillis})
		if err != nil {
			return fmt.Errorf("departure of %.80q: %w", departure.Upstream, err)
		}
	}
	return nil
}
