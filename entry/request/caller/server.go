package caller

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/core/proc"
	"github.com/zeromicro/go-zero/core/service"
	"github.com/zeromicro/go-zero/rest"

	"goldcrestshore/core/connection/connlimit"
	"goldcrestshore/core/connection/http1"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/event"
	"goldcrestshore/core/request/outcome"
	"goldcrestshore/core/version/relay"
)

// callerTimeouts are the time limits of callers.
var callerTimeouts = http1.Timeouts{Head: 10 * clock.Second, Idle: 120 * clock.Second, Write: 60 * clock.Second}

const (
	maxHeaderBytes = 64 << 10
	// sendBufferBytes is the socket send buffer, which limits the bytes buffered for a slow reader.
	sendBufferBytes = 8 << 10
	// tcpUserTimeout closes a connection whose peer has accepted no data for this long. A read
	// deadline would disconnect callers that are only waiting.
	tcpUserTimeout = 60 * clock.Second
	// forcedExitTimeout overrides the HTTP library's default of ending the process
	// 5.5 s after a signal, which would cut off responses still being streamed.
	forcedExitTimeout = 24 * time.Hour
	// shutdownDelay is the time between the signal and closing the listener. During
	// it, refusals with the code "stopping" notify the platform's load balancer.
	shutdownDelay = 2 * time.Second
)

// Dispatcher selects an upstream for a request and copies its response. An error
// that is not a refusal means that the caller has disconnected. After
// Response.Started, any error means that the response is incomplete.
type Dispatcher interface {
	Dispatch(ctx context.Context, r *Request, resp *Response) error
}

// Server is the HTTP server for callers. Exported fields must be set before Run.
type Server struct {
	Clock           *clock.Clock
	Log             *event.Log
	CurrentSnapshot func() *relay.Snapshot
	Dispatcher      Dispatcher
	// Scope receives the request counters; nil disables them.
	Scope tally.Scope
	// Listen is the listen address for callers, ip:port.
	Listen string
	// MaxConnections bounds open connections, see http1.Server.
	MaxConnections int64
	// MaxHeadMemoryBytes bounds the memory of large heads of requests, see http1.Server.
	MaxHeadMemoryBytes int64
	// MaxRequests bounds the requests in flight.
	MaxRequests int64
	// MaxBodyMemoryBytes bounds the total bytes of the request bodies of all
	// callers. It must be at least MaxBodyBytes.
	MaxBodyMemoryBytes int64
	// Recorder counts met and missed objectives; nil disables counting.
	Recorder Recorder
	// OnListen is called with the listen address once the listener is open; it may
	// be nil.
	OnListen func(net.Addr)

	budgetOnce sync.Once
	bodyBudget *bodyBudget
	stopping   atomic.Bool
	inFlight   atomic.Int64
}

// Stop makes the server refuse new requests.
func (s *Server) Stop() { s.stopping.Store(true) }

// Ready reports whether the server accepts new requests.
func (s *Server) Ready() bool { return s.CurrentSnapshot().Ready() && !s.stopping.Load() }

// InFlight returns the number of requests in flight.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// Run serves until the process has received a stop signal and every response is
// complete.
func (s *Server) Run() error {
	handler, err := s.newHandler()
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	if s.OnListen != nil {
		s.OnListen(listener.Addr())
	}
	server := s.newServer(handler)
	// The library calls its listeners once the process has received a stop signal.
	awaitShutdown := proc.AddShutdownListener(func() {
		if err := server.Shutdown(context.Background()); err != nil {
			s.Log.Error(event.ProcessStopping, err, nil)
		}
	})
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve callers")
	}
	awaitShutdown()
	return nil
}

// newHandler returns the handler of the library. All its middlewares stay disabled: they would refuse,
// cut off or buffer requests by rules of their own. Its server stays unused, because it has no bounds
// for callers that do not behave.
func (s *Server) newHandler() (http.Handler, error) {
	server, err := rest.NewServer(rest.RestConf{
		ServiceConf: service.ServiceConf{
			Name:     "goldcrest-entry",
			Log:      logx.LogConf{Mode: "console", Level: "severe"},
			Shutdown: proc.ShutdownConf{WrapUpTime: shutdownDelay, WaitTime: forcedExitTimeout},
		},
	}, rest.WithRouter(&router{handler: s}))
	if err != nil {
		return nil, errors.Wrap(err, "create HTTP server")
	}
	logx.Disable()
	handler, err := rest.NewServerless(server)
	if err != nil {
		return nil, errors.Wrap(err, "create HTTP handler")
	}
	return http.HandlerFunc(handler.Serve), nil
}

