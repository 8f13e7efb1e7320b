package mirror

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/event"
	"goldcrestshore/core/version/snapshot"
)

const (
	// askInterval is the time between two attempts to ask a neighbour for what the store has
	// lost. An entry that has started looks for neighbours each startAskInterval, since its
	// requests wait.
	askInterval      clock.Millis = 100
	startAskInterval clock.Millis = 20
	// maxAsked bounds the neighbours that an entry asks for what the store has lost, and
	// maxAttempts how often it tries to ask each.
	maxAsked    = 8
	maxAttempts = 3
	// maxSyncTime bounds how long an entry that has started waits for its neighbours: it may
	// be the only one, or agents may not tell it of any.
	maxSyncTime clock.Millis = 400
)

// neighbours are the entries that were asked for what the store has lost.
type neighbours struct {
	// attempts are those in timeline, by the address of the neighbour. Both are used by
	// askNeighbours alone.
	attempts map[string]attempts
	timeline int64

	startTimer sync.Once
	synced     atomic.Bool
}

// attempts are the attempts to ask a neighbour.
type attempts struct {
	n    int
	last time.Time
}

// syncCause is why an entry that has started no longer waits for its neighbours.
type syncCause string

const (
	neighboursReplied syncCause = "neighbours"
	syncTimedOut      syncCause = "timeout"
	// noTimeline means that the store can't be restored, as it states no timeline.
	noTimeline   syncCause = "noTimeline"
	storeSettled syncCause = "settled"
)

// setSynced records that the entry knows what its neighbours knew when it started, as far as they
// have responded. An entry that runs keeps what it knows across restores, and so stays synced.
func (m *Mirror) setSynced(cause syncCause) {
	if m.neighbours.synced.CompareAndSwap(false, true) {
		m.Log.Emit(event.EntrySynced, event.Fields{"cause": string(cause)})
		m.OnSynced()
	}
}

// followNeighbours asks neighbours when the entry has started and after each restore.
func (m *Mirror) followNeighbours(ctx context.Context) {
	for interval := startAskInterval; clock.Sleep(ctx, interval); {
		m.askNeighbours(ctx)
		if m.neighbours.synced.Load() {
			interval = askInterval
		}
	}
}

// askNeighbours asks each neighbour once in a timeline for what the store may have lost.
func (m *Mirror) askNeighbours(ctx context.Context) {
	timeline, uncertain := m.Objects.Timeline()
	if !uncertain {
		if m.StoreAvailable() { // otherwise nothing may have been read yet
			m.setSynced(storeSettled)
		}
		return
	}
	m.startSyncTimer(timeline)
	ctx, cancel := context.WithTimeout(ctx, queryTimeout.Duration())
	defer cancel()
	peers := m.neighbours.next(timeline, m.shuffledPeers())
	errs := make([]error, len(peers))
	var asking sync.WaitGroup
	for i, peer := range peers {
		asking.Go(func() { errs[i] = m.ask(ctx, peer) })
	}
	asking.Wait()
	for i, peer := range peers {
		if errs[i] == nil {
			m.neighbours.attempts[peer] = attempts{n: maxAttempts} // not asked again
			m.setSynced(neighboursReplied)
			continue
		}
		m.Log.Error(event.PeerLost, errs[i], event.Fields{"peer": peer})
	}
}

// startSyncTimer bounds the wait of an entry that has started.
func (m *Mirror) startSyncTimer(timeline int64) {
	m.neighbours.startTimer.Do(func() {
		if timeline == 0 {
			m.setSynced(noTimeline)
			return
		}
		time.AfterFunc(maxSyncTime.Duration(), func() { m.setSynced(syncTimedOut) })
	})
}

// next returns those of peers to ask now, and counts the attempts.
func (n *neighbours) next(timeline int64, peers []string) []string {
	if n.attempts == nil || n.timeline != timeline {
		n.attempts, n.timeline = make(map[string]attempts), timeline
	}
	var out []string
	for _, peer := range peers {
		a, known := n.attempts[peer]
		isTooSoon := time.Since(a.last) < askInterval.Duration()
		if isTooSoon || a.n >= maxAttempts || (!known && len(n.attempts) >= maxAsked) {
			continue
		}
		n.attempts[peer] = attempts{a.n + 1, time.Now()}
		out = append(out, peer)
	}
	return out
}

// ask asks a neighbour for what the store may have lost.
func (m *Mirror) ask(ctx context.Context, peer string) error {
	reply, err := queryPeer(ctx, peer, &snapshot.Request{Positions: m.Objects.Positions(), WantReplaced: true})
	if err != nil {
		return err
	}
	m.Objects.Apply(reply.Kinds)
	return nil
}
