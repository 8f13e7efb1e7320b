// Package orders carries out an owner's orders at the rank beside the agent.
//
// An order that gets no answer may take effect seconds later, and not every order
// moves the sequence that would make it void. It is sent again until the rank has
// answered. Owners of maps arrange their orders so that a late copy does no harm.
package orders

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/event"
	"goldcrestshore/core/version/group"
)

// Errors of a rank's answer to an order, for use with errors.Is.
var (
	// ErrRefused means that the order does not fit the rank's state.
	ErrRefused = errors.New("rank refused the order")
	// ErrNoReply means that the order may have been accepted or may be later.
	ErrNoReply = errors.New("rank did not answer the order")
)

const (
	// replyTimeout is how long the answer to a copy of an order is waited for.
	replyTimeout clock.Millis = 250
	// orderTimeout bounds the time for one order over all its copies.
	orderTimeout = 6 * clock.Second
	// resendInterval is the time after which the next copy of an order is sent while
	// no answer has come; the group may stand still meanwhile.
	resendInterval clock.Millis = 20
	// copiesBeforeBackoff is the number of copies after which the pause doubles each time,
	// up to mostCopyPause.
	copiesBeforeBackoff              = 12
	maxResendInterval   clock.Millis = 320
)

// Rank is the replica beside the agent.
type Rank interface {
	Report(ctx context.Context) (group.Report, error)
	// Counts returns the rank's cumulative choices by layer and expert.
	Counts(ctx context.Context) ([]int64, error)
	// Experts returns the experts of the rank by layer in the map in use.
	Experts(ctx context.Context) ([][]int, error)
	// Order sends an order once.
	Order(ctx context.Context, o group.Order) error
}

// Orders serves owners of maps. Exported fields are set before use.
type Orders struct {
	Clock *clock.Clock
	Log   *event.Log
	Rank  Rank

	// mutex is held while an order is carried out, so that orders of a later owner
	// follow those of an earlier one.
	mutex mutex

	termMu         sync.Mutex
	term           int64
	termReceivedAt clock.Millis

	slowdownMu sync.Mutex
	slowdown   float64
	slowdownAt clock.Millis
}

// RecordTerm notes the term of an owner that is alive, and returns the highest term
// with the time since its owner was heard.
func (s *Orders) RecordTerm(term int64) (int64, clock.Millis) {
	s.termMu.Lock()
	defer s.termMu.Unlock()
	now := s.Clock.Now()
	if term > 0 && term >= s.term {
		s.term = term
		s.termReceivedAt = now
	}
	if s.term == 0 {
		return 0, 0
	}
	return s.term, now - s.termReceivedAt
}

// fenced tells whether a newer owner than that of the term is known.
func (s *Orders) fenced(term int64) bool {
	highest, _ := s.RecordTerm(term)
	return term < highest
}

// slowdownMaxAge is how long the pace of the last report is believed.
const slowdownMaxAge = 2 * clock.Second

func (s *Orders) recordSlowdown(slowdown float64) {
	s.slowdownMu.Lock()
	defer s.slowdownMu.Unlock()
	s.slowdown, s.slowdownAt = slowdown, s.Clock.Now()
}

// Pace returns how many times as long the rank's work takes as usual, 0 when no
// owner has asked lately.
func (s *Orders) Pace() float64 {
	s.slowdownMu.Lock()
	defer s.slowdownMu.Unlock()
	if s.Clock.Now()-s.slowdownAt > slowdownMaxAge {
		return 0
	}
	return s.slowdown
}

// Serve answers a call of an owner.
func (s *Orders) Serve(ctx context.Context, c *group.Call) *group.Reply {
	if !s.mutex.lock(ctx) {
		return &group.Reply{Outcome: int(group.Refused), Failure: ctx.Err().Error()}
	}
	defer s.mutex.unlock()
	if s.fenced(c.Term) {
		return &group.Reply{Outcome: int(group.Fenced)}
	}
	if c.HasOrder {
		return &group.Reply{Outcome: int(s.execute(ctx, c.Order))}
	}
	reply := &group.Reply{}
	if err := s.fillReply(ctx, c, reply); err != nil {
		reply.Failure = err.Error()
	}
	return reply
}

