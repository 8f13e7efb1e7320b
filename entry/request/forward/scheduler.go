package forward

import (
	"context"
	"sync"
	"time"

	"goldcrestshore/core/process/clock"
	"goldcrestshore/entry/request/balance"
	"goldcrestshore/entry/version/fleet"
)

// tickInterval is how often the queues are checked while requests wait. A request
// that ends also triggers a check.
const tickInterval clock.Millis = 20

// Scheduler serializes access to a balancer and delivers its decisions to the
// waiting requests of an entry. It is safe for concurrent use.
type Scheduler struct {
	// Clock and Balancer must be set before use.
	Clock    *clock.Clock
	Balancer *balance.Balancer

	mu      sync.Mutex
	waiting map[*balance.Ticket]chan balance.Decision
	ticking bool
}

// SetView gives the balancer a new view.
func (s *Scheduler) SetView(v *fleet.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Balancer.SetView(s.Clock.Now(), v)
}

// WithBalancer calls f with exclusive access to the balancer.
func (s *Scheduler) WithBalancer(f func(now clock.Millis, b *balance.Balancer)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.Clock.Now(), s.Balancer)
}

// acquire waits for an upstream. It returns a Grant or a Reject, or nil if ctx
// ends first.
func (s *Scheduler) acquire(ctx context.Context, t *balance.Ticket) balance.Decision {
	s.mu.Lock()
	d := s.Balancer.Acquire(s.Clock.Now(), t)
	if _, queued := d.(balance.Wait); !queued {
		s.mu.Unlock()
		return d
	}
	ready := make(chan balance.Decision, 1)
	if s.waiting == nil {
		s.waiting = make(map[*balance.Ticket]chan balance.Decision)
	}
	s.waiting[t] = ready
	s.scheduleTick()
	s.mu.Unlock()
	select {
	case d = <-ready:
		return d
	case <-ctx.Done():
		return s.cancelWait(t, ready)
	}
}

// cancelWait removes a ticket from the queue. If a decision has arrived in the
// meantime, it returns that decision, so that a grant is not lost.
func (s *Scheduler) cancelWait(t *balance.Ticket, ready chan balance.Decision) balance.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case d := <-ready:
		return d
	default:
	}
	s.Balancer.Cancel(t)
	delete(s.waiting, t)
	return nil
}

func (s *Scheduler) release(t *balance.Ticket, o balance.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deliver(s.Balancer.Release(s.Clock.Now(), t, o))
}

// finish gives back what the ticket of a request that has ended has reserved.
func (s *Scheduler) finish(t *balance.Ticket) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Balancer.Finish(t)
}

// deliver sends decisions to the requests that wait for them.
func (s *Scheduler) deliver(decisions []balance.Decision) {
	for _, d := range decisions {
		switch d := d.(type) {
		case balance.Grant:
			s.notify(d.Ticket, d)
		case balance.Reject:
			s.notify(d.Ticket, d)
		case balance.Wait:
		}
	}
}

func (s *Scheduler) notify(t *balance.Ticket, d balance.Decision) {
	ready := s.waiting[t]
	delete(s.waiting, t)
	if ready != nil {
		ready <- d
	}
}

// scheduleTick starts the timer of the next tick unless it is already running.
func (s *Scheduler) scheduleTick() {
	if s.ticking {
		return
	}
	s.ticking = true
	time.AfterFunc(tickInterval.Duration(), s.tick)
}

func (s *Scheduler) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deliver(s.Balancer.Tick(s.Clock.Now()))
	s.ticking = false
	if len(s.waiting) > 0 {
		s.scheduleTick()
	}
}
