// Package watch keeps an entry's view in step with the store: it lists each
// kind of object once and then follows the changes.
package watch

import (
	"context"
	"math/rand/v2"
	"sync"

	"github.com/cockroachdb/errors"

	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/event"
)

// Errors that a Source returns.
var (
	// ErrHistoryGone means that changes since the revision are no longer known.
	ErrHistoryGone = errors.New("store has discarded the history since that revision")
	// ErrUnavailable means that the store did not answer the call.
	ErrUnavailable = errors.New("store did not answer")
)

// Times of the calls.
const (
	// sentinelTime and watchTime are how long a watch waits for a change; each
	// answered watch counts as a call. A watch may be lost without an answer, and
	// then all are: the first source, which waits for less, shows it.
	sentinelTime = 1800 * clock.Millis(1)
	watchTime    = 20 * clock.Second
	// firstPause and longestPause bound the time between failed calls.
	firstPause   clock.Millis = 100
	longestPause clock.Millis = 800
	// gatherTime is left between an answered watch and the next one, so that
	// changes that come together take one call.
	gatherTime clock.Millis = 250
	// pauseSpread keeps entries that fail together from calling together.
	pauseSpread = 0.5
	// contactTime is how long after the last answer a view counts as current
	// while calls fail.
	contactTime = 1500
)

// Source is one kind of object in the store.
type Source interface {
	// Name identifies the kind in logs.
	Name() string
	// List reads all objects, applies them and returns the store's revision.
	List(ctx context.Context) (int64, error)
	// Watch waits for changes after a revision, applies them and returns the
	// revision to go on from.
	Watch(ctx context.Context, after int64, wait clock.Millis) (int64, error)
}

// Watcher follows several kinds. Exported fields are set before Run.
type Watcher struct {
	Clock *clock.Clock
	Log   *event.Log
	// Sources are the kinds; the first one shows whether watches are answered.
	Sources []Source

	mu     sync.Mutex
	failed []clock.Millis
	cancel []context.CancelFunc
	relist []bool
	// mirrored is when another entry last told what the store holds.
	mirrored clock.Millis
}

// Run follows all kinds until ctx is done.
func (w *Watcher) Run(ctx context.Context) {
	w.mu.Lock()
	w.failed = make([]clock.Millis, len(w.Sources))
	w.cancel = make([]context.CancelFunc, len(w.Sources))
	w.relist = make([]bool, len(w.Sources))
	for i := range w.failed {
		w.failed[i] = 1 // no answer yet
	}
	w.mu.Unlock()
	var running sync.WaitGroup
	for i := range w.Sources {
		running.Go(func() { w.follow(ctx, i) })
	}
	running.Wait()
}

// Current tells whether every kind has been read and none has been failing for
// longer than contactTime. A view that is not current may lack newer routes
// and keys.
func (w *Watcher) Current(now clock.Millis) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.failed == nil {
		return false
	}
	if w.mirrored > 0 && now-w.mirrored <= contactTime {
		return true
	}
	for _, since := range w.failed {
		if since > 0 && now-since > contactTime {
			return false
		}
	}
	return true
}

// Served tells whether the store itself answers for every kind.
func (w *Watcher) Served() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, since := range w.failed {
		if since > 0 {
			return false
		}
	}
	return w.failed != nil
}

// Mirrored notes that another entry, which the store serves, has told what the
// store holds.
func (w *Watcher) Mirrored() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.mirrored = w.Clock.Now()
}

// Reset ends the calls in progress and reads everything again, for use after
// the process stood still.
func (w *Watcher) Reset() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range w.cancel {
		if w.failed[i] == 0 {
			w.failed[i] = 1
		}
		w.restart(i)
	}
}

// suspectOthers lists the other kinds again: what one watch has missed, those
// that still wait may have missed as well.
func (w *Watcher) suspectOthers(own int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range w.cancel {
		if i != own {
			w.restart(i)
		}
	}
}

// restart makes a kind be listed again. The mutex is held.
func (w *Watcher) restart(i int) {
	w.relist[i] = true
	if w.cancel[i] != nil {
		w.cancel[i]()
	}
}

// takeRelist tells once that a kind is to be listed again.
func (w *Watcher) takeRelist(i int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	due := w.relist[i]
	w.relist[i] = false
	return due
}

// follow lists one kind and then watches it.
func (w *Watcher) follow(ctx context.Context, i int) {
	source := w.Sources[i]
	revision := int64(0)
	pause := firstPause
	for ctx.Err() == nil {
		if w.takeRelist(i) {
			revision = 0
		}
		next, err := w.step(ctx, i, source, revision)
		switch {
		case err == nil:
			changed := next != revision && revision != 0
			revision = next
			pause = firstPause
			w.answered(i)
			if changed && !clock.Sleep(ctx, gatherTime) {
				return
			}
			continue
		case errors.Is(err, ErrHistoryGone):
			w.Log.Emit(event.StoreHistoryGone, event.Fields{"kind": source.Name(), "revision": revision})
			revision = 0
			w.suspectOthers(i)
			continue
		}
		if w.relisting(i) {
			continue // ended on purpose
		}
		w.failing(i, err)
		if ctx.Err() == nil && i == 0 {
			revision = 0
			w.suspectOthers(i)
		}
		spread := 1 + pauseSpread*(rand.Float64()-0.5)
		if !clock.Sleep(ctx, clock.Millis(float64(pause)*spread)) {
			return
		}
		pause = min(2*pause, longestPause)
	}
}

// relisting tells whether a kind is to be listed again.
func (w *Watcher) relisting(i int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.relist[i]
}

func (w *Watcher) step(ctx context.Context, i int, source Source, revision int64) (int64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w.mu.Lock()
	w.cancel[i] = cancel
	w.mu.Unlock()
	if revision == 0 {
		return source.List(ctx)
	}
	if i == 0 {
		return source.Watch(ctx, revision, sentinelTime)
	}
	return source.Watch(ctx, revision, watchTime)
}

func (w *Watcher) answered(i int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if since := w.failed[i]; since > 0 {
		w.Log.Emit(event.StoreRecovered, event.Fields{"kind": w.Sources[i].Name()})
	}
	w.failed[i] = 0
}

func (w *Watcher) failing(i int, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.failed[i] == 0 {
		w.failed[i] = w.Clock.Now()
		w.Log.Error(event.StoreUnavailable, err, event.Fields{"kind": w.Sources[i].Name()})
	}
}
