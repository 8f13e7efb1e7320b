package watch

import (
	"fmt"
	"io"
	"testing"

	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/event"
	"goldcrestshore/core/version/snapshot"
)

// Guards against a wait that leaves no time for the call that follows a lost response, and against
// calls without pause or beyond the history of the store.
func TestWaitsFollowDelays(t *testing.T) {
	for _, tc := range []struct{ maxDelay, want clock.Millis }{
		{2 * clock.Second, 900}, {3 * clock.Second, 1900}, {5 * clock.Second, 3900}, {100, minWait}, {clock.Hour, maxWait},
	} {
		check.Equal(t, fmt.Sprint("wait for ", tc.maxDelay, " ms"), waitFor(tc.maxDelay), tc.want)
	}
}

// watchedKinds is a Watcher of two kinds that have been listed at revision 10. Its clock stands
// still, and it makes no calls.
type watchedKinds struct {
	*Watcher
	t *testing.T
	// short has the shorter delay, so that its watch is short.
	short, long *kind
	// ended counts by kind the watches that the watcher has ended.
	ended map[*kind]int
}

func newWatchedKinds(t *testing.T) *watchedKinds {
	t.Helper()
	log, err := event.NewLog(io.Discard, "error", "entry", "e")
	check.NoError(t, "NewLog", err)
	w := &Watcher{Clock: clock.NewManual(clock.Hour), Log: log, Sources: []Source{newScriptedSource("short"), newScriptedSource("long")}}
	w.prepare()
	out := &watchedKinds{w, t, w.kinds[0], w.kinds[1], make(map[*kind]int)}
	out.respond(out.short, 10, false)
	out.respond(out.long, 10, false)
	return out
}

// respond lets the call of a kind return at a revision, and begins the next one.
func (w *watchedKinds) respond(k *kind, revision int64, changed bool) {
	w.recordSuccess(k, snapshot.Position{Revision: revision}, changed)
	w.watch(k)
}

// watch begins the next watch of a kind and returns it.
func (w *watchedKinds) watch(k *kind) call {
	return w.begin(k, func() { w.ended[k]++ })
}

// pass lets time pass, in which the short watch responds with a revision and without changes
// whenever its wait ends, and returns how often the other watch has been ended.
func (w *watchedKinds) pass(d clock.Millis, revision int64) int {
	before := w.ended[w.long]
	for at := renewInterval; at <= d; at += renewInterval {
		w.Clock.Advance(renewInterval)
		if at%waitFor(testMaxDelay) == 0 {
			w.respond(w.short, revision, false)
		}
		w.renewWatches()
	}
	return w.ended[w.long] - before
}

// newCalmKinds returns a Watcher of kinds whose store has not changed for a while.
func newCalmKinds(t *testing.T) *watchedKinds {
	t.Helper()
	w := newWatchedKinds(t)
	w.respond(w.short, 11, false) // shows that positions are those of the store
	w.respond(w.long, 11, false)
	w.Clock.Advance(testMaxDelay)
	w.respond(w.short, 11, false)
	w.respond(w.long, 11, false)
	return w
}

// Guards against calls that a store which does not change is burdened with, and against a watch
// that waits on although the store has changed and its response may have been lost.
func TestWatchIsRenewedWhereStoreHasChanged(t *testing.T) {
	w := newCalmKinds(t)
	check.Equal(t, "renewals while the store does not change", w.pass(maxWait, 11), 0)
	check.Equal(t, "renewals once the store has changed", w.pass(testMaxDelay-repeatTime, 12), 1)
	check.Equal(t, "renewed watch", w.watch(w.long), call{after: snapshot.Position{Revision: 11}, wait: waitFor(testMaxDelay)})
	w.respond(w.long, 12, true)
	check.Equal(t, "renewals after its response", w.pass(maxWait, 12), 0)
}

// Guards against a lost response that is not noticed in time where the watch that states the
// position of the store gets no response either, and against a watch that is renewed again and
// again while the store is silent: that were ten calls a second.
func TestWatchIsRenewedWithoutConfirmation(t *testing.T) {
	w := newCalmKinds(t)
	for at := clock.Millis(0); at < testMaxDelay-repeatTime; at += renewInterval {
		w.Clock.Advance(renewInterval)
		w.renewWatches()
	}
	check.Equal(t, "renewals", w.ended[w.long], 1)
	check.Equal(t, "short watches that were ended", w.ended[w.short], 0)
	check.Equal(t, "wait of the renewed watch", w.watch(w.long).wait, waitFor(testMaxDelay))
	w.Clock.Advance(renewInterval)
	w.renewWatches()
	check.Equal(t, "renewals of the renewed watch", w.ended[w.long], 1)
}

// Guards against more calls than with short watches alone, where the store changes all the time.
func TestWatchesAreShortWhileStoreChanges(t *testing.T) {
	w := newCalmKinds(t)
	w.respond(w.short, 12, true)
	w.respond(w.long, 12, false)
	check.Equal(t, "wait", w.watch(w.long).wait, waitFor(testMaxDelay))
	w.Clock.Advance(testMaxDelay)
	w.respond(w.long, 12, false)
	check.Equal(t, "wait once the store has not changed for a while", w.watch(w.long).wait, maxWait)
}

// Guards against trust in the positions of a store that counts the changes of each kind by itself.
func TestWatchesAreShortWherePositionsAreNotComparable(t *testing.T) {
	w := newWatchedKinds(t)
	w.respond(w.short, 11, true)
	w.respond(w.long, 11, true)
	w.Clock.Advance(testMaxDelay)
	check.Equal(t, "wait after changes of each kind", w.watch(w.long).wait, waitFor(testMaxDelay))
	w.respond(w.short, 12, false)
	w.respond(w.long, 12, false)
	w.Clock.Advance(testMaxDelay)
	check.Equal(t, "wait after a watch that ended later without changes", w.watch(w.long).wait, maxWait)
}
