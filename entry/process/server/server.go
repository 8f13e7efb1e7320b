// Package server wires the entry: callers, connections to agents, routing and
// the configuration.
package server

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
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

// Server is the entry process. Exported fields are set before Run.
type Server struct {
	Settings *settings.Common
	// Callers is the address for callers, ip:port.
	Callers string
	// MaxConnections and MaxRequests bound callers' connections and requests.
	MaxConnections int64
	MaxRequests    int64
	// MaxBodies bounds the bytes of all request bodies together.
	MaxBodies int64
	Log       *event.Log
	Metrics   *metric.Registry

	self      peer.Identity
	clock     *clock.Clock
	platform  *platform.Client
	views     *relay.Client
	pool      *agent.Pool
	scheduler *schedule.Scheduler
	burn      *burn.Recorder
	claims    *claims.Service
	suspects  *suspects.Service
	callers   *caller.Server
}

// Run serves until a signal asks it to stop and every answer is finished.
func (s *Server) Run(ctx context.Context) error {
	stopping, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	running, cancel := context.WithCancel(ctx)
	defer cancel()
	listener, err := net.Listen("tcp", s.Settings.Listen())
	if err != nil {
		return errors.Wrap(err, "listen for other processes")
	}
	s.build()
	group, running := errgroup.WithContext(running)
	group.Go(func() error { return s.views.Run(running) })
	group.Go(func() error { s.pool.Run(running); return nil })
	group.Go(func() error { s.scheduler.Run(running); return nil })
	group.Go(func() error { return s.servePeers(running, listener) })
	group.Go(func() error { s.register(stopping); return nil })
	group.Go(func() error { s.burn.Run(running); return nil })
	group.Go(func() error { return s.claims.Run(running) })
	group.Go(func() error { s.suspects.Run(running); return nil })
	group.Go(func() error { s.shareLimits(running); return nil })
	group.Go(func() error {
		return metric.Serve(running, s.Settings.Admin(), map[string]http.Handler{
			"/metrics": s.Metrics.Handler(),
			"/ready":   metric.Ready(s.callers.Ready),
		})
	})
	group.Go(func() error {
		<-stopping.Done()
		s.Log.Emit(event.ProcessStopping, event.Fields{"held": s.callers.InFlight()})
		s.callers.Stop()
		platform.DeregisterOnStop(running, s.platform, s.Settings.Instance(), s.platformFailed)
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
	listener := &peer.Listener{Self: s.self, Key: s.Settings.Key(), Log: s.Log, Serve: s.serve}
	return listener.Run(ctx, l)
}

// serve runs a connection by the role of its peer.
func (s *Server) serve(ctx context.Context, c *peer.Conn) {
	if c.Peer().Role() == platform.RoleEntry {
		s.claims.Serve(ctx, c)
		return
	}
	s.views.Serve(ctx, c)
}

// register announces the entry to the platform and tries again until it works.
func (s *Server) register(ctx context.Context) {
	i := platform.NewInstance(s.Settings.Instance(), platform.RoleEntry, s.Settings.DataCentre(), s.Settings.Advertise())
	platform.RegisterWithRetry(ctx, s.platform, i, s.platformFailed)
}

// platformFailed logs a failed platform call.
func (s *Server) platformFailed(err error) { s.Log.Error(event.PlatformFailed, err, nil) }

func (s *Server) build() {
	s.self = peer.NewIdentity(platform.RoleEntry, s.Settings.Instance(), s.Settings.DataCentre())
	s.clock = clock.System()
	s.platform = platform.New(s.Settings.Platform())
	s.views = &relay.Client{
		Platform: s.platform, Log: s.Log, Clock: s.clock, Self: s.self, Address: s.Settings.Advertise(),
		Key: s.Settings.Key(), Contacts: s.Settings.Contacts(), Scope: s.Metrics.Scope(),
	}
	s.scheduler = &schedule.Scheduler{
		Clock: s.clock, View: s.views.Current, Entry: s.Settings.Instance(), DataCentre: s.Settings.DataCentre(),
		Incarnation: s.self.Incarnation(), Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	s.pool = &agent.Pool{Router: s.scheduler, Self: s.self, Key: s.Settings.Key(), Log: s.Log, Clock: s.clock, View: s.views.Current}
	s.burn = &burn.Recorder{
		Platform: s.platform, Clock: s.clock, Log: s.Log, Instance: s.Settings.Instance(),
		Interval: burn.DefaultInterval, Elected: s.elected, Limit: s.burnLimit(),
	}
	s.claims = &claims.Service{
		Platform: s.platform, Clock: s.clock, Log: s.Log, Self: s.self, Key: s.Settings.Key(),
		View: s.views.Current, Query: s.pool.Query,
	}
	s.suspects = &suspects.Service{Clock: s.clock, Log: s.Log, View: s.views.Current, Broadcast: s.claims.Broadcast}
	s.claims.OnShares, s.pool.OnCrash = s.shared, s.suspects.Crashed
	s.callers = &caller.Server{
		Scope:          s.Metrics.Scope(),
		Recorder:       s.burn,
		Clock:          s.clock,
		Log:            s.Log,
		View:           s.views.Current,
		Dispatcher:     s.dispatcher(),
		Listen:         s.Callers,
		MaxConnections: s.MaxConnections,
		MaxRequests:    s.MaxRequests,
		MaxBodies:      s.MaxBodies,
	}
}

func (s *Server) dispatcher() *dispatch.Dispatcher {
	return &dispatch.Dispatcher{
		Pool: s.pool, Scheduler: s.scheduler, Clock: s.clock, Log: s.Log, Incarnation: s.self.Incarnation(), Claims: s.claims,
		Suspects: s.suspects,
	}
}

// elected tells whether the list makes this entry the one that removes the
// counts of entries that are gone. Two of them do no harm.
func (s *Server) elected() bool {
	v := s.views.Current()
	entries := duty.Eligible(v.Instances(), v.DrainFlags(), func(i platform.Instance) bool { return i.Role() == platform.RoleEntry })
	return slices.Equal(rendezvous.Top("burn", entries, 1), []string{s.Settings.Instance()})
}

// burnLimit keeps the writes of burn counts within the duty's part.
func (s *Server) burnLimit() *limiter.Limiter {
	l := limiter.New(limiter.Burn, burn.MaxEntries)
	l.Instrument(s.Metrics.Scope())
	return l
}
