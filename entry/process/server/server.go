// Package server assembles the entry process from its parts: the server for
// callers, connections to agents, routing and the configuration.
package server

import (
	"context"
	"math/rand/v2"
	"net"
	"os/signal"
	"slices"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"goldcrestshore/core/connection/peer"
	"goldcrestshore/core/connection/platform"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/duty"
	"goldcrestshore/core/process/event"
	"goldcrestshore/core/process/limiter"
	"goldcrestshore/core/process/metric"
	"goldcrestshore/core/process/rendezvous"
	"goldcrestshore/core/process/settings"
	"goldcrestshore/core/version/relay"
	"goldcrestshore/entry/connection/agent"
	"goldcrestshore/entry/process/burn"
	"goldcrestshore/entry/process/claims"
	"goldcrestshore/entry/process/suspects"
	"goldcrestshore/entry/request/caller"
	"goldcrestshore/entry/request/dispatch"
	"goldcrestshore/entry/request/schedule"
)

// Server is the entry process. Exported fields must be set before Run.
type Server struct {
	Settings *settings.Common
	// Callers is the listen address for callers, ip:port.
	Callers string
	// MaxConnections and MaxRequests bound the open connections of callers and the
	// requests in flight.
	MaxConnections int64
	MaxRequests    int64
	// MaxBodyMemoryBytes bounds the total bytes of the request bodies of all callers.
	MaxBodyMemoryBytes int64
	// MaxHeadMemoryBytes bounds the memory of large heads of requests.
	MaxHeadMemoryBytes int64
	Log                *event.Log
	Metrics            *metric.Registry

	self      peer.Identity
	clock     *clock.Clock
	platform  *platform.Client
	snapshots *relay.Client
	pool      *agent.Pool
	scheduler *schedule.Scheduler
	burn      *burn.Recorder
	claims    *claims.Service
	suspects  *suspects.Service
	callers   *caller.Server
}

