package orders

import (
	"context"

	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/version/group"
)

const (
	// slowdownMaxAge is how long the slowdown of the last report stays valid.
	slowdownMaxAge = 2 * clock.Second
	// StatusInterval is the time between two queries of the rank while no owner
	// queries it. Entries learn from them that a group has opened.
	StatusInterval clock.Millis = 100
	// stateMaxAge is how long the group state of the last report stays valid. A rank
	// that does not reply has a state that nobody knows.
	stateMaxAge = 4 * StatusInterval
)

// rankStatus is what entries learn of the rank from its last report.
type rankStatus struct {
	at       clock.Millis
	slowdown float64
	state    group.State
}

func (e *Executor) recordStatus(r *group.Report) {
	e.statusMu.Lock()
	defer e.statusMu.Unlock()
	e.status = rankStatus{at: e.Clock.Now(), slowdown: r.Slowdown, state: r.State()}
}

// lastStatus returns the last status and the time since it was received.
func (e *Executor) lastStatus() (rankStatus, clock.Millis) {
	e.statusMu.Lock()
	defer e.statusMu.Unlock()
	return e.status, e.Clock.Now() - e.status.at
}

// Slowdown returns the factor by which the rank's work takes longer than usual, or 0
// if the rank has not reported within slowdownMaxAge.
func (e *Executor) Slowdown() float64 {
	status, age := e.lastStatus()
	if age > slowdownMaxAge {
		return 0
	}
	return status.slowdown
}

// GroupState returns the state of the rank's group, or StateUnknown if the rank has
// not reported within stateMaxAge.
func (e *Executor) GroupState() group.State {
	status, age := e.lastStatus()
	if age > stateMaxAge {
		return group.StateUnknown
	}
	return status.state
}

// QueryStatus queries the rank every StatusInterval until ctx is done, unless an
// owner has queried it meanwhile.
func (e *Executor) QueryStatus(ctx context.Context) {
	clock.Every(ctx, StatusInterval, func() {
		if _, age := e.lastStatus(); age < StatusInterval {
			return
		}
		// Without a report the state turns to unknown after stateMaxAge.
		if r, err := e.Rank.Report(ctx); err == nil {
			e.recordStatus(&r)
		}
	})
}
