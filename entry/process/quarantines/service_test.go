package quarantines

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/event"
	"goldcrestshore/core/version/snapshot"
	"goldcrestshore/entry/request/quarantine"
)

// The parts of a prompt: caller is shared with sound requests, part crashes upstreams.
const (
	caller quarantine.Fingerprint = 1 + iota
	part
)

var errDown = errors.New("store is down")

// memoryStore keeps the state in memory.
type memoryStore struct {
	mu       sync.Mutex
	raw      []byte
	revision int64
	down     bool
	// onChange receives each new state, as a watch would.
	onChange func(raw []byte)
}

func (s *memoryStore) Load(context.Context) ([]byte, snapshot.Position, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, snapshot.Position{}, errDown
	}
	return s.raw, snapshot.Position{Revision: s.revision}, nil
}

func (s *memoryStore) Save(_ context.Context, raw []byte, at snapshot.Position) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.down:
		return errDown
	case at.Revision != s.revision:
		return ErrConflict
	}
	s.raw, s.revision = raw, at.Revision+1
	if s.onChange != nil {
		go s.onChange(raw)
	}
	return nil
}

func (s *memoryStore) currentRevision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// restore replaces the state by that of a backup.
func (s *memoryStore) restore(raw []byte, revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.raw, s.revision = raw, revision
}

func (s *memoryStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// state returns the stored state, which is empty if it is malformed.
func (s *memoryStore) state() quarantine.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	state, _ := quarantine.Decode(s.raw)
	return state
}

