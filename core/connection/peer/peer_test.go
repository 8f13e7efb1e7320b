package peer

import (
	"bytes"
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/semaphore"

	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/ring"
)

type connPair struct {
	dialer, listener       *Conn
	dialerErr, listenerErr error
}

// newConnPair authenticates both ends of a loopback TCP connection.
func newConnPair(t *testing.T, dialerKey, listenerKey string) connPair {
	t.Helper()
	a, b := tcpPair(t)
	var pair connPair
	done := make(chan struct{})
	go func() {
		defer close(done)
		pair.listener, pair.listenerErr = Accept(b, NewIdentity("agent", "a1", "bilbao"), []byte(listenerKey))
	}()
	pair.dialer, pair.dialerErr = authenticate(a, NewIdentity("entry", "e1", "oviedo"), []byte(dialerKey), true)
	<-done
	return pair
}

func tcpPair(t *testing.T) (net.Conn, net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check.NoError(t, "Listen", err)
	defer l.Close()
	a, err := net.Dial("tcp", l.Addr().String())
	check.NoError(t, "Dial", err)
	b, err := l.Accept()
	check.NoError(t, "Accept", err)
	t.Cleanup(func() { _ = a.Close(); _ = b.Close() })
	return a, b
}

func TestHandshake(t *testing.T) {
	t.Run("same key", func(t *testing.T) {
		pair := newConnPair(t, "k", "k")
		check.NoError(t, "dialer", pair.dialerErr)
		check.NoError(t, "listener", pair.listenerErr)
		check.Equal(t, "listener sees", pair.listener.Peer().Instance(), "e1")
		check.Equal(t, "dialer sees", pair.dialer.Peer().DataCentre(), "bilbao")
	})
	t.Run("wrong key is refused by both ends", func(t *testing.T) {
		pair := newConnPair(t, "k", "other")
		check.Is(t, "dialer", pair.dialerErr, ErrAuthentication)
		check.Is(t, "listener", pair.listenerErr, ErrAuthentication)
	})
	// Guards against logging a failed authentication for a dialer that closes the
	// connection during the handshake.
	t.Run("a dialer that disconnects is no failed authentication", func(t *testing.T) {
		a, b := tcpPair(t)
		check.NoError(t, "Close", a.Close())
		_, err := Accept(b, NewIdentity("agent", "a1", "bilbao"), []byte("k"))
		check.Equal(t, "failed authentication", errors.Is(err, ErrAuthentication), false)
	})
	t.Run("a proof reflected to its sender is refused", func(t *testing.T) {
		h, err := newHello(NewIdentity("entry", "e1", "x"))
		check.NoError(t, "newHello", err)
		b, err := frame.Append(nil, frame.ID{}, h)
		check.NoError(t, "Append", err)
		check.Equal(t, "proofs of dialer and listener are equal", bytes.Equal(proofMAC([]byte("k"), dialerLabel, b, b), proofMAC([]byte("k"), listenerLabel, b, b)), false)
	})
}

func TestRunCarriesFramesInOrder(t *testing.T) {
	pair := newConnPair(t, "k", "k")
	offsets := make(chan int64, 100)
	pair.listener.Handle = func(_ frame.ID, m frame.Message) { offsets <- m.(*frame.Credit).Offset() }
	pair.dialer.Handle = func(frame.ID, frame.Message) {}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{}, 2)
	for _, c := range []*Conn{pair.dialer, pair.listener} {
		go func() { _ = c.Run(ctx); ended <- struct{}{} }()
	}
	for i := range int64(100) {
		check.NoError(t, "Send", pair.dialer.Send(frame.NewID(1, 1), frame.NewCredit(i)))
	}
	for i := range int64(100) {
		check.Equal(t, "offset", <-offsets, i)
	}
	cancel()
	<-ended
	<-ended
	check.Is(t, "Send after the end", pair.dialer.Send(frame.ID{}, frame.NewCredit(1)), ErrClosed)
}

// Guards against a connection that stays in use although the peer neither closes
// it nor sends anything.
func TestUnresponsivePeerEndsRun(t *testing.T) {
	pair := newConnPair(t, "k", "k")
	pair.dialer.Handle = func(frame.ID, frame.Message) {}
	pair.dialer.HeartbeatInterval, pair.dialer.IdleTimeout = 5*clock.Millis(1), 20*clock.Millis(1)
	check.Is(t, "Run", pair.dialer.Run(context.Background()), ErrUnresponsive)
}

// Guards against control traffic for unchanged load reports, and against a changed
// report that is not sent.
func TestUnchangedHeartbeatsAreOmitted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := net.Pipe()
		var inFlight atomic.Int64
		received := make(chan int, 100)
		dialer := &Conn{HeartbeatInterval: 250, IdleTimeout: DefaultIdleTimeout, conn: a, queue: ring.New[[]byte](8), queueBytes: semaphore.NewWeighted(1 << 20), done: make(chan struct{}),
			Heartbeat: func() *frame.Heartbeat {
				load := frame.NewLoad("s", frame.NewOccupancy(int(inFlight.Load()), 1, 0, 0), frame.Condition{}, frame.Latency{})
				return frame.NewHeartbeat(1, load)
			}}
		listener := &Conn{HeartbeatInterval: DefaultHeartbeatInterval, IdleTimeout: DefaultIdleTimeout, conn: b, queue: ring.New[[]byte](8), queueBytes: semaphore.NewWeighted(1 << 20), done: make(chan struct{}),
			OnHeartbeat: func(heartbeat *frame.Heartbeat) { received <- heartbeat.Load().Occupancy().InFlight() }}
		ctx, cancel := context.WithCancel(t.Context())
		for _, c := range []*Conn{dialer, listener} {
			go func() { _ = c.Run(ctx) }()
		}
		time.Sleep(10*time.Second + 10*time.Millisecond)
		synctest.Wait()
		check.Equal(t, "heartbeats in 10 s", len(received), 11)
		for range len(received) {
			<-received
		}
		inFlight.Store(1)
		time.Sleep(300 * time.Millisecond)
		synctest.Wait()
		check.Equal(t, "heartbeats after a change", len(received), 1)
		check.Equal(t, "changed report", <-received, 1)
		cancel()
		synctest.Wait()
	})
}
