package server

import (
	"context"
	"net"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"goldcrestshore/agent/connection/entry"
	"goldcrestshore/agent/process/suspects"
	"goldcrestshore/agent/request/admission"
	"goldcrestshore/agent/request/upstream"
	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/connection/peer"
	"goldcrestshore/core/connection/platform"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/event"
	"goldcrestshore/core/process/metric"
	"goldcrestshore/core/process/settings"
	"goldcrestshore/core/request/outcome"
	"goldcrestshore/core/version/relay"
	"goldcrestshore/core/version/text"
)

const (
	// drainPoll is how often a stopping agent looks whether it is idle.
	drainPoll = 50 * time.Millisecond
	// leaveNotice is how long a stopping agent keeps refusing new work, so that
	// every entry has heard that it leaves before connections close.
	leaveNotice = 1 * time.Second
)

// Server is the agent process. Exported fields are set before Run.
type Server struct {
	Settings *settings.Common
	// Service is the service of the upstream.
	Service string
	// Upstream is the address of the upstream, ip:port.
	Upstream string
	// MaxStreamBytes bounds the answer bytes that all requests together hold.
	MaxStreamBytes int64
	Log            *event.Log
	Metrics        *metric.Registry

	clock    *clock.Clock
	platform *platform.Client
	views    *relay.Client
	gate     *gate
	lag      lag
	suspects *suspects.Watch
	entries  *entry.Server
	self     peer.Identity
}