// newService returns the quarantine of an entry that has served requests for a minute, and
// runs it until the test ends.
func newService(t *testing.T, c *clock.Clock, store Store) *Service {
	t.Helper()
	log, err := event.NewLog(io.Discard, "error", "entry", "e")
	check.NoError(t, "NewLog", err)
	s := &Service{Clock: c, Log: log, Store: store}
	s.Arrived(request(99))
	s.Succeeded(request(99))
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { s.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return s
}

// awaitTimeout is how long tests wait for what a service does in the background.
const awaitTimeout = 5 * time.Second

// request returns a request with one fingerprint of its own.
func request(own quarantine.Fingerprint, shared ...quarantine.Fingerprint) quarantine.Request {
	return quarantine.NewRequest([]quarantine.Fingerprint{own}, shared...)
}

// requestWithPart returns a request that no other is like but for its parts.
func requestWithPart(n int) quarantine.Request {
	return request(quarantine.Fingerprint(1000+n), caller, part)
}

// Guards against entries that each let a request through until they have seen two crashes
// themselves, against a quarantine that an entry forgets when it is restarted, and against
// crashes that are lost because the store was down or several entries wrote at once.
func TestEntriesShareCrashes(t *testing.T) {
	const entryCount = 5
	c := clock.NewManual(clock.Hour)
	store := &memoryStore{}
	var entries []*Service
	store.onChange = func(raw []byte) {
		for _, e := range entries {
			e.Received(raw)
		}
	}
	for range entryCount {
		entries = append(entries, newService(t, c, store))
	}
	c.Advance(clock.Minute)
	entries[entryCount-1].Succeeded(request(98, caller))
	store.setDown(true)
	entries[0].Crashed("u0", 1, requestWithPart(0))
	time.Sleep(2 * maxConflictDelay.Duration())
	store.setDown(false)
	for i, e := range entries[1 : entryCount-1] {
		e.Arrived(request(quarantine.Fingerprint(2000+i), caller))
		e.Crashed(fmt.Sprint("u", i+1), 1, requestWithPart(i+1))
	}
	check.Await(t, "all crashes stored", awaitTimeout, func() bool { return len(store.state().Crashes) == entryCount-1 })
	c.Advance(clock.Second)
	for i, e := range entries {
		check.Await(t, fmt.Sprint("part refused by entry ", i), awaitTimeout, func() bool { return e.Remaining(requestWithPart(100+i)) > 0 })
		check.Equal(t, fmt.Sprint("sound request of entry ", i), e.Remaining(request(quarantine.Fingerprint(3000+i), caller)), 0)
	}
	t.Run("after a restart", func(t *testing.T) {
		check.Await(t, "quarantine stored", awaitTimeout, func() bool { return len(store.state().Blocks) == 1 })
		restarted := newService(t, c, store)
		raw, _, err := store.Load(context.Background())
		check.NoError(t, "Load", err)
		restarted.Received(raw)
		check.Equal(t, "part refused", restarted.Remaining(requestWithPart(200)) > 0, true)
	})
}

// Guards against crashes and quarantines that are forgotten because the store was restored from
// a copy without them, and against writes of entries that have nothing to write again.
func TestStateIsSharedAgainAfterRestore(t *testing.T) {
	c := clock.NewManual(clock.Hour)
	store := &memoryStore{}
	entries := []*Service{newService(t, c, store), newService(t, c, store)}
	store.onChange = func(raw []byte) {
		for _, e := range entries {
			e.Received(raw)
		}
	}
	c.Advance(clock.Minute)
	for i, e := range entries {
		e.Crashed(fmt.Sprint("u", i), 1, requestWithPart(i))
	}
	check.Await(t, "crashes stored", awaitTimeout, func() bool { return len(store.state().Crashes) == 2 })
	store.restore(nil, 0)
	for _, e := range entries {
		e.ShareAgain()
	}
	check.Await(t, "crashes stored again", awaitTimeout, func() bool { return len(store.state().Crashes) == 2 })
	unused := &memoryStore{}
	newService(t, c, unused).ShareAgain()
	time.Sleep(2 * maxConflictDelay.Duration())
	check.Equal(t, "revision after an entry that knows of no crash", unused.currentRevision(), 0)
}

// Guards against a request that waits or runs on although requests like it have been
// quarantined meanwhile.
func TestQuarantineEndsRunningRequests(t *testing.T) {
	c := clock.NewManual(clock.Hour)
	s := newService(t, c, &memoryStore{})
	c.Advance(clock.Minute)
	poisoned, stop := s.Track(context.Background(), requestWithPart(1))
	defer stop()
	sound, stopSound := s.Track(context.Background(), request(7, caller))
	defer stopSound()
	s.Succeeded(request(98, caller))
	s.Crashed("u0", 1, requestWithPart(2))
	check.NoError(t, "after one crash", poisoned.Err())
	s.Crashed("u1", 1, requestWithPart(3))
	check.Is(t, "after two crashes", context.Cause(poisoned), ErrQuarantined)
	check.NoError(t, "sound request", sound.Err())
	late, stopLate := s.Track(context.Background(), requestWithPart(4))
	defer stopLate()
	check.Is(t, "tracked later", context.Cause(late), ErrQuarantined)
}

// Guards against a quarantine that begins when a request asks for it, before Run could decide,
// and that neither ends running requests nor reaches other entries.
func TestDecisionOnRequestIsApplied(t *testing.T) {
	for name, ask := range map[string]func(s *Service){
		"arrival":   func(s *Service) { s.Arrived(requestWithPart(5)) },
		"remaining": func(s *Service) { s.Remaining(requestWithPart(5)) },
		"track": func(s *Service) {
			_, stop := s.Track(context.Background(), requestWithPart(5))
			stop()
		},
	} {
		t.Run(name, func(t *testing.T) {
			log, err := event.NewLog(io.Discard, "error", "entry", "e")
			check.NoError(t, "NewLog", err)
			c := clock.NewManual(clock.Hour)
			s := &Service{Clock: c, Log: log}
			s.Arrived(request(99))
			s.Succeeded(request(99))
			poisoned, stop := s.Track(context.Background(), requestWithPart(1))
			defer stop()
			s.Crashed("u0", 1, requestWithPart(2))
			s.Crashed("u1", 1, requestWithPart(3))
			check.NoError(t, "before the decision", poisoned.Err())
			s.takeUnshared()
			c.Advance(clock.Minute) // an entry decides once it knows enough sound requests
			ask(s)
			check.Is(t, "running request", context.Cause(poisoned), ErrQuarantined)
			check.Equal(t, "to be shared", s.takeUnshared(), true)
		})
	}
}

// Guards against a stored state that another writer has damaged and that keeps entries from
// sharing theirs.
func TestMalformedStateIsReplaced(t *testing.T) {
	c := clock.NewManual(clock.Hour)
	store := &memoryStore{raw: []byte("{"), revision: 3}
	s := newService(t, c, store)
	c.Advance(clock.Minute)
	s.Received([]byte("{"))
	s.Crashed("u0", 1, requestWithPart(1))
	check.Await(t, "crash stored", awaitTimeout, func() bool { return len(store.state().Crashes) == 1 })
}
