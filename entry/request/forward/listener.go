package forward

import (
	"net"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestshore/core/process/clock"
)

const (
	// drainTimeout is how long a stopping listener waits for another connection before
	// it is closed.
	drainTimeout clock.Millis = 20
	// maxDrainTime bounds the draining if connections arrive faster than they are
	// accepted.
	maxDrainTime clock.Millis = 500
)

// drainingListener returns the connections that wait to be accepted before it closes.
// Closing a listener resets them, although their callers may have sent a request.
type drainingListener struct {
	*net.TCPListener
	closeOnce sync.Once
	drained   chan struct{}
}

// listenDraining listens on a TCP address.
func listenDraining(address string) (*drainingListener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for callers")
	}
	return &drainingListener{TCPListener: l.(*net.TCPListener), drained: make(chan struct{})}, nil
}

// Accept implements net.Listener. After drain it returns the connections that wait and
// then net.ErrClosed.
func (l *drainingListener) Accept() (net.Conn, error) {
	c, err := l.AcceptTCP()
	if err == nil {
		return c, nil
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, err
	}
	_ = l.SetDeadline(time.Now().Add(drainTimeout.Duration())) // a closed listener fails the accept
	if c, err = l.AcceptTCP(); err == nil {
		return c, nil
	}
	return nil, errors.CombineErrors(net.ErrClosed, l.Close())
}

// Close implements net.Listener. Only the first call has an effect.
func (l *drainingListener) Close() error {
	var err error
	l.closeOnce.Do(func() {
		err = l.TCPListener.Close()
		close(l.drained)
	})
	return err
}

// drain waits until the connections that wait have been accepted and the listener is
// closed, at most maxDrainTime.
func (l *drainingListener) drain() {
	_ = l.SetDeadline(time.Now()) // interrupts a blocked accept; a closed listener is drained
	select {
	case <-l.drained:
	case <-time.After(maxDrainTime.Duration()):
	}
}
