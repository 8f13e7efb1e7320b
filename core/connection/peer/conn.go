package peer

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/semaphore"

	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/ring"
)

// Errors that end a connection.
var (
	ErrClosed       = errors.New("peer connection is closed")
	ErrUnresponsive = errors.New("no frame received from peer within the idle timeout")
)

const (
	// DefaultHeartbeatInterval is the time between heartbeats.
	DefaultHeartbeatInterval = 1 * clock.Second
	// DefaultIdleTimeout is the time without a received frame after which a
	// connection is assumed dead, such as when a network device between the ends
	// has dropped its state.
	DefaultIdleTimeout = 2 * clock.Second

	handshakeTimeout = 2 * clock.Second
	// sendQueueFrames and sendQueueBytes bound the frames queued for a slow peer.
	sendQueueFrames = 1024
	sendQueueBytes  = 2 * frame.MaxBodyBytes
	bufferBytes     = 16 << 10
)

// Handler receives the frames of one connection in order. It must not block on
// the peer.
type Handler func(id frame.ID, m frame.Message)

// Conn is an authenticated connection. Exported fields are set before Run.
type Conn struct {
	// Handle receives every frame except heartbeats.
	Handle Handler
	// OnHeartbeat receives the peer's heartbeats; it may be nil.
	OnHeartbeat func(*frame.Heartbeat)
	// Heartbeat returns the next heartbeat to send; if nil, empty ones are sent.
	Heartbeat func() *frame.Heartbeat
	// OnUnknownKind is called for each frame that is skipped because its kind is
	// unknown; it may be nil.
	OnUnknownKind func(error)
	// HeartbeatInterval is the time between heartbeats that differ; unchanged ones
	// are sent every DefaultHeartbeatInterval, or every HeartbeatInterval if that is
	// longer.
	HeartbeatInterval clock.Millis
	// IdleTimeout is the time without a received frame after which the connection
	// is closed. It also bounds each write.
	IdleTimeout clock.Millis

	conn           net.Conn
	peerIdentity   Identity
	queue          *ring.Ring[[]byte]
	queueBytes     *semaphore.Weighted
	done           chan struct{}
	close          sync.Once
	receivedFrames atomic.Uint64

	// Owned by the goroutine that sends heartbeats.
	lastHeartbeat   frame.Heartbeat
	lastHeartbeatAt time.Time
}

// Dial connects to a listener and authenticates both ends.
func Dial(ctx context.Context, address string, self Identity, key []byte) (*Conn, error) {
	dialer := net.Dialer{Timeout: handshakeTimeout.Duration()}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "dial %s", address)
	}
	return Open(conn, self, key)
}

// Open authenticates a connection that this process has dialed.
func Open(conn net.Conn, self Identity, key []byte) (*Conn, error) {
	return authenticate(conn, self, key, true)
}

// Accept authenticates a connection that a listener has accepted.
func Accept(conn net.Conn, self Identity, key []byte) (*Conn, error) {
	return authenticate(conn, self, key, false)
}

func authenticate(conn net.Conn, self Identity, key []byte, isDialer bool) (*Conn, error) {
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout.Duration()))
	remote, err := handshake(conn, self, key, isDialer)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	_ = conn.SetDeadline(time.Time{})
	return &Conn{
		HeartbeatInterval: DefaultHeartbeatInterval,
		IdleTimeout:       DefaultIdleTimeout,
		conn:              conn,
		peerIdentity:      remote,
		queue:             ring.New[[]byte](sendQueueFrames),
		queueBytes:        semaphore.NewWeighted(sendQueueBytes),
		done:              make(chan struct{}),
	}, nil
}

// Peer returns the authenticated identity of the other end.
func (c *Conn) Peer() Identity { return c.peerIdentity }

// Done is closed when the connection has ended.
func (c *Conn) Done() <-chan struct{} { return c.done }

// Close ends the connection; Run then returns.
func (c *Conn) Close() {
	c.close.Do(func() {
		close(c.done)
		_ = c.conn.Close()
	})
}

