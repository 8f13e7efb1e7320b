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

// scriptedSource is a Source whose watches return the results that the test sends.
type scriptedSource struct {
	name    string
	lists   atomic.Int64
	watched chan int64
	results chan error
}

func newScriptedSource(name string) *scriptedSource {
	return &scriptedSource{name: name, watched: make(chan int64, 100), results: make(chan error)}
}

func (s *scriptedSource) Name() string { return s.name }

func (s *scriptedSource) List(context.Context) (int64, error) { return 10 * s.lists.Add(1), nil }

// Watch waits for a result from the test. Without one it waits for ctx, like a
// watch that the store has lost.
func (s *scriptedSource) Watch(ctx context.Context, after int64, _ clock.Millis) (int64, error) {
	s.watched <- after
	select {
	case err := <-s.results:
		return after + 1, err
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

func startWatcher(t *testing.T, sources ...*scriptedSource) *Watcher {
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

// Guards against a watch that continues from another revision than the one that the
// previous watch returned.
func TestWatchContinuesFromReturnedRevision(t *testing.T) {
	s := newScriptedSource("a")
	startWatcher(t, s)
	check.Equal(t, "first watch", <-s.watched, 10)
	s.results <- nil
	check.Equal(t, "next watch", <-s.watched, 11)
}

// Guards against a view that stays outdated after the store has lost pending
// watches without a response.
func TestLostWatchRelistsAllKinds(t *testing.T) {
	for _, tc := range []struct {
		name string
		err  error
	}{
		{"no response", ErrUnavailable},
		{"history gone", ErrHistoryGone},
	} {
		t.Run(tc.name, func(t *testing.T) {
			first, other := newScriptedSource("first"), newScriptedSource("other")
			startWatcher(t, first, other)
			<-first.watched
			<-other.watched
			first.results <- tc.err
			check.Equal(t, "first is watched from a new list", <-first.watched, 20)
			check.Equal(t, "other is watched from a new list", <-other.watched, 20)
		})
	}
}

// Guards against relying on state from before the process was paused.
func TestResetRelists(t *testing.T) {
	s := newScriptedSource("a")
	w := startWatcher(t, s)
	<-s.watched
	w.Reset()
	check.Equal(t, "watch after reset", <-s.watched, 20)
}