func (s *Server) newServer(handler http.Handler) *http1.Server {
	return &http1.Server{
		Clock: s.Clock, Handler: handler, Timeouts: func() http1.Timeouts { return callerTimeouts }, OnClose: s.countClosed,
		MaxConns: int(s.MaxConnections), MaxHeadBytes: maxHeaderBytes, MaxHeadMemoryBytes: s.MaxHeadMemoryBytes,
		SendBufferBytes: sendBufferBytes, UserTimeout: tcpUserTimeout,
	}
}

// countClosed counts a connection that was closed because of a limit.
func (s *Server) countClosed(reason connlimit.Reason) {
	if s.Scope != nil {
		s.Scope.Tagged(map[string]string{"reason": string(reason)}).Counter("caller_connections_closed").Inc(1)
	}
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	if s.stopping.Load() {
		w.Header().Set("Connection", "close")
		s.refuse(w, req, outcome.Refuse(outcome.Stopping, outcome.NotRun, int64(clock.Second)))
		return
	}
	if s.inFlight.Load() > s.MaxRequests {
		s.refuse(w, req, outcome.Refuse(outcome.Overloaded, outcome.NotRun, int64(clock.Second)))
		return
	}
	r, err := parseRequest(w, req, s.CurrentSnapshot(), s.bodyMemory(), s.Clock.Now())
	if err != nil {
		s.refuse(w, req, err)
		return
	}
	defer r.release()
	http1.Received(req.Context())
	s.respond(w, req, r)
}

func (s *Server) bodyMemory() *bodyBudget {
	s.budgetOnce.Do(func() { s.bodyBudget = newBodyBudget(s.MaxBodyMemoryBytes) })
	return s.bodyBudget
}

func (s *Server) respond(w http.ResponseWriter, req *http.Request, r *Request) {
	startedAt := s.Clock.Now()
	ctx, cancel := context.WithTimeout(req.Context(), (r.EndDeadline() - startedAt).Duration())
	defer cancel()
	resp := NewResponse(w, s.Clock)
	startTimer := time.AfterFunc((r.Deadline() - startedAt).Duration(), func() {
		if !resp.Started() {
			cancel()
		}
	})
	defer startTimer.Stop()
	err := s.Dispatcher.Dispatch(ctx, r, resp)
	if req.Context().Err() == nil {
		s.recordObjectives(r, resp, startedAt, err)
	}
	switch {
	case err == nil:
		s.count("requests_answered", "")
		return
	case req.Context().Err() != nil:
		s.count("requests_left", "")
		s.Log.Error(event.CallerDisconnected, err, nil)
	case !resp.Started():
		s.refuse(w, req, err)
		return
	default:
		s.count("answers_aborted", "")
		s.Log.Error(event.ResponseAborted, err, event.Fields{"service": r.Service().Name(), "written": resp.Written()})
	}
	http1.Abort(w, req)
}

// refuse writes a refusal. The body of the request may not have been read.
func (s *Server) refuse(w http.ResponseWriter, req *http.Request, err error) {
	http1.EndUnread(w, req)
	http1.EndAhead(w, req)
	s.count("requests_refused", outcome.As(err).Code())
	s.Log.Error(event.RequestRefused, err, nil)
	writeRefusal(w, err)
}

// count increments a counter, tagged with the refusal code if there is one.
func (s *Server) count(name string, code outcome.Code) {
	if s.Scope == nil {
		return
	}
	scope := s.Scope
	if code != "" {
		scope = scope.Tagged(map[string]string{"code": string(code)})
	}
	scope.Counter(name).Inc(1)
}

// router passes every method and path to one handler. Requests are routed by the
// configuration, which changes while the server runs.
type router struct{ handler http.Handler }

// ServeHTTP implements httpx.Router.
func (r *router) ServeHTTP(w http.ResponseWriter, req *http.Request) { r.handler.ServeHTTP(w, req) }

// Handle implements httpx.Router; no routes are registered.
func (r *router) Handle(string, string, http.Handler) error { return nil }

// SetNotFoundHandler implements httpx.Router; every path goes to the handler.
func (r *router) SetNotFoundHandler(http.Handler) {}

// SetNotAllowedHandler implements httpx.Router; every method goes to the handler.
func (r *router) SetNotAllowedHandler(http.Handler) {}
