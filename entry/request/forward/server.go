// Package forward serves the requests of callers: it forwards each directly to an
// upstream and the response back to the caller.
package forward

import (
	"cmp"
	"context"
	"net/http"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"goldcrestshore/core/connection/http1"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/event"
	"goldcrestshore/entry/connection/upstream"
	"goldcrestshore/entry/process/quarantines"
	"goldcrestshore/entry/request/body"
	"goldcrestshore/entry/version/fleet"
)

// Headers are the names of the headers that callers, entries and upstreams use.
type Headers struct {
	// RequestID identifies one attempt of a caller; responses echo it.
	RequestID string
	// Deadline is the number of milliseconds that the sender waits for the
	// response.
	Deadline string
	// Key identifies the customer; it is not forwarded.
	Key string
	// Customer gives the upstream the name of the customer who owns the key.
	Customer string
	// Target is the id of the intended upstream; any other refuses the request.
	Target string
	// Signature proves that a response comes from an upstream.
	Signature string
	// NotRun marks the response of an upstream that did not run the request.
	NotRun string
	// LastEventID is the id of the last event that the caller received.
	LastEventID string
	// Tokens gives the number of prompt tokens and the maximum number of output
	// tokens.
	Tokens string
	// RateLimit states how many requests per second an upstream takes from all entries
	// together, for as long as its responses carry it.
	RateLimit string
	// Precondition states what the caller of a request expects of its upstream. One that does not
	// meet it answers like one that the request was not meant for, with 421.
	Precondition string
	// Leaving marks the responses of an upstream that leaves: it takes no new requests.
	Leaving string
	// PromptParts lists the parts of the prompt in order, as ID:TOKENS separated by
	// commas. Requests share parts; the last one belongs to a single request or session.
	PromptParts string
}

// expireInterval is how often idle connections to upstreams are checked.
const expireInterval = clock.Second

// defaultMaxTotalBodyBytes applies when Server.MaxTotalBodyBytes is 0.
const defaultMaxTotalBodyBytes = 64 << 20

// Server serves callers. Exported fields must be set before Run.
type Server struct {
	Clock     *clock.Clock
	Log       *event.Log
	Headers   Headers
	State     *fleet.State
	Scheduler *Scheduler
	Pool      *upstream.Pool
	// Current reports whether the view is up to date with the store.
	Current func(now clock.Millis) bool
	// Synced is closed once the view has what other entries knew when this one started.
	// Requests wait for it. Nil means that it has.
	Synced <-chan struct{}
	// Quarantine refuses requests like those that have crashed upstreams; it may be nil.
	Quarantine *quarantines.Service
	// OnLeaving is called with an upstream that has told this entry first that it leaves; it may be
	// nil.
	OnLeaving func(*fleet.Upstream)
	// Metrics records the outcomes of requests; it may be nil.
	Metrics *Metrics
	// Listen is the address that callers connect to, as ip:port.
	Listen string
	// GracePeriod is the time from the stop signal until the process is killed.
	GracePeriod clock.Millis
	// MaxTotalBodyBytes bounds the memory of all bodies of requests, and of those responses that
	// are buffered, together; 0 means 64 MiB.
	MaxTotalBodyBytes int64
	// MaxConns bounds the open connections of callers, 0 for any number.
	MaxConns int
	// MaxHeadMemoryBytes bounds the memory of the heads of all requests together, as far as they are
	// larger than ordinary ones; 0 means 64 MiB.
	MaxHeadMemoryBytes int64

	bodyMemory body.Memory
	// unreadablePauses holds the upstreams that have asked for a pause that can't be read.
	unreadablePauses onceSet
	stopping         atomic.Bool
	// cutAt is the time, by Clock, at which a stopping server ends the requests that are
	// still in flight.
	cutAt atomic.Int64
	// requestsEnd ends then, by endRequests. It is nil before Run.
	requestsEnd context.Context
	endRequests context.CancelFunc
	durations   durations
	inFlight    atomic.Int64
	callers     http1.Server
}

// Ready reports whether the server should receive new connections.
func (s *Server) Ready() bool { return s.State.View().Complete() && !s.stopping.Load() }

// Run serves callers until ctx is done, then waits for the requests in flight
// within the grace period.
func (s *Server) Run(ctx context.Context) error {
	s.requestsEnd, s.endRequests = context.WithCancel(context.Background())
	defer s.endRequests()
	listener, err := listenDraining(s.Listen)
	if err != nil {
		return err
	}
	s.limitCallers()
	serveErr := make(chan error, 1)
	go func() { serveErr <- s.callers.Serve(listener) }()
	expiring, stopExpiring := context.WithCancel(context.Background())
	defer stopExpiring()
	go clock.Every(expiring, expireInterval, s.Pool.Expire)
	select {
	case err := <-serveErr:
		return errors.Wrap(err, "serve callers")
	case <-ctx.Done():
	}
	return s.shutdown(listener)
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	if s.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	r, refusal := s.accept(w, q)
	defer r.releaseBody()
	if refusal != nil {
		if r.body == nil {
			http1.EndUnread(w, q)
		}
		s.refuse(w, q, r, refusal)
		return
	}
	ctx, cancel := context.WithTimeout(q.Context(), (r.deadline - s.Clock.Now()).Duration())
	defer cancel()
	ctx, stop := s.untilStopped(ctx)
	defer stop()
	if s.Quarantine != nil {
		tracked, stop := s.Quarantine.Track(ctx, r.quarantine)
		defer stop()
		ctx = tracked
	}
	s.forwardRequest(ctx, w, q, r)
	now := s.Clock.Now()
	s.durations.record(now, r.route.Name, now-r.arrived)
}

func (s *Server) maxTotalBodyBytes() int64 {
	return cmp.Or(s.MaxTotalBodyBytes, defaultMaxTotalBodyBytes)
}
