package mirror

import (
	"context"
	"io"
	"net"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/event"
	"goldcrestshore/core/version/snapshot"
)

// fakeObjects are the objects of one entry.
type fakeObjects struct {
	kinds     []snapshot.Kind
	applied   chan []snapshot.Kind
	timeline  atomic.Int64
	uncertain bool
}

func (f *fakeObjects) Timeline() (int64, bool) { return f.timeline.Load(), f.uncertain }

func (f *fakeObjects) Positions() []snapshot.Position {
	var out []snapshot.Position
	for _, k := range f.kinds {
		out = append(out, k.At)
	}
	return out
}

func (f *fakeObjects) Kinds(request *snapshot.Request) []snapshot.Kind {
	var out []snapshot.Kind
	for i, k := range f.kinds {
		if i < len(request.Positions) && !request.Positions[i].Before(k.At) {
			k.Unchanged, k.Objects = true, nil
		}
		out = append(out, k)
	}
	return out
}

func (f *fakeObjects) Apply(kinds []snapshot.Kind) { f.applied <- kinds }

// at returns a position in the first timeline.
func at(revision int64) snapshot.Position { return snapshot.Position{Revision: revision} }

func newLog(t *testing.T) *event.Log {
	t.Helper()
	log, err := event.NewLog(io.Discard, "error", "entry", "e")
	check.NoError(t, "NewLog", err)
	return log
}

// startMirror starts a mirror and returns its address.
func startMirror(t *testing.T, m *Mirror) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	check.NoError(t, "Listen", err)
	m.Listen = l.Addr().String()
	check.NoError(t, "Close", l.Close())
	m.Log, m.OnApplied = newLog(t), func() {}
	if m.OnSynced == nil {
		m.OnSynced = func() {}
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- m.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		check.NoError(t, "Run", <-ended)
	})
	awaitListener(t, m.Listen)
	return m.Listen
}

// awaitListener waits until connections to an address are accepted.
func awaitListener(t *testing.T, address string) {
	t.Helper()
	check.Await(t, "connection", 20*time.Second, func() bool {
		c, err := net.Dial("tcp4", address)
		if err == nil {
			_ = c.Close()
		}
		return err == nil
	})
}

func yes() bool { return true }
func no() bool  { return false }

// Guards against an entry whose objects stay out of date while the store serves
// other entries but not this one.
func TestObjectsAreFetchedFromPeerThatStoreServes(t *testing.T) {
	upToDate := &fakeObjects{kinds: []snapshot.Kind{
		{Name: "a", At: at(9), Objects: []snapshot.Object{{Name: "x", Content: []byte("1")}}},
		{Name: "b", At: at(3), Objects: []snapshot.Object{{Name: "y"}}},
	}}
	peer := startMirror(t, &Mirror{Objects: upToDate, StoreAvailable: yes, Peers: func() []string { return nil }})
	own := &fakeObjects{kinds: []snapshot.Kind{{Name: "a", At: at(5)}, {Name: "b", At: at(3)}}, applied: make(chan []snapshot.Kind, 8)}
	startMirror(t, &Mirror{Objects: own, StoreAvailable: no, Peers: func() []string { return []string{peer} }})
	select {
	case got := <-own.applied:
		check.Equal(t, "kinds", len(got), 2)
		check.Equal(t, "changed kind", string(got[0].Objects[0].Content), "1")
		check.Equal(t, "unchanged kind is omitted", got[1].Unchanged, true)
	case <-time.After(20 * time.Second):
		t.Fatal("objects: got none, want those of the peer")
	}
}

// Guards against an entry that serves its objects although the store does not
// serve it and they may be out of date.
func TestStaleEntryRepliesWithoutObjects(t *testing.T) {
	stale := &fakeObjects{kinds: []snapshot.Kind{{Name: "a", At: at(9)}}}
	m := &Mirror{Objects: stale, StoreAvailable: no, Peers: func() []string { return nil }}
	got := m.reply(&snapshot.Request{})
	check.Equal(t, "current", got.Current, false)
	check.Equal(t, "kinds", len(got.Kinds), 0)
}

// Guards against polls in which each entry tries all others of a large deployment while the store
// serves none of them.
func TestPollTriesFewPeers(t *testing.T) {
	var calls atomic.Int64
	peer := check.ServeConns(t, func(c net.Conn) {
		calls.Add(1)
		_ = c.Close()
	}).Addr().String()
	m := &Mirror{Log: newLog(t), Objects: &fakeObjects{}, StoreAvailable: no, Peers: func() []string { return slices.Repeat([]string{peer}, 2*maxPolled) }}
	check.Is(t, "fetch", m.fetch(context.Background()), ErrNoPeer)
	check.Equal(t, "peers tried", calls.Load(), maxPolled)
}