// Run serves until ctx is done or the process receives SIGTERM or SIGINT, and until
// all responses are complete.
func (s *Server) Run(ctx context.Context) error {
	signalCtx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	runCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	listener, err := net.Listen("tcp", s.Settings.Listen())
	if err != nil {
		return errors.Wrap(err, "listen for peer connections")
	}
	s.build()
	group, runCtx := errgroup.WithContext(runCtx)
	group.Go(func() error { return s.snapshots.Run(runCtx) })
	group.Go(func() error { s.pool.Run(runCtx); return nil })
	group.Go(func() error { s.scheduler.Run(runCtx); return nil })
	group.Go(func() error { return s.servePeers(runCtx, listener) })
	group.Go(func() error { s.register(signalCtx); return nil })
	group.Go(func() error { s.burn.Run(runCtx); return nil })
	group.Go(func() error { return s.claims.Run(runCtx) })
	group.Go(func() error { s.suspects.Run(runCtx); return nil })
	group.Go(func() error { s.broadcastShares(runCtx); return nil })
	group.Go(func() error {
		endpoints := s.Metrics.Endpoints()
		endpoints[metric.ReadyPath] = metric.Ready(s.callers.Ready)
		return metric.Serve(runCtx, s.Settings.Admin(), endpoints)
	})
	group.Go(func() error {
		<-signalCtx.Done()
		s.Log.Emit(event.ProcessStopping, event.Fields{"held": s.callers.InFlight()})
		s.callers.Stop()
		platform.DeregisterOnStop(runCtx, s.platform, s.Settings.Instance(), s.logPlatformError)
		return nil
	})
	group.Go(func() error {
		defer cancel()
		defer stop()
		return s.callers.Run()
	})
	s.Log.Emit(event.ProcessStarted, event.Fields{"address": s.Callers})
	err = group.Wait()
	s.Log.Emit(event.ProcessStopped, nil)
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

func (s *Server) servePeers(ctx context.Context, l net.Listener) error {
	listener := &peer.Listener{Self: s.self, Key: s.Settings.Key(), Log: s.Log, Serve: s.serveConn}
	return listener.Run(ctx, l)
}

// serveConn serves a connection according to the role of its peer.
func (s *Server) serveConn(ctx context.Context, c *peer.Conn) {
	if c.Peer().Role() == platform.RoleEntry {
		s.claims.Serve(ctx, c)
		return
	}
	s.snapshots.Serve(ctx, c)
}

// register registers the entry with the platform and retries until it succeeds.
func (s *Server) register(ctx context.Context) {
	i := platform.NewInstance(s.Settings.Instance(), platform.RoleEntry, s.Settings.DataCentre(), s.Settings.Advertise())
	platform.RegisterWithRetry(ctx, s.platform, i, s.logPlatformError)
}

// logPlatformError logs a failed platform call.
func (s *Server) logPlatformError(err error) { s.Log.Error(event.PlatformFailed, err, nil) }

// build creates the parts of the process and connects them.
func (s *Server) build() {
	s.self = peer.NewIdentity(platform.RoleEntry, s.Settings.Instance(), s.Settings.DataCentre())
	s.clock = clock.System()
	s.platform = platform.New(s.Settings.Platform())
	s.snapshots = &relay.Client{
		Platform: s.platform, Log: s.Log, Clock: s.clock, Self: s.self, Address: s.Settings.Advertise(),
		Key: s.Settings.Key(), Contacts: s.Settings.Contacts(), Scope: s.Metrics.Scope(),
	}
	s.scheduler = &schedule.Scheduler{
		Clock: s.clock, CurrentSnapshot: s.snapshots.Current, Entry: s.Settings.Instance(), DataCentre: s.Settings.DataCentre(),
		Incarnation: s.self.Incarnation(), Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	s.pool = &agent.Pool{Router: s.scheduler, Self: s.self, Key: s.Settings.Key(), Log: s.Log, Clock: s.clock, CurrentSnapshot: s.snapshots.Current}
	s.burn = &burn.Recorder{
		Platform: s.platform, Clock: s.clock, Log: s.Log, Instance: s.Settings.Instance(),
		Interval: burn.DefaultInterval, Elected: s.elected, Limit: s.newBurnLimiter(),
	}
	s.claims = &claims.Service{
		Platform: s.platform, Clock: s.clock, Log: s.Log, Self: s.self, Key: s.Settings.Key(),
		CurrentSnapshot: s.snapshots.Current, Query: s.pool.Query,
	}
	s.suspects = &suspects.Service{Clock: s.clock, Log: s.Log, CurrentSnapshot: s.snapshots.Current, Broadcast: s.claims.Broadcast}
	s.claims.OnShares, s.pool.OnCrash = s.updatePeerShares, s.suspects.Crashed
	s.callers = &caller.Server{
		Scope:              s.Metrics.Scope(),
		Recorder:           s.burn,
		Clock:              s.clock,
		Log:                s.Log,
		CurrentSnapshot:    s.snapshots.Current,
		Dispatcher:         s.newDispatcher(),
		Listen:             s.Callers,
		MaxConnections:     s.MaxConnections,
		MaxRequests:        s.MaxRequests,
		MaxBodyMemoryBytes: s.MaxBodyMemoryBytes,
		MaxHeadMemoryBytes: s.MaxHeadMemoryBytes,
	}
}

func (s *Server) newDispatcher() *dispatch.Dispatcher {
	return &dispatch.Dispatcher{
		Pool: s.pool, Scheduler: s.scheduler, Clock: s.clock, Log: s.Log, Incarnation: s.self.Incarnation(), Claims: s.claims,
		Suspects: s.suspects,
	}
}

// elected reports whether, by its instance list, this entry is the one that removes
// the burn counts of terminated entries. It does no harm if two entries do so.
func (s *Server) elected() bool {
	v := s.snapshots.Current()
	entries := duty.Eligible(v.Instances(), v.DrainFlags(), func(i platform.Instance) bool { return i.Role() == platform.RoleEntry })
	return slices.Equal(rendezvous.Top("burn", entries, 1), []string{s.Settings.Instance()})
}

// newBurnLimiter returns the limiter that keeps the writes of burn counts within the
// duty's quota.
func (s *Server) newBurnLimiter() *limiter.Limiter {
	l := limiter.New(limiter.Burn, burn.MaxEntries)
	l.Instrument(s.Metrics.Scope())
	return l
}
