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

// Params are what scheduling needs to know of a request.
type Params struct {
	customer string
	priority int
	cost     int64
	deadline clock.Millis
	request  route.Request
}

// NewParams returns the terms of a customer's request that is due by a deadline,
// an instant, and costs so much work in tokens (see customer.Cost).
func NewParams(name string, priority int, cost int64, deadline clock.Millis, r route.Request) Params {
	return Params{name, priority, cost, deadline, r}
}

// Reservation is one request on its way through the scheduler.
type Reservation struct {
	scheduler   *Scheduler
	id          frame.ID
	service     string
	request     route.Request
	tried       []string
	upstream    string
	assignments chan assignment // of size 1; one answer follows each Ready
}

// assignment is the upstream for a turn, or the refusal of the request.
type assignment struct {
	upstream string
	refusal  *outcome.Refusal
}

// Reserve queues a request of a service and waits for its first upstream. Its
// error is an *outcome.Refusal, or that of ctx. After an error the turn is over.
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

// ResponseStarted tells that the first byte of the answer has arrived.
func (r *Reservation) ResponseStarted() {
	r.scheduler.update(func(now clock.Millis) { r.scheduler.table.Apply(now, route.NewFirstToken(r.id)) })
}

// Retry waits for another upstream after the present one has not answered. ran
// tells that it may have run the request. After an error the turn is over.
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

// Close ends the turn; ok tells that the answer was complete.
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

// wait returns when an upstream is assigned or the turn is over.
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

// withdraw takes the request back, unless it was assigned or refused meanwhile.
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
