package mirror

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/event"
	"goldcrestshore/core/version/snapshot"
)

// objects is what one entry has read.
type objects struct {
	kinds   []snapshot.Kind
	applied chan []snapshot.Kind
}

func (o *objects) Revisions() []int64 {
	var out []int64
	for _, k := range o.kinds {
		out = append(out, k.Revision)
	}
	return out
}

func (o *objects) Kinds() []snapshot.Kind { return append([]snapshot.Kind(nil), o.kinds...) }

func (o *objects) Apply(kinds []snapshot.Kind) { o.applied <- kinds }

// run starts a mirror and returns its address.
func run(t *testing.T, m *Mirror) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	check.NoError(t, "Listen", err)
	m.Listen = l.Addr().String()
	check.NoError(t, "Close", l.Close())
	log, err := event.NewLog(io.Discard, "error", "entry", "e")
	check.NoError(t, "NewLog", err)
	m.Log, m.OnApplied = log, func() {}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- m.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		check.NoError(t, "Run", <-ended)
	})
	return m.Listen
}

func yes() bool { return true }
func no() bool  { return false }

// Guards against an entry that stays behind while the store turns it away and
// serves others.
func TestAnEntryLearnsFromOneThatTheStoreServes(t *testing.T) {
	served := &objects{kinds: []snapshot.Kind{
		{Name: "a", Revision: 9, Objects: []snapshot.Object{{Name: "x", Content: []byte("1")}}},
		{Name: "b", Revision: 3, Objects: []snapshot.Object{{Name: "y"}}},
	}}
	peer := run(t, &Mirror{Objects: served, Served: yes, Peers: func() []string { return nil }})
	own := &objects{kinds: []snapshot.Kind{{Name: "a", Revision: 5}, {Name: "b", Revision: 3}}, applied: make(chan []snapshot.Kind, 8)}
	run(t, &Mirror{Objects: own, Served: no, Peers: func() []string { return []string{peer} }})
	select {
	case got := <-own.applied:
		check.Equal(t, "kinds", len(got), 2)
		check.Equal(t, "changed kind", string(got[0].Objects[0].Content), "1")
		check.Equal(t, "unchanged kind is left out", got[1].Unchanged, true)
	case <-time.After(20 * time.Second):
		t.Fatal("objects: got none, want those of the other entry")
	}
}

// Guards against an entry that tells what it knows although it is behind itself.
func TestAnEntryThatIsBehindTellsNothing(t *testing.T) {
	behind := &objects{kinds: []snapshot.Kind{{Name: "a", Revision: 9}}}
	m := &Mirror{Objects: behind, Served: no, Peers: func() []string { return nil }}
	got := m.reply(&snapshot.Request{})
	check.Equal(t, "current", got.Current, false)
	check.Equal(t, "kinds", len(got.Kinds), 0)
}
