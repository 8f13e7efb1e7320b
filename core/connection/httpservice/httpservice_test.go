package httpservice

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"goldcrestshore/core/process/check"
)

// idleConnections is the number of connections that a silentServer's client has kept.
const idleConnections = 4

// silentServer responds on each connection until it is silent. New connections work.
type silentServer struct {
	server *httptest.Server
	// silentBefore is the number of connections up to which they are silent.
	silentBefore atomic.Int64
	accepted     atomic.Int64
	// arrived counts requests, and overlapping is closed once there is one on each connection.
	arrived     atomic.Int64
	overlapping chan struct{}
	// bodyOnly makes silent connections still send the heads of their responses.
	bodyOnly bool
}

type connKey struct{}

func newSilentServer(t *testing.T) *silentServer {
	t.Helper()
	s := &silentServer{overlapping: make(chan struct{})}
	s.server = httptest.NewUnstartedServer(s)
	s.server.Config.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, s.accepted.Add(1))
	}
	s.server.Start()
	t.Cleanup(func() {
		s.server.CloseClientConnections()
		s.server.Close()
	})
	return s
}

// ServeHTTP implements http.Handler.
func (s *silentServer) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	n := q.Context().Value(connKey{}).(int64)
	if n > s.silentBefore.Load() {
		if s.arrived.Add(1) == idleConnections {
			close(s.overlapping)
		}
		<-s.overlapping
		_, _ = io.WriteString(w, "content")
		return
	}
	if s.bodyOnly {
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
	}
	<-q.Context().Done()
}

// Guards against calls that fail one after the other on idle connections that are as silent as
// the one on which a response was lost.
func TestIdleConnectionsAreClosedAfterLostResponse(t *testing.T) {
	for name, bodyOnly := range map[string]bool{"no response": false, "body breaks off": true} {
		t.Run(name, func(t *testing.T) {
			s := newSilentServer(t)
			s.bodyOnly = bodyOnly
			transport := &http.Transport{MaxIdleConnsPerHost: idleConnections}
			service := New("test", &http.Client{}, transport)
			get := func() error {
				ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
				defer cancel()
				q, err := http.NewRequestWithContext(ctx, http.MethodGet, s.server.URL, nil)
				check.NoError(t, "NewRequest", err)
				resp, err := service.DoRequest(q)
				if err != nil {
					return err
				}
				defer resp.Body.Close()
				_, err = io.ReadAll(resp.Body)
				return err
			}
			var calls sync.WaitGroup
			for range idleConnections {
				calls.Go(func() { check.NoError(t, "call before", get()) })
			}
			calls.Wait()
			check.Equal(t, "kept connections", s.accepted.Load(), idleConnections)
			s.silentBefore.Store(idleConnections)
			check.Equal(t, "call on a silent connection gets no response", errors.Is(get(), context.DeadlineExceeded), true)
			check.NoError(t, "next call", get())
		})
	}
}
