// Package forward serves callers' requests by sending each straight to an
// upstream and passing the answer on.
package forward

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/event"
	"goldcrestshore/entry/connection/upstream"
	"goldcrestshore/entry/version/fleet"
)

// Headers are the names of the headers that callers, entry and upstreams use.
type Headers struct {
	// RequestID identifies one attempt of a caller; answers repeat it.
	RequestID string
	// Deadline is the number of milliseconds that the sender waits.
	Deadline string
	// Key identifies the customer; it is not passed on.
	Key string
	// Customer tells the upstream who holds the key.
	Customer string
	// Target names the upstream that is meant; any other refuses the request.
	Target string
	// Signature proves that an answer comes from an upstream.
	Signature string
	// NotRun marks an answer of an upstream that did not run the request.
	NotRun string
	// LastEventID is the id of the last event that a caller received.
	LastEventID string
	// Tokens gives the number of prompt tokens and the most output tokens.
	Tokens string
}

const (
	// serverMaxHeaderBytes bounds a head before the configuration is known.
	serverMaxHeaderBytes = 64 << 10
	// shutdownDelay is how long a stopping server still takes connections, until
	// the load balancer has noticed.
	shutdownDelay = 2500 * clock.Millis(1)
	// shutdownMargin is the time left before the process is killed.
	shutdownMargin clock.Millis = 1000
	// idleCheckInterval is how often idle connections are looked at.
	idleCheckInterval = clock.Second
	// idleTimeoutMargin is added to the configured idle time, for the way of a
	// request that a caller sends just in time.
	idleTimeoutMargin = 2 * clock.Second
)

// Server accepts callers. Exported fields are set before Run.
type Server struct {
	Clock     *clock.Clock
	Log       *event.Log
	Headers   Headers
	State     *fleet.State
	Scheduler *Scheduler
	Pool      *upstream.Pool
	// Current tells whether the view is in step with the store.
	Current func(now clock.Millis) bool
	// Metrics takes the outcomes of requests; it may be nil.
	Metrics *Metrics
	// Listen is the address for callers, ip:port.
	Listen string
	// GracePeriod is the time from the signal to stop until the process is killed.
	GracePeriod clock.Millis
	// MaxTotalBodyBytes bounds the bodies of all requests together; 0 means 64 MiB.
	MaxTotalBodyBytes int64

	bodyMemory bodyMemory
	stopping   atomic.Bool
	inFlight   atomic.Int64
	mu         sync.Mutex
	conns      map[net.Conn]connState
}

type connState struct {
	state http.ConnState
	since clock.Millis
}

// Ready tells whether the server should get new connections.
func (s *Server) Ready() bool { return s.State.View().Complete() && !s.stopping.Load() }

// Run serves until ctx is done and every answer is finished.
func (s *Server) Run(ctx context.Context) error {
	s.conns = make(map[net.Conn]connState)
	server := &http.Server{Addr: s.Listen, Handler: s, MaxHeaderBytes: serverMaxHeaderBytes, ConnState: s.trackConn}
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.ListenAndServe() }()
	idleCheck, stopIdleCheck := context.WithCancel(context.Background())
	defer stopIdleCheck()
	go clock.Every(idleCheck, idleCheckInterval, s.closeIdle)
	select {
	case err := <-serveErr:
		return errors.Wrap(err, "serve callers")
	case <-ctx.Done():
	}
	return s.shutdown(server)
}

// shutdown finishes the requests in progress: first the load balancer learns that
// the server is not ready, then the server takes no more connections.
func (s *Server) shutdown(server *http.Server) error {
	s.stopping.Store(true)
	s.Log.Emit(event.ProcessStopping, event.Fields{"held": s.inFlight.Load()})
	deadline := time.Now().Add((s.GracePeriod - shutdownMargin).Duration())
	time.Sleep(min(shutdownDelay, s.GracePeriod/2).Duration())
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	err := server.Shutdown(ctx)
	s.Log.Emit(event.ProcessStopped, event.Fields{"held": s.inFlight.Load()})
	return errors.Wrap(err, "finish requests")
}

// trackConn follows the states of callers' connections.
func (s *Server) trackConn(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(s.conns, c)
		return
	}
	s.conns[c] = connState{state, s.Clock.Now()}
}

// closeIdle closes connections on which no request has come for the time that
// the configuration in force allows.
func (s *Server) closeIdle() {
	s.Pool.Expire()
	cfg := s.State.View().Config()
	if cfg == nil {
		return
	}
	now, limits := s.Clock.Now(), cfg.Limits()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, st := range s.conns {
		idle := st.state == http.StateIdle && now-st.since > limits.IdleTimeout+idleTimeoutMargin
		noRequest := st.state == http.StateNew && now-st.since > limits.IdleTimeout+limits.HeaderTimeout
		if idle || noRequest {
			_ = c.Close()
		}
	}
}

// ServeHTTP answers one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	if s.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	r, refusal := s.accept(w, q)
	defer r.releaseBody()
	if refusal != nil {
		s.refuse(w, r, refusal)
		return
	}
	ctx, cancel := context.WithTimeout(q.Context(), (r.deadline - s.Clock.Now()).Duration())
	defer cancel()
	s.forwardRequest(ctx, w, q, r)
}

func (s *Server) maxTotalBodyBytes() int64 {
	if s.MaxTotalBodyBytes > 0 {
		return s.MaxTotalBodyBytes
	}
	return defaultMaxTotalBodyBytes
}

// refusal is an answer of the entry itself.
type refusal struct {
	status     int
	reason     string
	retryAfter clock.Millis
	fields     event.Fields
}

func (s *Server) refuse(w http.ResponseWriter, r *request, f *refusal) {
	fields := event.Fields{"request": r.id, "route": r.routeName(), "status": f.status, "reason": f.reason, "ms": s.Clock.Now() - r.arrived, "config": r.configVersion}
	for k, v := range f.fields {
		fields[k] = v
	}
	s.Metrics.countOutcome(f.reason)
	if f.status == http.StatusServiceUnavailable {
		fields["retryAfterMs"] = f.retryAfter
		w.Header().Set("Retry-After", formatSeconds(f.retryAfter))
	}
	if f.status == http.StatusBadGateway || f.status == http.StatusGatewayTimeout {
		s.Log.Emit(event.RequestFailed, fields)
	} else {
		s.Log.Emit(event.RequestRejected, fields)
	}
	if r.id != "" {
		w.Header().Set(s.Headers.RequestID, r.id)
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(f.status)
	_, _ = w.Write([]byte(f.reason + "\n")) // the caller may have left; nothing follows
}

// formatSeconds formats a time as formatSeconds with a fraction.
func formatSeconds(m clock.Millis) string {
	return strconv.FormatFloat(float64(m)/float64(clock.Second), 'f', 3, 64)
}
