// Package orders carries out an owner's orders at the rank beside the agent.
//
// An order that gets no answer may take effect seconds later. It is sent again
// with the same expected sequence until the rank has answered, so that at most
// one of the copies takes effect and its outcome is known.
package orders

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/event"
	"goldcrestshore/core/version/group"
)

// Errors of a rank's answer to an order, for use with errors.Is.
var (
	// ErrRefused means that the order does not fit the rank's state.
	ErrRefused = errors.New("rank refused the order")
	// ErrNoAnswer means that the order may have been accepted or may be later.
	ErrNoAnswer = errors.New("rank did not answer the order")
)

const (
	// answerTimeout is how long an answer to an order is waited for.
	answerTimeout clock.Millis = 150
	// settleTime bounds the time for one order over all its copies.
	settleTime = 6 * clock.Second
	// retryPause is the time between two copies of an order.
	retryPause clock.Millis = 20
	// barrierSteps lies beyond any pass that a group reaches.
	barrierSteps = 1 << 40
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

	// turn is held while an order is carried out, so that orders of a later owner
	// follow those of an earlier one.
	turn turn

	termMu sync.Mutex
	term   int64
	heard  clock.Millis
}

// Hear notes the term of an owner that is alive, and returns the highest term
// with the time since its owner was heard.
func (s *Orders) Hear(term int64) (int64, clock.Millis) {
	s.termMu.Lock()
	defer s.termMu.Unlock()
	now := s.Clock.Now()
	if term > 0 && term >= s.term {
		s.term = term
		s.heard = now
	}
	if s.term == 0 {
		return 0, 0
	}
	return s.term, now - s.heard
}

// fenced tells whether a newer owner than that of the term is known.
func (s *Orders) fenced(term int64) bool {
	highest, _ := s.Hear(term)
	return term < highest
}

// Serve answers a call of an owner.
func (s *Orders) Serve(ctx context.Context, c *group.Call) *group.Reply {
	if !s.turn.take(ctx) {
		return &group.Reply{Outcome: int(group.Refused), Failure: ctx.Err().Error()}
	}
	defer s.turn.give()
	if s.fenced(c.Term) {
		return &group.Reply{Outcome: int(group.Fenced)}
	}
	reply := &group.Reply{}
	if c.HasOrder {
		reply.Outcome = int(s.settle(ctx, c.Order))
	}
	if c.HasOrder && c.NoReport {
		return reply
	}
	if err := s.inspect(ctx, c, reply); err != nil {
		reply.Failure = err.Error()
	}
	return reply
}

// inspect fills in what the call asks to know.
func (s *Orders) inspect(ctx context.Context, c *group.Call, reply *group.Reply) error {
	var err error
	if reply.Report, err = s.Rank.Report(ctx); err != nil {
		return errors.Wrap(err, "report")
	}
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

// settle sends an order until its outcome is known.
func (s *Orders) settle(ctx context.Context, o group.Order) group.Outcome {
	ctx, cancel := context.WithTimeout(ctx, settleTime.Duration())
	defer cancel()
	if o.Expected == 0 {
		before, err := s.Rank.Report(ctx)
		if err != nil || before.Epoch != o.Epoch {
			return group.Refused // nothing has been sent
		}
		o.Expected = before.Sequence
	}
	unanswered := 0
	for ctx.Err() == nil {
		err := s.sendOnce(ctx, o)
		switch {
		case err == nil:
			return group.Accepted
		case errors.Is(err, ErrRefused) && unanswered == 0:
			return group.Refused
		case errors.Is(err, ErrRefused):
			return s.afterTwin(ctx, o)
		}
		unanswered++
		if !clock.Sleep(ctx, retryPause) {
			break
		}
	}
	s.Log.Emit(event.OrderUnsettled, event.Fields{"op": group.Op(o.Op).String(), "version": o.Version, "step": o.Step, "copies": unanswered})
	return group.Unknown
}

func (s *Orders) sendOnce(ctx context.Context, o group.Order) error {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout.Duration())
	defer cancel()
	return s.Rank.Order(ctx, o)
}

// afterTwin tells the outcome when a copy was refused after another one got no
// answer. A sequence that has moved does not tell which order moved it, so the
// state decides; every copy is void then.
func (s *Orders) afterTwin(ctx context.Context, o group.Order) group.Outcome {
	now, err := s.Rank.Report(ctx)
	switch {
	case err != nil:
		return group.Unknown
	case now.Epoch != o.Epoch:
		return group.Refused
	case now.Sequence > o.Expected && holds(now, o):
		return group.Accepted
	}
	return group.Refused
}

// holds tells whether a rank is in the state that an order asks for.
func holds(r group.Report, o group.Order) bool {
	switch group.Op(o.Op) {
	case group.Prepare:
		return true // a copy under way does not show; the owner waits for its end
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

// Barrier makes orders void that an earlier process beside this rank may have
// sent without an answer: it moves the rank's sequence on.
func (s *Orders) Barrier(ctx context.Context) error {
	if !s.turn.take(ctx) {
		return ctx.Err()
	}
	defer s.turn.give()
	r, err := s.Rank.Report(ctx)
	if err != nil {
		return errors.Wrap(err, "report")
	}
	if !r.Open || r.Sequence == 0 {
		return nil // a rank that has accepted nothing has no pending order that fits
	}
	if r.HeldStep != group.None {
		return nil // the owner releases the hold, which moves the sequence
	}
	o := group.Order{Op: int(group.Hold), Step: r.Step + barrierSteps, Epoch: r.Epoch}
	if s.settle(ctx, o) != group.Accepted {
		return errors.Wrap(ErrRefused, "barrier")
	}
	o.Op = int(group.Release)
	if s.settle(ctx, o) != group.Accepted {
		return errors.Wrap(ErrRefused, "end of barrier")
	}
	return nil
}
