package peer

import (
	"context"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/netutil"

	"goldcrestshore/core/process/event"
	"goldcrestshore/core/process/settings"
)

// maxConnections bounds the connections of one listener: 350 entries, some
// peers with other duties, and a reserve for half-open connections.
const maxConnections = 1024

// maxDescriptorFraction is the fraction of the descriptors that these connections may take.
const maxDescriptorFraction = 0.3

// Listener accepts authenticated connections. Exported fields are set before Run.
type Listener struct {
	Self Identity
	Key  []byte
	Log  *event.Log
	// Serve sets the exported fields of a new connection and runs it.
	Serve func(ctx context.Context, c *Conn)
}

// Run accepts connections from l until ctx is done, then waits for all of them
// to end.
func (s *Listener) Run(ctx context.Context, l net.Listener) error {
	limited := netutil.LimitListener(l, settings.Descriptors(0, maxDescriptorFraction, maxConnections))
	stop := context.AfterFunc(ctx, func() { _ = limited.Close() })
	defer stop()
	var connections sync.WaitGroup
	defer connections.Wait()
	for {
		conn, err := limited.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "accept peer connection")
		}
		connections.Go(func() { s.serve(ctx, conn) })
	}
}

func (s *Listener) serve(ctx context.Context, conn net.Conn) {
	c, err := Accept(conn, s.Self, s.Key)
	if err != nil {
		s.Log.Error(failureEvent(err), err, event.Fields{"address": conn.RemoteAddr().String()})
		return
	}
	defer c.Close()
	s.Serve(ctx, c)
}
