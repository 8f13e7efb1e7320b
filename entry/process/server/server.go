package server

import (
	"context"
	"net/http"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"goldcrestshore/core/connection/peer"
	"goldcrestshore/core/connection/platform"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/event"
	"goldcrestshore/core/process/metric"
	"goldcrestshore/core/process/settings"
	"goldcrestshore/core/version/relay"
	"goldcrestshore/entry/request/caller"
)

// Server is the entry process. Exported fields are set before Run.
type Server struct {
	Settings *settings.Common
	// Callers is the address for callers, ip:port.
	Callers string
	// MaxConnections and MaxRequests bound callers' connections and requests.
	MaxConnections int64
	MaxRequests    int64
	Log            *event.Log
	Metrics        *metric.Registry

	clock    *clock.Clock
	platform *platform.Client
	views    *relay.Client
	pool     *pool
	callers  *caller.Server
}

// Run serves until a signal asks it to stop and every answer is finished.
func (s *Server) Run(ctx context.Context) error {
	stopping, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	running, cancel := context.WithCancel(ctx)
	defer cancel()
	s.build()
	group, running := errgroup.WithContext(running)
	group.Go(func() error { return s.views.Run(running) })
	group.Go(func() error { s.pool.run(running); return nil })
	group.Go(func() error {
		return metric.Serve(running, s.Settings.Admin(), map[string]http.Handler{"/metrics": s.Metrics.Handler()})
	})
	group.Go(func() error {
		<-stopping.Done()
		s.Log.Emit(event.ProcessStopping, event.Fields{"held": s.callers.Open()})
		s.callers.Stop()
		return nil
	})
	group.Go(func() error {
		defer cancel()
		defer stop()
		return s.callers.Run()
	})
	s.Log.Emit(event.ProcessStarted, event.Fields{"address": s.Callers})
	err := group.Wait()
	s.Log.Emit(event.ProcessStopped, nil)
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

func (s *Server) build() {
	self := peer.NewIdentity(platform.RoleEntry, s.Settings.Instance(), s.Settings.DataCentre())
	s.clock = clock.System()
	s.platform = platform.New(s.Settings.Platform())
	s.views = &relay.Client{Platform: s.platform, Log: s.Log, Clock: s.clock}
	s.pool = &pool{self: self, key: s.Settings.Key(), clock: s.clock, log: s.Log, view: s.views.Current, links: map[string]*link{}}
	s.callers = &caller.Server{
		Clock:          s.clock,
		Log:            s.Log,
		View:           s.views.Current,
		Dispatcher:     &dispatcher{pool: s.pool, clock: s.clock, log: s.Log, incarnation: self.Incarnation()},
		Listen:         s.Callers,
		MaxConnections: s.MaxConnections,
		MaxRequests:    s.MaxRequests,
	}
}
