package orders

import (
	"context"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/event"
	"goldcrestshore/core/version/group"
)

// script answers the copies of orders in turn: nil accepts, ErrRefused refuses and
// ErrNoAnswer leaves the copy open.
type script struct {
	mu      sync.Mutex
	answers []error
	report  group.Report
	copies  []group.Order
}

func (s *script) Report(context.Context) (group.Report, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.report, nil
}

func (s *script) Counts(context.Context) ([]int64, error)  { return []int64{1, 2}, nil }
func (s *script) Experts(context.Context) ([][]int, error) { return [][]int{{0}}, nil }

func (s *script) Order(ctx context.Context, o group.Order) error {
	s.mu.Lock()
	answer := ErrNoAnswer
	if n := len(s.copies); n < len(s.answers) {
		answer = s.answers[n]
	}
	s.copies = append(s.copies, o)
	s.mu.Unlock()
	if answer == ErrNoAnswer {
		<-ctx.Done()
	}
	return answer
}

func (s *script) sent() []group.Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]group.Order(nil), s.copies...)
}

func serving(t *testing.T, rank Rank) *Orders {
	t.Helper()
	log, err := event.NewLog(io.Discard, "error", "agent", "a")
	check.NoError(t, "NewLog", err)
	return &Orders{Clock: clock.System(), Log: log, Rank: rank}
}

// armed is the order under test, and the report of a rank that has carried it out.
var (
	arm    = group.Order{Op: int(group.Arm), Version: 7, Step: 40, Epoch: 1}
	before = group.Report{Epoch: 1, Sequence: 5, ArmedVersion: group.None, ArmedStep: group.None, HeldStep: group.None}
	after  = group.Report{Epoch: 1, Sequence: 5, ArmedVersion: 7, ArmedStep: 40, HeldStep: group.None}
)

// Guards against orders whose outcome is told wrongly: a change goes on with a rank
// that is not armed, or is taken back although all are.
func TestOutcomes(t *testing.T) {
	for _, tc := range []struct {
		name    string
		answers []error
		report  group.Report
		want    group.Outcome
		copies  int
	}{
		{"accepted", []error{nil}, before, group.Accepted, 1},
		{"refused", []error{ErrRefused}, before, group.Refused, 1},
		{"first copy lost", []error{ErrNoAnswer, nil}, before, group.Accepted, 2},
		{"refused after a copy that took effect", []error{ErrNoAnswer, ErrRefused}, after, group.Accepted, 2},
		{"refused after a copy that was lost", []error{ErrNoAnswer, ErrRefused}, before, group.Refused, 2},
		{"another epoch", nil, group.Report{Epoch: 2}, group.Refused, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rank := &script{answers: tc.answers, report: tc.report}
				reply := serving(t, rank).Serve(context.Background(), &group.Call{Term: 1, HasOrder: true, Order: arm})
				check.Equal(t, "outcome", group.Outcome(reply.Outcome), tc.want)
				check.Equal(t, "copies", len(rank.sent()), tc.copies)
				for _, o := range rank.sent() {
					check.Equal(t, "expected sequence", o.Expected, before.Sequence)
				}
			})
		})
	}
}

// Guards against a group that waits for the time-out of a lost copy before the next
// one is sent.
func TestCopiesFollowQuickly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rank := &script{answers: []error{ErrNoAnswer, ErrNoAnswer, ErrNoAnswer, nil}, report: before}
		began := time.Now()
		reply := serving(t, rank).Serve(context.Background(), &group.Call{Term: 1, HasOrder: true, Order: arm})
		check.Equal(t, "outcome", group.Outcome(reply.Outcome), group.Accepted)
		check.AtMost(t, "ms", time.Since(began).Milliseconds(), 100)
	})
}

// Guards against copies without end at a rank that is gone.
func TestAnOrderWithoutAnswerEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rank := &script{report: before}
		began := time.Now()
		reply := serving(t, rank).Serve(context.Background(), &group.Call{Term: 1, HasOrder: true, Order: arm})
		check.Equal(t, "outcome", group.Outcome(reply.Outcome), group.Unknown)
		check.AtMost(t, "ms", time.Since(began).Milliseconds(), int64(settleTime))
		check.AtMost(t, "copies", len(rank.sent()), 40)
	})
}

// Guards against orders of an owner that was replaced, and against an owner that is
// never missed.
func TestTerms(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rank := &script{answers: []error{nil}, report: before}
		s := serving(t, rank)
		s.Hear(5)
		time.Sleep(time.Second)
		reply := s.Serve(context.Background(), &group.Call{Term: 4, HasOrder: true, Order: arm})
		check.Equal(t, "outcome of the earlier owner", group.Outcome(reply.Outcome), group.Fenced)
		check.Equal(t, "copies", len(rank.sent()), 0)
		term, silent := s.Hear(0)
		check.Equal(t, "term", term, 5)
		check.Equal(t, "time since the owner was heard", silent, clock.Second)
	})
}

// Guards against a pace that is believed long after it was reported.
func TestPaceIsForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rank := &script{report: group.Report{Epoch: 1, Pace: 4}}
		s := serving(t, rank)
		s.Serve(context.Background(), &group.Call{Term: 1})
		check.Equal(t, "pace", s.Pace(), 4.0)
		time.Sleep(paceTime.Duration() + time.Millisecond)
		check.Equal(t, "pace after a while", s.Pace(), 0.0)
	})
}
