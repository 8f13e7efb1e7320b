package schedule

import (
	"context"
	"time"

	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/request/outcome"
	"goldcrestshore/entry/request/customer"
	"goldcrestshore/entry/request/route"
)

// Params holds the properties of a request that scheduling depends on.
type Params struct {
	customer string
	priority int
	cost     int64
	deadline clock.Millis
	request  route.Request
}

// NewParams returns the parameters of a request of the customer with the given
// name. The cost is in tokens (see customer.Cost); deadline is a point in time.
func NewParams(name string, priority int, cost int64, deadline clock.Millis, r route.Request) Params {
	return Params{name, priority, cost, deadline, r}
}

// Reservation is a request in the scheduler, either queued or assigned to an
// upstream.
type Reservation struct {
	scheduler *Scheduler
	id        frame.ID
	service   string
	request   route.Request
	tried     []string
	upstream  string
	// assignments has capacity 1. At most one assignment is outstanding, as each
	// route.Ready event gets one, so sends under the scheduler's lock do not block.
	assignments chan assignment
}

// assignment is the upstream assigned to a request, or its refusal.
type assignment struct {
	upstream string
	refusal  *outcome.Refusal
}

// Reserve queues a request of a service and waits for its first upstream. It
// returns an *outcome.Refusal or the error of ctx; after an error there is no
// reservation to close.
func (s *Scheduler) Reserve(ctx context.Context, service string, params Params) (*Reservation, error) {
	r := &Reservation{scheduler: s, service: service, request: params.request, assignments: make(chan assignment, 1)}
	s.update(func(now clock.Millis) {
		s.sequence++
		r.id = frame.NewID(s.Incarnation, s.sequence)
		s.reservations[r.id] = r
		s.apply(now, customer.NewEnqueue(r.id, params.customer, service, params.cost, params.priority, params.deadline))
	})
	if err := r.wait(ctx); err != nil {
		return nil, err
	}
	return r, nil
}

// Upstream returns the agent to send the request to.
func (r *Reservation) Upstream() string { return r.upstream }

// ResponseStarted reports that the first byte of the response has arrived.
func (r *Reservation) ResponseStarted() {
	r.scheduler.update(func(now clock.Millis) { r.scheduler.table.Apply(now, route.NewFirstToken(r.id)) })
}

// Retry waits for another upstream after the current one failed to respond.
// mayHaveRun states whether the current one may have run the request. An upstream
// that was tried is assigned again only after all usable ones were tried. After an
// error the reservation has ended.
func (r *Reservation) Retry(ctx context.Context, mayHaveRun bool) error {
	s := r.scheduler
	s.update(func(now clock.Millis) {
		if mayHaveRun {
			s.table.Apply(now, route.NewDone(r.id, false))
		} else {
			s.table.Apply(now, route.NewRefused(r.id))
		}
		r.tried = append(r.tried, r.upstream)
		if len(r.tried) >= s.table.Usable(now, r.service) {
			r.tried = nil
		}
		s.table.Apply(now, route.NewReady(r.id, r.request, r.tried))
	})
	return r.wait(ctx)
}

// Close releases the reservation; ok states whether the response was complete.
// Further calls have no effect.
func (r *Reservation) Close(ok bool) {
	s := r.scheduler
	s.update(func(now clock.Millis) {
		if s.reservations[r.id] == nil {
			return
		}
		delete(s.reservations, r.id)
		s.table.Apply(now, route.NewDone(r.id, ok))
		s.apply(now, customer.NewComplete(r.id))
	})
}

// wait waits until an upstream is assigned, the request is refused or withdrawn
// after ctx is done, or no upstream is usable after contactTimeout.
func (r *Reservation) wait(ctx context.Context) error {
	timer := time.NewTimer(contactTimeout.Duration())
	defer timer.Stop()
	for {
		select {
		case a := <-r.assignments:
			return r.accept(a)
		case <-ctx.Done():
			if a, ok := r.withdraw(); ok {
				return r.accept(a)
			}
			return ctx.Err()
		case <-timer.C:
			if r.hasUsableUpstream() {
				timer.Reset(contactTimeout.Duration())
				continue
			}
			if a, ok := r.withdraw(); ok {
				return r.accept(a)
			}
			return noUpstream()
		}
	}
}

func (r *Reservation) accept(a assignment) error {
	if a.refusal != nil {
		return a.refusal
	}
	r.upstream = a.upstream
	return nil
}

// withdraw removes the request from the scheduler. If it was assigned or refused
// in the meantime, withdraw returns that assignment and true instead.
func (r *Reservation) withdraw() (assignment, bool) {
	s := r.scheduler
	var received assignment
	assigned := false
	s.update(func(now clock.Millis) {
		select {
		case received = <-r.assignments:
			assigned = true
			return
		default:
		}
		delete(s.reservations, r.id)
		s.table.Apply(now, route.NewWithdrawn(r.id))
		s.apply(now, customer.NewCancel(r.id))
		s.apply(now, customer.NewComplete(r.id))
	})
	return received, assigned
}

func (r *Reservation) hasUsableUpstream() bool {
	usable := 0
	r.scheduler.update(func(now clock.Millis) { usable = r.scheduler.table.Usable(now, r.service) })
	return usable > 0
}