// Send queues m and blocks while the queue is full. It returns ErrClosed when the
// connection has ended; a nil error does not mean that the peer received m.
func (c *Conn) Send(id frame.ID, m frame.Message) error {
	select {
	case <-c.done:
		return ErrClosed
	default:
	}
	b, err := frame.Append(nil, id, m)
	if err != nil {
		return err
	}
	if err := c.acquireQueueBytes(int64(len(b))); err != nil {
		return err
	}
	if !c.queue.Put(c.done, b) {
		return ErrClosed
	}
	return nil
}

// acquireQueueBytes reserves n bytes of the send queue, waiting until they are free.
func (c *Conn) acquireQueueBytes(n int64) error {
	if c.queueBytes.TryAcquire(n) {
		return nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		select {
		case <-c.done:
			cancel()
		case <-stop:
		}
	}()
	if err := c.queueBytes.Acquire(ctx, n); err != nil {
		return ErrClosed
	}
	return nil
}

// Run reads and writes frames and sends heartbeats until the connection ends or
// ctx is done, and returns the reason.
func (c *Conn) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(c.readFrames)
	group.Go(c.writeFrames)
	group.Go(func() error { return c.keepAlive(ctx) })
	group.Go(func() error {
		<-ctx.Done()
		c.Close()
		return ctx.Err()
	})
	err := group.Wait()
	c.Close()
	return err
}

func (c *Conn) readFrames() error {
	r := bufio.NewReaderSize(c.conn, bufferBytes)
	for {
		id, m, err := frame.Read(r)
		if errors.Is(err, frame.ErrUnknownKind) {
			c.receivedFrames.Add(1)
			if c.OnUnknownKind != nil {
				c.OnUnknownKind(err)
			}
			continue
		}
		if err != nil {
			return errors.Wrap(err, "read frame")
		}
		c.receivedFrames.Add(1)
		c.dispatch(id, m)
	}
}

func (c *Conn) dispatch(id frame.ID, m frame.Message) {
	heartbeat, ok := m.(*frame.Heartbeat)
	if !ok {
		c.Handle(id, m)
		return
	}
	if c.OnHeartbeat != nil {
		c.OnHeartbeat(heartbeat)
	}
}

func (c *Conn) writeFrames() error {
	w := bufio.NewWriterSize(c.conn, bufferBytes)
	for {
		var b []byte
		select {
		case <-c.done:
			return ErrClosed
		case b = <-c.queue.Items():
		}
		_ = c.conn.SetWriteDeadline(time.Now().Add(c.IdleTimeout.Duration()))
		_, err := w.Write(b)
		c.queueBytes.Release(int64(len(b)))
		if err == nil && c.queue.Len() == 0 {
			err = w.Flush()
		}
		if err != nil {
			return errors.Wrap(err, "write frame")
		}
	}
}

// keepAlive sends heartbeats and returns ErrUnresponsive when no frame has been
// received within IdleTimeout.
func (c *Conn) keepAlive(ctx context.Context) error {
	ticker := time.NewTicker(c.HeartbeatInterval.Duration())
	defer ticker.Stop()
	lastCount, lastReceivedAt := c.receivedFrames.Load(), time.Now()
	if err := c.sendHeartbeat(); err != nil {
		return err
	}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-c.done:
			return ErrClosed
		case <-ticker.C:
		}
		if n := c.receivedFrames.Load(); n != lastCount {
			lastCount, lastReceivedAt = n, time.Now()
		}
		if time.Since(lastReceivedAt) >= c.IdleTimeout.Duration() {
			return ErrUnresponsive
		}
		if err := c.sendHeartbeat(); err != nil {
			return err
		}
	}
}

// sendHeartbeat omits an unchanged heartbeat while the last one is recent enough
// to keep the connection alive.
func (c *Conn) sendHeartbeat() error {
	heartbeat := frame.NewHeartbeat(0, frame.Load{})
	if c.Heartbeat != nil {
		heartbeat = c.Heartbeat()
	}
	if *heartbeat == c.lastHeartbeat && time.Since(c.lastHeartbeatAt) < (DefaultHeartbeatInterval-c.HeartbeatInterval/2).Duration() {
		return nil
	}
	c.lastHeartbeat, c.lastHeartbeatAt = *heartbeat, time.Now()
	return c.Send(frame.ID{}, heartbeat)
}
