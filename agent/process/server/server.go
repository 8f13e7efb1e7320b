package server

import (
	"context"
	"net"
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
	"goldcrestshore/core/version/configuration"
	"goldcrestshore/core/version/relay"
)

const (
	// drainPollInterval is how often a stopping agent checks whether it is idle.
	drainPollInterval = 50 * time.Millisecond
	// refusalPeriod is how long a stopping agent refuses new work before it closes
	// connections, so that every entry has received its draining state.
	refusalPeriod = 1 * time.Second
)

// Server is the agent process. Exported fields are set before Run.
type Server struct {
	Settings *settings.Common
	// Service is the service of the upstream.
	Service string
	// Upstream is the address of the upstream, ip:port.
	Upstream string
	// MaxStreamBytes limits the buffered response bytes of all requests together.
	MaxStreamBytes int64
	Log            *event.Log
	Metrics        *metric.Registry

	clock     *clock.Clock
	platform  *platform.Client
	views     *relay.Client
	gate      *gate
	configLag configLag
	suspects  *suspects.Watcher
	entries   *entry.Server
	self      peer.Identity
}

// Run serves until SIGTERM or SIGINT arrives and all requests in flight have
// finished.
func (s *Server) Run(ctx context.Context) error {
	signalCtx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	runCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	listener, err := net.Listen("tcp", s.Settings.Listen())
	if err != nil {
		return errors.Wrap(err, "listen for entries")
	}
	s.build(runCtx)
	group, runCtx := errgroup.WithContext(runCtx)
	group.Go(func() error { return s.views.Run(runCtx) })
	group.Go(func() error { s.entries.Run(runCtx); return nil })
	group.Go(func() error { s.gate.Run(runCtx); return nil })
	group.Go(func() error { s.updateGauges(runCtx); return nil })
	group.Go(func() error { return s.serveEntries(runCtx, listener) })
	group.Go(func() error { return s.serveAdmin(runCtx) })
	group.Go(func() error {
		s.register(signalCtx)
		<-signalCtx.Done()
		s.drain(runCtx)
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
	s.gate.upstreamConfig = s.upstreamConfig
	s.gate.precheck = s.refuseMisdirected
	s.suspects = &suspects.Watcher{
		Clock: s.clock, Log: s.Log, Gate: s.gate, Upstream: client, Load: client.Load,
		SendsReports:       func() bool { return s.upstreamConfig().sendsReports },
		RefusesConnections: suspects.ConnectionsRefusedBy(s.Upstream),
		// s.entries is set below, before the first request.
		NotifyCrash: func(m *frame.Crash) { s.entries.ReportCrash(m) },
		Incarnation: s.self.Incarnation(),
	}
	s.gate.fetchLoad = s.suspects.FetchLoad
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

// upstreamConfig returns the upstream's part of the configuration in force.
func (s *Server) upstreamConfig() upstreamConfig {
	v := s.views.Current()
	if !v.Ready() || v.Configuration() == nil {
		return upstreamConfig{}
	}
	drained := v.IsDrained(s.Settings.Instance(), s.Settings.DataCentre())
	service, ok := v.Configuration().Service(s.Service)
	if !ok {
		// A service that is not configured receives no work.
		return upstreamConfig{drained: true}
	}
	limits := admission.NewLimits(service.ColdLimit(), service.WarmLimit(), service.MemoryPerTokenBytes(), service.MemoryBudgetBytes())
	sendsReports := service.Kind() == configuration.Model
	if !sendsReports {
		limits = limits.WithoutReports()
	}
	return upstreamConfig{confirmed: true, sendsReports: sendsReports, drained: drained, limits: limits}
}

// refuseMisdirected refuses requests for another service, and requests that an
// entry routed by a configuration that should already be in force here.
func (s *Server) refuseMisdirected(m *frame.Submit) *outcome.Refusal {
	v := s.views.Current()
	if !v.Ready() || v.Configuration() == nil || s.configLag.exceedsLimit(s.clock.Now(), v.ConfigurationVersion(), m.ConfigVersion()) {
		return outcome.Refuse(outcome.ConfigUnconfirmed, outcome.NotRun, 0)
	}
	if m.Service() != s.Service {
		return outcome.Refuse(outcome.OutOfService, outcome.NotRun, 0)
	}
	return nil
}

func (s *Server) heartbeat() *frame.Heartbeat {
	return frame.NewHeartbeat(s.views.Current().ConfigurationVersion(), s.gate.loadReport())
}

func (s *Server) serveEntries(ctx context.Context, l net.Listener) error {
	listener := &peer.Listener{Self: s.self, Key: s.Settings.Key(), Log: s.Log, Serve: s.serve}
	return listener.Run(ctx, l)
}

// serve handles a connection according to the role of its peer.
func (s *Server) serve(ctx context.Context, c *peer.Conn) {
	if c.Peer().Role() == relay.RoleSubscriber {
		s.views.Serve(ctx, c)
		return
	}
	s.entries.Serve(ctx, c)
}

func (s *Server) serveAdmin(ctx context.Context) error {
	endpoints := s.Metrics.Endpoints()
	endpoints[metric.ReadyPath] = metric.Ready(s.ready)
	return metric.Serve(ctx, s.Settings.Admin(), endpoints)
}

// ready reports whether the agent accepts new requests.
func (s *Server) ready() bool {
	return s.views.Current().Ready() && !s.heartbeat().Load().Condition().Draining()
}

// register registers the agent with the platform, with retries until it
// succeeds.
func (s *Server) register(ctx context.Context) {
	i := platform.NewInstance(s.Settings.Instance(), platform.RoleAgent, s.Settings.DataCentre(), s.Settings.Advertise()).
		WithUpstream(s.Upstream, s.Service)
	platform.RegisterWithRetry(ctx, s.platform, i, s.logPlatformError)
}

// logPlatformError logs a failed platform call.
func (s *Server) logPlatformError(err error) { s.Log.Error(event.PlatformFailed, err, nil) }

// drain refuses new work, deregisters the agent and waits for requests in flight.
func (s *Server) drain(ctx context.Context) {
	s.Log.Emit(event.ProcessStopping, event.Fields{"held": s.entries.InFlight()})
	s.gate.stop()
	platform.DeregisterOnStop(ctx, s.platform, s.Settings.Instance(), s.logPlatformError)
	refusalEnd := time.After(refusalPeriod)
	for s.entries.InFlight() > 0 && ctx.Err() == nil {
		time.Sleep(drainPollInterval)
	}
	select {
	case <-refusalEnd:
	case <-ctx.Done():
	}
}