// Run serves until a signal asks it to stop and all held requests are finished.
func (s *Server) Run(ctx context.Context) error {
	stopping, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	running, cancel := context.WithCancel(ctx)
	defer cancel()
	listener, err := net.Listen("tcp", s.Settings.Listen())
	if err != nil {
		return errors.Wrap(err, "listen for entries")
	}
	s.build(running)
	group, running := errgroup.WithContext(running)
	group.Go(func() error { return s.views.Run(running) })
	group.Go(func() error { s.entries.Run(running); return nil })
	group.Go(func() error { s.gate.Run(running); return nil })
	group.Go(func() error { s.observe(running); return nil })
	group.Go(func() error { return s.serveEntries(running, listener) })
	group.Go(func() error { return s.serveAdmin(running) })
	group.Go(func() error {
		s.register(stopping)
		<-stopping.Done()
		s.drain(running)
		cancel()
		return nil
	})
	s.Log.Emit(event.ProcessStarted, event.Fields{"address": listener.Addr().String(), "upstream": s.Upstream})
	err = group.Wait()
	s.Log.Emit(event.ProcessStopped, nil)
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

func (s *Server) build(ctx context.Context) {
	s.self = peer.NewIdentity(platform.RoleAgent, s.Settings.Instance(), s.Settings.DataCentre())
	s.clock = clock.System()
	s.platform = platform.New(s.Settings.Platform())
	s.views = &relay.Client{
		Platform: s.platform, Log: s.Log, Clock: s.clock, Self: s.self, Address: s.Settings.Advertise(),
		Key: s.Settings.Key(), Contacts: s.Settings.Contacts(), Scope: s.Metrics.Scope(), Load: func() frame.Load { return s.heartbeat().Load() },
	}
	client := upstream.New(s.Upstream)
	s.gate = newGate(s.Service, s.clock)
	s.gate.state = s.state
	s.gate.refusal = s.misdirected
	s.suspects = &suspects.Watch{
		Clock: s.clock, Log: s.Log, Gate: s.gate, Upstream: client, Load: client.Load,
		Reports: func() bool { return s.state().reports },
		Refused: suspects.RefusedAt(s.Upstream),
		// entries exists before the first request.
		Report:      func(m *frame.Crash) { s.entries.ReportCrash(m) },
		Incarnation: s.self.Incarnation(),
	}
	s.gate.load = s.suspects.Observe
	s.entries = &entry.Server{
		Clock:          s.clock,
		Log:            s.Log,
		Gate:           s.suspects,
		Upstream:       s.suspects,
		Heartbeat:      s.heartbeat,
		Incarnation:    s.self.Incarnation(),
		MaxStreamBytes: s.MaxStreamBytes,
	}
	s.entries.Start(ctx)
}

// state returns what the configuration in force says about the upstream.
func (s *Server) state() state {
	v := s.views.Current()
	if !v.Ready() || v.Configuration() == nil {
		return state{}
	}
	out := v.IsDrained(s.Settings.Instance(), s.Settings.DataCentre())
	service, ok := v.Configuration().Service(s.Service)
	if !ok {
		// A service that the text does not have gets no work.
		return state{out: true}
	}
	limits := admission.NewLimits(service.ColdLimit(), service.WarmLimit(), service.MemoryPerTokenBytes(), service.MemoryBudgetBytes())
	reports := service.Kind() == text.Model
	if !reports {
		limits = limits.WithoutReports()
	}
	return state{confirmed: true, reports: reports, out: out, limits: limits}
}

// misdirected refuses work for another service, and work that an entry sent by
// a configuration that should long be in force here.
func (s *Server) misdirected(m *frame.Submit) *outcome.Refusal {
	v := s.views.Current()
	if !v.Ready() || v.Configuration() == nil || s.lag.tooLong(s.clock.Now(), v.ConfigurationVersion(), m.ConfigVersion()) {
		return outcome.Refuse(outcome.ConfigUnconfirmed, outcome.NotRun, 0)
	}
	if m.Service() != s.Service {
		return outcome.Refuse(outcome.OutOfService, outcome.NotRun, 0)
	}
	return nil
}

func (s *Server) heartbeat() *frame.Heartbeat {
	return frame.NewHeartbeat(s.views.Current().ConfigurationVersion(), s.gate.report())
}

func (s *Server) serveEntries(ctx context.Context, l net.Listener) error {
	listener := &peer.Listener{Self: s.self, Key: s.Settings.Key(), Log: s.Log, Serve: s.serve}
	return listener.Run(ctx, l)
}

// serve runs a connection by the role of its peer.
func (s *Server) serve(ctx context.Context, c *peer.Conn) {
	if c.Peer().Role() == relay.RoleSubscriber {
		s.views.Serve(ctx, c)
		return
	}
	s.entries.Serve(ctx, c)
}

func (s *Server) serveAdmin(ctx context.Context) error {
	return metric.Serve(ctx, s.Settings.Admin(), map[string]http.Handler{
		"/metrics": s.Metrics.Handler(),
		"/ready":   metric.Ready(s.ready),
	})
}

// ready tells whether the agent takes new work.
func (s *Server) ready() bool {
	return s.views.Current().Ready() && !s.heartbeat().Load().Condition().Draining()
}

// register announces the agent to the platform and tries again until it works.
func (s *Server) register(ctx context.Context) {
	i := platform.NewInstance(s.Settings.Instance(), platform.RoleAgent, s.Settings.DataCentre(), s.Settings.Advertise()).
		WithUpstream(s.Upstream, s.Service)
	platform.RegisterWithRetry(ctx, s.platform, i, s.platformFailed)
}

// platformFailed logs a failed platform call.
func (s *Server) platformFailed(err error) { s.Log.Error(event.PlatformFailed, err, nil) }

// drain refuses new work, waits for held requests and leaves the list.
func (s *Server) drain(ctx context.Context) {
	s.Log.Emit(event.ProcessStopping, event.Fields{"held": s.entries.Held()})
	s.gate.leave()
	platform.DeregisterOnStop(ctx, s.platform, s.Settings.Instance(), s.platformFailed)
	notice := time.After(leaveNotice)
	for s.entries.Held() > 0 && ctx.Err() == nil {
		time.Sleep(drainPoll)
	}
	select {
	case <-notice:
	case <-ctx.Done():
	}
}
