package forward

import (
	"context"
	"sync"
	"time"

	"goldcrestshore/core/process/clock"
	"goldcrestshore/entry/request/balance"
	"goldcrestshore/entry/version/fleet"
)

// tickInterval is how often waiting requests are looked at again while no
// request ends.
const tickInterval clock.Millis = 20

// Scheduler runs the decisions of a balancer for the requests of an entry. It
// is safe for use by several goroutines.
type Scheduler struct {
	// Clock and Balancer are set before use.
	Clock    *clock.Clock
	Balancer *balance.Balancer

	mu      sync.Mutex
	waiting map[*balance.Ticket]chan balance.Decision
	ticking bool
}

// SetView passes a new view on.
func (s *Scheduler) SetView(v *fleet.View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Balancer.SetView(v)
}

// WithBalancer calls f while no other decision is made.
func (s *Scheduler) WithBalancer(f func(now clock.Millis, b *balance.Balancer)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.Clock.Now(), s.Balancer)
}

// acquire waits for an upstream. It returns a Grant or a Reject, or nil when
// ctx ends first.
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

// cancelWait takes a ticket out of the queue; a grant that came meanwhile is kept.
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

// deliver passes decisions to those who wait for them.
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

// scheduleTick looks at the queues while any request waits.
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
