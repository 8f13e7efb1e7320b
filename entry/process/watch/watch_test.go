package watch

import (
	"context"
	"io"
	"sync/atomic"
	"testing"

	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/event"
)

// script is a source whose watches end as the test says.
type script struct {
	name    string
	lists   atomic.Int64
	watched chan int64
	answers chan error
}

func newScript(name string) *script {
	return &script{name: name, watched: make(chan int64, 100), answers: make(chan error)}
}

func (s *script) Name() string { return s.name }

func (s *script) List(context.Context) (int64, error) { return 10 * s.lists.Add(1), nil }

// Watch waits for the test or the end of ctx, like a watch that the store has
// lost.
func (s *script) Watch(ctx context.Context, after int64, _ clock.Millis) (int64, error) {
	s.watched <- after
	select {
	case err := <-s.answers:
		return after + 1, err
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

func start(t *testing.T, sources ...*script) *Watcher {
	t.Helper()
	log, err := event.NewLog(io.Discard, "error", "test", "test")
	check.NoError(t, "NewLog", err)
	w := &Watcher{Clock: clock.System(), Log: log}
	for _, s := range sources {
		w.Sources = append(w.Sources, s)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		w.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return w
}

// Guards against a watch that goes on from another revision than its answer.
func TestWatchGoesOnFromItsAnswer(t *testing.T) {
	s := newScript("a")
	start(t, s)
	check.Equal(t, "first watch", <-s.watched, 10)
	s.answers <- nil
	check.Equal(t, "next watch", <-s.watched, 11)
}

// Guards against a view that stays outdated when the store has lost waiting
// watches without an answer.
func TestALostWatchMakesAllKindsBeListedAgain(t *testing.T) {
	for _, tc := range []struct {
		name string
		err  error
	}{
		{"no answer", ErrUnavailable},
		{"history gone", ErrHistoryGone},
	} {
		t.Run(tc.name, func(t *testing.T) {
			first, other := newScript("first"), newScript("other")
			start(t, first, other)
			<-first.watched
			<-other.watched
			first.answers <- tc.err
			check.Equal(t, "first is watched from a new list", <-first.watched, 20)
			check.Equal(t, "other is watched from a new list", <-other.watched, 20)
		})
	}
}

// Guards against trust in what was known before the process stood still.
func TestResetListsAgain(t *testing.T) {
	s := newScript("a")
	w := start(t, s)
	<-s.watched
	w.Reset()
	check.Equal(t, "watch after reset", <-s.watched, 20)
}
