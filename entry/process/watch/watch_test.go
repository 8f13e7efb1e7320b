package watch

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/event"
	"goldcrestshore/core/version/snapshot"
)

// errLost is the error of a call whose response was lost.
var errLost = errors.Wrap(context.DeadlineExceeded, "lost")

// testMaxDelay is the bound of the kinds in tests.
const testMaxDelay = 2 * clock.Second

// scriptedSource is a Source whose watches return the results that the test sends.
type scriptedSource struct {
	name  string
	lists atomic.Int64
	// losesLists makes lists get no response.
	losesLists atomic.Bool
	watched    chan watchCall
	results    chan error
}

// watchCall has the arguments of a watch.
type watchCall struct {
	after snapshot.Position
	wait  clock.Millis
}

func newScriptedSource(name string) *scriptedSource {
	return &scriptedSource{name: name, watched: make(chan watchCall, 100), results: make(chan error)}
}

func (s *scriptedSource) Name() string { return s.name }

func (s *scriptedSource) MaxDelay() clock.Millis { return testMaxDelay }

func (s *scriptedSource) List(context.Context) (snapshot.Position, error) {
	revision := 10 * s.lists.Add(1)
	if s.losesLists.Load() {
		return snapshot.Position{}, errLost
	}
	return snapshot.Position{Revision: revision}, nil
}

// Watch waits for a result from the test. Without one it waits for ctx, like a
// watch that the store has lost.
func (s *scriptedSource) Watch(ctx context.Context, after snapshot.Position, wait clock.Millis) (snapshot.Position, bool, error) {
	s.watched <- watchCall{after, wait}
	select {
	case err := <-s.results:
		after.Revision++
		return after, true, err
	case <-ctx.Done():
		return snapshot.Position{}, false, ctx.Err()
	}
}

func startWatcher(t *testing.T, sources ...Source) *Watcher {
	t.Helper()
	log, err := event.NewLog(io.Discard, "error", "test", "test")
	check.NoError(t, "NewLog", err)
	w := &Watcher{Clock: clock.System(), Log: log, Sources: sources}
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
	check.Equal(t, "first watch", (<-s.watched).after.Revision, 10)
	s.results <- nil
	check.Equal(t, "next watch", (<-s.watched).after.Revision, 11)
}

// Guards against a view that stays outdated after the store has discarded its history: other
// watches that wait may have missed changes, too.
func TestDiscardedHistoryRelistsAllKinds(t *testing.T) {
	first, other := newScriptedSource("first"), newScriptedSource("other")
	startWatcher(t, first, other)
	<-first.watched
	<-other.watched
	first.results <- ErrHistoryGone
	check.Equal(t, "first is watched from a new list", (<-first.watched).after.Revision, 20)
	check.Equal(t, "other is watched from a new list", (<-other.watched).after.Revision, 20)
}

// Guards against a watch without a response that is followed by another one, which does not show
// whether the store responds, and which lacks what the store did not tell the first one.
func TestKindIsListedAfterLostResponse(t *testing.T) {
	for name, err := range map[string]error{"lost": errLost, "cut off": ErrUnavailable} {
		t.Run(name, func(t *testing.T) {
			s := newScriptedSource("a")
			startWatcher(t, s)
			<-s.watched
			s.results <- err
			check.Equal(t, "next watch", <-s.watched, watchCall{snapshot.Position{Revision: 20}, waitFor(testMaxDelay)})
		})
	}
}

// Guards against an outage that is reported for a single lost response, and against one that is
// not reported.
func TestSecondLostResponseIsAnOutage(t *testing.T) {
	s := newScriptedSource("a")
	w := startWatcher(t, s)
	<-s.watched
	s.results <- errLost
	<-s.watched
	check.Equal(t, "available after one lost response", w.StoreAvailable(), true)
	s.losesLists.Store(true)
	before := s.lists.Load()
	s.results <- errLost
	for s.lists.Load() < before+2 { // the second list follows the pause after the first one
		time.Sleep(time.Millisecond)
	}
	check.Equal(t, "available after two lost responses", w.StoreAvailable(), false)
}

// goneSource is a Source whose history the store always reports as discarded.
type goneSource struct{ lists atomic.Int64 }

func (s *goneSource) Name() string { return "gone" }

func (s *goneSource) MaxDelay() clock.Millis { return testMaxDelay }

func (s *goneSource) List(context.Context) (snapshot.Position, error) {
	return snapshot.Position{Revision: s.lists.Add(1)}, nil
}

func (s *goneSource) Watch(context.Context, snapshot.Position, clock.Millis) (snapshot.Position, bool, error) {
	return snapshot.Position{}, false, ErrHistoryGone
}

// Guards against lists and watches without a pause, at the expense of the store and of all
// its other users, while the store reports the history since each list as discarded.
func TestRepeatedlyDiscardedHistoryIsListedWithPauses(t *testing.T) {
	first, second := &goneSource{}, &goneSource{}
	startWatcher(t, first, second)
	time.Sleep((5 * minBackoff).Duration())
	check.Equal(t, "listed again", first.lists.Load() > 1, true)
	// Each of the two relists the other one as well.
	check.AtMost(t, "lists", first.lists.Load()+second.lists.Load(), 30)
}

// Guards against a watch that goes on from a position that the store no longer has after it
// was restored during a call.
func TestRestoreRelists(t *testing.T) {
	s := newScriptedSource("a")
	startWatcher(t, s)
	<-s.watched
	s.results <- ErrRestored
	check.Equal(t, "watch after a restore", (<-s.watched).after.Revision, 20)
}

// Guards against relying on state from before the process was paused.
func TestResetRelists(t *testing.T) {
	s := newScriptedSource("a")
	w := startWatcher(t, s)
	<-s.watched
	w.Reset()
	check.Equal(t, "watch after reset", (<-s.watched).after.Revision, 20)
}
