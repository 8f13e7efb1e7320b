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

// scriptedRank replies to successive copies of an order: nil accepts, ErrRefused
// refuses and ErrNoReply sends no reply.
type scriptedRank struct {
	mu      sync.Mutex
	replies []error
	report  group.Report
	copies  []group.Order
	// queryError, if not nil, is returned by queries other than for the report.
	queryError error
}

func (s *scriptedRank) Report(context.Context) (group.Report, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.report, nil
}

func (s *scriptedRank) Counts(context.Context) ([]int64, error)  { return []int64{1, 2}, s.queryError }
func (s *scriptedRank) Experts(context.Context) ([][]int, error) { return [][]int{{0}}, s.queryError }

func (s *scriptedRank) Order(ctx context.Context, o group.Order) error {
	s.mu.Lock()
	reply := ErrNoReply
	if n := len(s.copies); n < len(s.replies) {
		reply = s.replies[n]
	}
	s.copies = append(s.copies, o)
	s.mu.Unlock()
	if reply == ErrNoReply {
		<-ctx.Done()
	}
	return reply
}

func (s *scriptedRank) sent() []group.Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]group.Order(nil), s.copies...)
}

func newExecutor(t *testing.T, rank Rank) *Executor {
	t.Helper()
	log, err := event.NewLog(io.Discard, "error", "agent", "a")
	check.NoError(t, "NewLog", err)
	return &Executor{Clock: clock.System(), Log: log, Rank: rank}
}

// The order under test, and the reports of a rank before and after executing it.
var (
	armOrder     = group.Order{Op: int(group.Arm), Version: 7, Step: 40, Epoch: 1}
	reportBefore = group.Report{Epoch: 1, Sequence: 5, ArmedVersion: group.None, ArmedStep: group.None, HeldStep: group.None}
	reportAfter  = group.Report{Epoch: 1, Sequence: 5, ArmedVersion: 7, ArmedStep: 40, HeldStep: group.None}
)

// Guards against wrong outcomes of orders: the owner would continue a change although
// a rank is not armed, or roll it back although all ranks are.
func TestOrderOutcomes(t *testing.T) {
	for _, tc := range []struct {
		name    string
		replies []error
		report  group.Report
		want    group.Outcome
		copies  int
	}{
		{"accepted", []error{nil}, reportBefore, group.Accepted, 1},
		{"refused", []error{ErrRefused}, reportBefore, group.Refused, 1},
		{"first copy lost", []error{ErrNoReply, nil}, reportBefore, group.Accepted, 2},
		{"refused after a copy that took effect", []error{ErrNoReply, ErrRefused}, reportAfter, group.Accepted, 2},
		{"refused after a copy that was lost", []error{ErrNoReply, ErrRefused}, reportBefore, group.Refused, 2},
		{"another epoch", nil, group.Report{Epoch: 2}, group.Refused, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rank := &scriptedRank{replies: tc.replies, report: tc.report}
				reply := newExecutor(t, rank).Serve(context.Background(), &group.Call{Term: 1, HasOrder: true, Order: armOrder})
				check.Equal(t, "outcome", group.Outcome(reply.Outcome), tc.want)
				check.Equal(t, "copies", len(rank.sent()), tc.copies)
				for _, o := range rank.sent() {
					check.Equal(t, "expected sequence", o.Expected, reportBefore.Sequence)
				}
			})
		})
	}
}

// Guards against waiting for the timeout of a lost copy before resending the order,
// which stalls the group.
func TestLostCopyIsResentQuickly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rank := &scriptedRank{replies: []error{ErrNoReply, ErrNoReply, ErrNoReply, nil}, report: reportBefore}
		start := time.Now()
		reply := newExecutor(t, rank).Serve(context.Background(), &group.Call{Term: 1, HasOrder: true, Order: armOrder})
		check.Equal(t, "outcome", group.Outcome(reply.Outcome), group.Accepted)
		check.AtMost(t, "ms", time.Since(start).Milliseconds(), 100)
	})
}

// Guards against resending an order indefinitely to a terminated rank.
func TestOrderWithoutReplyTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rank := &scriptedRank{report: reportBefore}
		start := time.Now()
		reply := newExecutor(t, rank).Serve(context.Background(), &group.Call{Term: 1, HasOrder: true, Order: armOrder})
		check.Equal(t, "outcome", group.Outcome(reply.Outcome), group.Unknown)
		check.AtMost(t, "ms", time.Since(start).Milliseconds(), int64(orderTimeout))
		check.AtMost(t, "copies", len(rank.sent()), 40)
	})
}

// Guards against executing orders of an owner that was replaced, and against refreshing
// the age of the owner's term without receiving it.
func TestEarlierTermIsFenced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rank := &scriptedRank{replies: []error{nil}, report: reportBefore}
		s := newExecutor(t, rank)
		s.RecordTerm(5)
		time.Sleep(time.Second)
		reply := s.Serve(context.Background(), &group.Call{Term: 4, HasOrder: true, Order: armOrder})
		check.Equal(t, "outcome of the earlier owner", group.Outcome(reply.Outcome), group.Fenced)
		check.Equal(t, "copies", len(rank.sent()), 0)
		term, age := s.RecordTerm(0)
		check.Equal(t, "term", term, 5)
		check.Equal(t, "time since the term was last received", age, clock.Second)
	})
}

// Guards against using a slowdown long after it was reported.
func TestSlowdownExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rank := &scriptedRank{report: group.Report{Epoch: 1, Slowdown: 4}}
		s := newExecutor(t, rank)
		s.Serve(context.Background(), &group.Call{Term: 1})
		check.Equal(t, "slowdown", s.Slowdown(), 4.0)
		time.Sleep(slowdownMaxAge.Duration() + time.Millisecond)
		check.Equal(t, "slowdown after slowdownMaxAge", s.Slowdown(), 0.0)
	})
}

// Guards against entries that learn nothing of a closed group while no owner queries
// its ranks, as after a restart of all processes, and against a state that outlives
// the rank.
func TestStatusIsQueriedWithoutOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rank := &scriptedRank{report: group.Report{Epoch: 1}}
		s := newExecutor(t, rank)
		check.Equal(t, "state before the first query", s.GroupState(), group.StateUnknown)
		ctx, cancel := context.WithCancel(context.Background())
		go s.QueryStatus(ctx)
		time.Sleep(StatusInterval.Duration() + time.Millisecond)
		check.Equal(t, "state of a closed group", s.GroupState(), group.StateClosed)
		rank.mu.Lock()
		rank.report.Open = true
		rank.mu.Unlock()
		time.Sleep(2 * StatusInterval.Duration())
		check.Equal(t, "state after it has opened", s.GroupState(), group.StateOpen)
		cancel()
		time.Sleep(stateMaxAge.Duration() + time.Millisecond)
		check.Equal(t, "state without reports", s.GroupState(), group.StateUnknown)
	})
}

// Guards against a rank that counts as missing, so that a change is not resolved and the group
// waits, because its counts or lists of experts can't be read.
func TestReportWithoutCountsAndExperts(t *testing.T) {
	rank := &scriptedRank{report: reportAfter, queryError: ErrNoReply}
	reply := newExecutor(t, rank).Serve(context.Background(), &group.Call{Term: 1, WantCounts: true, WantMap: true})
	check.Equal(t, "failure", reply.Failure, "")
	check.Equal(t, "armed version", reply.Report.ArmedVersion, reportAfter.ArmedVersion)
	check.Equal(t, "counts", len(reply.Counts), 0)
	check.Equal(t, "layers", len(reply.Experts), 0)
}
