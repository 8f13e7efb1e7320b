// Package orders executes the orders of map owners at the agent's rank.
//
// An order without a reply may still take effect seconds later, and not every order
// advances the rank's sequence number, which would invalidate it. Orders are therefore
// resent until the rank replies. Owners of maps arrange their orders so that late
// duplicates are harmless.
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

// Errors returned by Rank.Order, for use with errors.Is.
var (
	// ErrRefused means that the order is not valid in the rank's state.
	ErrRefused = errors.New("rank refused the order")
	// ErrNoReply means that the order may have been accepted, or may still be.
	ErrNoReply = errors.New("no reply from the rank to the order")
)

const (
	// replyTimeout bounds the wait for the reply to each copy of an order.
	replyTimeout clock.Millis = 250
	// orderTimeout bounds the execution of one order, including all copies.
	orderTimeout = 6 * clock.Second
	// resendInterval is the delay before an order without a reply is resent. It is
	// short because the group may be stalled meanwhile.
	resendInterval clock.Millis = 20
	// copiesBeforeBackoff is the number of copies after which the interval doubles
	// each time, up to maxResendInterval.
	copiesBeforeBackoff              = 12
	maxResendInterval   clock.Millis = 320
)

// Rank is the replica that the agent serves.
type Rank interface {
	Report(ctx context.Context) (group.Report, error)
	// Counts returns the rank's cumulative routed tokens by layer and expert.
	Counts(ctx context.Context) ([]int64, error)
	// Experts returns the rank's experts by layer in the current map.
	Experts(ctx context.Context) ([][]int, error)
	// Order sends an order once.
	Order(ctx context.Context, o group.Order) error
}

// Executor serves calls of map owners. Exported fields must be set before use.
type Executor struct {
	Clock *clock.Clock
	Log   *event.Log
	Rank  Rank

	// mutex serializes calls, so that orders of a later owner follow those of an
	// earlier one.
	mutex mutex

	termMu         sync.Mutex
	term           int64
	termReceivedAt clock.Millis

	statusMu sync.Mutex
	status   rankStatus
}

// RecordTerm records the term of a live owner, 0 for none. It returns the highest
// term and the time since it was last received.
func (e *Executor) RecordTerm(term int64) (int64, clock.Millis) {
	e.termMu.Lock()
	defer e.termMu.Unlock()
	now := e.Clock.Now()
	if term > 0 && term >= e.term {
		e.term = term
		e.termReceivedAt = now
	}
	if e.term == 0 {
		return 0, 0
	}
	return e.term, now - e.termReceivedAt
}

// fenced records the term and reports whether a newer one has been received.
func (e *Executor) fenced(term int64) bool {
	highest, _ := e.RecordTerm(term)
	return term < highest
}

// Serve executes a call of an owner and returns the reply.
func (e *Executor) Serve(ctx context.Context, c *group.Call) *group.Reply {
	if !e.mutex.lock(ctx) {
		return &group.Reply{Outcome: int(group.Refused), Failure: ctx.Err().Error()}
	}
	defer e.mutex.unlock()
	if e.fenced(c.Term) {
		return &group.Reply{Outcome: int(group.Fenced)}
	}
	if c.HasOrder {
		return &group.Reply{Outcome: int(e.execute(ctx, c.Order))}
	}
	reply := &group.Reply{}
	if err := e.fillReply(ctx, c, reply); err != nil {
		reply.Failure = err.Error()
	}
	return reply
}

// fillReply sets the fields of reply that the call requests. Without counts or lists of experts
// the report still counts: a pending change can only be resolved through all ranks.
func (e *Executor) fillReply(ctx context.Context, c *group.Call, reply *group.Reply) error {
	var err error
	if reply.Report, err = e.Rank.Report(ctx); err != nil {
		return errors.Wrap(err, "report")
	}
	e.recordStatus(&reply.Report)
	if c.WantCounts {
		if reply.Counts, err = e.Rank.Counts(ctx); err != nil {
			reply.Counts = nil
			e.Log.Error(event.RankUnreachable, err, event.Fields{"query": "counts"})
		}
	}
	if c.WantMap {
		if reply.Experts, err = e.Rank.Experts(ctx); err != nil {
			reply.Experts = nil
			e.Log.Error(event.RankUnreachable, err, event.Fields{"query": "experts"})
		}
	}
	return nil
}

// execute sends copies of an order until its outcome is known or orderTimeout
// elapses.
func (e *Executor) execute(ctx context.Context, o group.Order) group.Outcome {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout.Duration())
	defer cancel()
	initial, err := e.Rank.Report(ctx)
	if err != nil || initial.Epoch != o.Epoch {
		return group.Refused // nothing has been sent
	}
	o.Expected = initial.Sequence
	copies, err := e.sendUntilReply(ctx, o)
	switch {
	case err == nil:
		return group.Accepted
	case errors.Is(err, ErrRefused) && copies == 1:
		return group.Refused
	case errors.Is(err, ErrRefused):
		return e.outcomeAfterDuplicate(ctx, o)
	}
	e.Log.Emit(event.OrderUnresolved, event.Fields{"op": group.Op(o.Op).String(), "version": o.Version, "step": o.Step, "copies": copies})
	return group.Unknown
}

// sendUntilReply resends an order after each interval until the rank replies to a
// copy or ctx is done. It returns the number of copies and the reply. It continues to
// wait for earlier copies, whose replies may be slow rather than lost.
func (e *Executor) sendUntilReply(ctx context.Context, o group.Order) (int, error) {
	replies := make(chan error)
	interval := resendInterval
	for copies := 1; ; copies++ {
		go func() {
			err := e.sendOnce(ctx, o)
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

// awaitReply returns the first reply of the rank within timeout, ErrNoReply if there
// is none.
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

func (e *Executor) sendOnce(ctx context.Context, o group.Order) error {
	ctx, cancel := context.WithTimeout(ctx, replyTimeout.Duration())
	defer cancel()
	return e.Rank.Order(ctx, o)
}

// outcomeAfterDuplicate determines the outcome from the state of the rank, for when a
// copy was refused after an earlier copy got no reply.
func (e *Executor) outcomeAfterDuplicate(ctx context.Context, o group.Order) group.Outcome {
	current, err := e.Rank.Report(ctx)
	switch {
	case err != nil:
		return group.Unknown
	case current.Epoch == o.Epoch && satisfies(current, o):
		return group.Accepted
	}
	return group.Refused
}

// satisfies reports whether a rank is in the state that an order requests.
func satisfies(r group.Report, o group.Order) bool {
	switch group.Op(o.Op) {
	case group.Prepare:
		return r.ArmedVersion == group.None // a copy in progress is not reported; the owner waits for it
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
