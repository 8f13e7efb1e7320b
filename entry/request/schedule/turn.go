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

// Terms are what scheduling needs to know of a request.
type Terms struct {
	customer string
	priority int
	cost     int64
	deadline clock.Millis
	request  route.Request
}

// NewTerms returns the terms of a customer's request that is due by a deadline,
// an instant, and costs so much work in tokens (see customer.Cost).
func NewTerms(name string, priority int, cost int64, deadline clock.Millis, r route.Request) Terms {
	return Terms{name, priority, cost, deadline, r}
}

// Turn is one request on its way through the scheduler.
type Turn struct {
	scheduler *Scheduler
	id        frame.ID
	service   string
	request   route.Request
	tried     []string
	upstream  string
	answer    chan assignment // of size 1; one answer follows each Ready
}

// assignment is the upstream for a turn, or the refusal of the request.
type assignment struct {
	upstream string
	refusal  *outcome.Refusal
}

// Enter queues a request of a service and waits for its first upstream. Its
// error is an *outcome.Refusal, or that of ctx. After an error the turn is over.
func (s *Scheduler) Enter(ctx context.Context, service string, terms Terms) (*Turn, error) {
	t := &Turn{scheduler: s, service: service, request: terms.request, answer: make(chan assignment, 1)}
	s.change(func(now clock.Millis) {
		s.sequence++
		t.id = frame.NewID(s.Incarnation, s.sequence)
		s.turns[t.id] = t
		s.apply(now, customer.NewEnqueue(t.id, terms.customer, service, terms.cost, terms.priority, terms.deadline))
	})
	if err := t.wait(ctx); err != nil {
		return nil, err
	}
	return t, nil
}

// Upstream returns the agent to send the request to.
func (t *Turn) Upstream() string { return t.upstream }

// Answering tells that the first byte of the answer has arrived.
func (t *Turn) Answering() {
	t.scheduler.change(func(now clock.Millis) { t.scheduler.table.Apply(now, route.NewFirstToken(t.id)) })
}

// Again waits for another upstream after the present one has not answered. ran
// tells that it may have run the request. After an error the turn is over.
func (t *Turn) Again(ctx context.Context, ran bool) error {
	s := t.scheduler
	s.change(func(now clock.Millis) {
		if ran {
			s.table.Apply(now, route.NewDone(t.id, false))
		} else {
			s.table.Apply(now, route.NewRefused(t.id))
		}
		t.tried = append(t.tried, t.upstream)
		if len(t.tried) >= s.table.Usable(now, t.service) {
			t.tried = nil
		}
		s.table.Apply(now, route.NewReady(t.id, t.request, t.tried))
	})
	return t.wait(ctx)
}

// Close ends the turn; ok tells that the answer was complete.
func (t *Turn) Close(ok bool) {
	s := t.scheduler
	s.change(func(now clock.Millis) {
		if s.turns[t.id] == nil {
			return
		}
		delete(s.turns, t.id)
		s.table.Apply(now, route.NewDone(t.id, ok))
		s.apply(now, customer.NewComplete(t.id))
	})
}

// wait returns when an upstream is assigned or the turn is over.
func (t *Turn) wait(ctx context.Context) error {
	timer := time.NewTimer(contactWait.Duration())
	defer timer.Stop()
	for {
		select {
		case a := <-t.answer:
			return t.take(a)
		case <-ctx.Done():
			if a, ok := t.leave(); ok {
				return t.take(a)
			}
			return ctx.Err()
		case <-timer.C:
			if t.hasContact() {
				timer.Reset(contactWait.Duration())
				continue
			}
			if a, ok := t.leave(); ok {
				return t.take(a)
			}
			return noUpstream()
		}
	}
}

func (t *Turn) take(a assignment) error {
	if a.refusal != nil {
		return a.refusal
	}
	t.upstream = a.upstream
	return nil
}

// leave takes the request back, unless it was assigned or refused meanwhile.
func (t *Turn) leave() (assignment, bool) {
	s := t.scheduler
	var late assignment
	assigned := false
	s.change(func(now clock.Millis) {
		select {
		case late = <-t.answer:
			assigned = true
			return
		default:
		}
		delete(s.turns, t.id)
		s.table.Apply(now, route.NewWithdrawn(t.id))
		s.apply(now, customer.NewCancel(t.id))
		s.apply(now, customer.NewComplete(t.id))
	})
	return late, assigned
}

func (t *Turn) hasContact() bool {
	usable := 0
	t.scheduler.change(func(now clock.Millis) { usable = t.scheduler.table.Usable(now, t.service) })
	return usable > 0
}