// fillReply fills in what the call asks to know.
func (s *Orders) fillReply(ctx context.Context, c *group.Call, reply *group.Reply) error {
	var err error
	if reply.Report, err = s.Rank.Report(ctx); err != nil {
		return errors.Wrap(err, "report")
	}
	s.recordSlowdown(reply.Report.Pace)
	if c.WantCounts {
		if reply.Counts, err = s.Rank.Counts(ctx); err != nil {
			return errors.Wrap(err, "counts")
		}
	}
	if c.WantMap {
		if reply.Experts, err = s.Rank.Experts(ctx); err != nil {
			return errors.Wrap(err, "experts")
		}
	}
	return nil
}

// execute sends copies of an order until its outcome is known.
func (s *Orders) execute(ctx context.Context, o group.Order) group.Outcome {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout.Duration())
	defer cancel()
	initial, err := s.Rank.Report(ctx)
	if err != nil || initial.Epoch != o.Epoch {
		return group.Refused // nothing has been sent
	}
	o.Expected = initial.Sequence
	copies, err := s.sendUntilReply(ctx, o)
	switch {
	case err == nil:
		return group.Accepted
	case errors.Is(err, ErrRefused) && copies == 1:
		return group.Refused
	case errors.Is(err, ErrRefused):
		return s.outcomeAfterDuplicate(ctx, o)
	}
	s.Log.Emit(event.OrderUnsettled, event.Fields{"op": group.Op(o.Op).String(), "version": o.Version, "step": o.Step, "copies": copies})
	return group.Unknown
}

// sendUntilReply sends an order again after each pause until a copy is answered or
// ctx ends, and returns the number of copies with the answer. Earlier copies are
// still waited for: a slow answer is no lost one.
func (s *Orders) sendUntilReply(ctx context.Context, o group.Order) (int, error) {
	replies := make(chan error)
	interval := resendInterval
	for copies := 1; ; copies++ {
		go func() {
			err := s.sendOnce(ctx, o)
			select {
			case replies <- err:
			case <-ctx.Done():
			}
		}()
		if copies > copiesBeforeBackoff {
			interval = min(2*interval, maxResendInterval)
		}
		err := awaitReply(ctx, replies, interval)
		if err == nil || errors.Is(err, ErrRefused) || ctx.Err() != nil {
			return copies, err
		}
	}
}

// awaitReply returns the first answer of a rank within the pause, ErrNoAnswer
// when none comes.
func awaitReply(ctx context.Context, replies <-chan error, timeout clock.Millis) error {
	timer := time.NewTimer(timeout.Duration())
	defer timer.Stop()
	for {
		select {
		case err := <-replies:
			if err == nil || errors.Is(err, ErrRefused) {
				return err
			}
		case <-timer.C:
			return ErrNoReply
		case <-ctx.Done():
			return ErrNoReply
		}
	}
}

func (s *Orders) sendOnce(ctx context.Context, o group.Order) error {
	ctx, cancel := context.WithTimeout(ctx, replyTimeout.Duration())
	defer cancel()
	return s.Rank.Order(ctx, o)
}

// outcomeAfterDuplicate tells the outcome when a copy was refused after another one got no
// answer: the state of the rank decides.
func (s *Orders) outcomeAfterDuplicate(ctx context.Context, o group.Order) group.Outcome {
	current, err := s.Rank.Report(ctx)
	switch {
	case err != nil:
		return group.Unknown
	case current.Epoch == o.Epoch && satisfies(current, o):
		return group.Accepted
	}
	return group.Refused
}

// satisfies tells whether a rank is in the state that an order asks for.
func satisfies(r group.Report, o group.Order) bool {
	switch group.Op(o.Op) {
	case group.Prepare:
		return r.ArmedVersion == group.None // a copy under way does not show; the owner waits for its end
	case group.Arm:
		return r.Map == o.Version || (r.ArmedVersion == o.Version && r.ArmedStep == o.Step)
	case group.Disarm:
		return r.ArmedVersion != o.Version
	case group.Hold:
		return r.HeldStep == o.Step
	case group.Release:
		return r.HeldStep != o.Step
	}
	return false
}
