// Package schedule gives each request its turn among the customers and an
// upstream. It runs the decisions of packages customer and route, which are pure,
// under one lock.
package schedule

import (
	"context"
	"math/rand/v2"
	"sync"

	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/connection/platform"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/request/outcome"
	"goldcrestshore/core/version/relay"
	"goldcrestshore/entry/request/customer"
	"goldcrestshore/entry/request/route"
)

const (
	// tickInterval is the resolution of waits in the queue.
	tickInterval = 50 * clock.Millis(1)
	// contactTimeout is how long a request waits for a service whose upstreams are
	// listed but all out of contact. A connection is replaced within it.
	contactTimeout = 3 * clock.Second
)

// Scheduler schedules the requests of one entry. Exported fields are set before
// Run.
type Scheduler struct {
	Clock *clock.Clock
	// View returns the configuration, the out marks and the instance list.
	View func() *relay.Snapshot
	// Entry and DataCentre are those of this process.
	Entry      string
	DataCentre string
	// Incarnation makes the ids of turns unique.
	Incarnation uint64
	Random      *rand.Rand

	mu           sync.Mutex
	queue        *customer.Queue
	table        *route.Table
	applied      *relay.Snapshot
	services     []string
	reservations map[frame.ID]*Reservation
	sequence     uint64
}

// Run lets queued requests time out until ctx is done.
func (s *Scheduler) Run(ctx context.Context) {
	clock.Every(ctx, tickInterval, func() {
		s.update(func(now clock.Millis) { s.apply(now, customer.Tick{}) })
	})
}

// Heartbeat takes an agent's load report.
func (s *Scheduler) Heartbeat(agent string, load frame.Load) {
	s.update(func(now clock.Millis) { s.table.Apply(now, route.NewHeartbeat(agent, load)) })
}

// Lost tells that the connection to an agent is gone.
func (s *Scheduler) Lost(agent string) {
	s.update(func(now clock.Millis) { s.table.Apply(now, route.NewLost(agent)) })
}

// Wanted returns the agents to which this entry keeps connections.
func (s *Scheduler) Wanted() map[string]bool {
	desired := map[string]bool{}
	s.update(func(clock.Millis) {
		for _, service := range s.services {
			for _, agent := range s.table.Subset(service) {
				desired[agent] = true
			}
		}
	})
	return desired
}

// Shares returns each customer's use of this entry, for the other entries.
func (s *Scheduler) Shares() []frame.Share {
	var shares []frame.Share
	s.update(func(now clock.Millis) { shares = s.queue.Shares(now) })
	return shares
}

// UpdateShares takes what another entry measured. It is due every second.
func (s *Scheduler) UpdateShares(entry string, shares []frame.Share) {
	s.update(func(now clock.Millis) { s.apply(now, customer.NewShares(entry, shares)) })
}

// update runs f under the lock with the newest view, and then sends what can be
// sent.
func (s *Scheduler) update(f func(now clock.Millis)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	s.refreshView(now)
	f(now)
	s.assignUpstreams(now)
}

// refreshView brings a new view to the decisions.
func (s *Scheduler) refreshView(now clock.Millis) {
	if s.queue == nil {
		s.queue, s.reservations = customer.New(), map[frame.ID]*Reservation{}
		s.table = route.New(s.Entry, s.DataCentre, s.Random)
	}
	v := s.View()
	if v == s.applied || v.Text() == nil {
		return
	}
	s.applied = v
	var limits []customer.Limits
	for _, c := range v.Text().Customers() {
		limits = append(limits, customer.NewLimits(c.Name(), c.Weight(), int(c.RequestsPerSecond()), c.Concurrent()))
	}
	s.apply(now, customer.NewConfigure(limits))
	s.applyInstances(now, v)
}

func (s *Scheduler) applyInstances(now clock.Millis, v *relay.Snapshot) {
	var upstreams []route.Upstream
	drained := v.DrainFlags().Instances()
	seen := map[string]bool{}
	s.services = nil
	for _, i := range v.Instances() {
		if i.Role() != platform.RoleAgent {
			continue
		}
		upstreams = append(upstreams, route.NewUpstream(i.Name(), i.Service(), i.DataCentre()))
		if i.State() == platform.Leaving {
			drained = append(drained, i.Name())
		}
		if !seen[i.Service()] {
			seen[i.Service()] = true
			s.services = append(s.services, i.Service())
		}
	}
	s.table.Apply(now, route.NewList(upstreams))
	s.table.Apply(now, route.NewOutMarks(v.DrainFlags().DataCentres(), drained))
}

// apply passes an event to the queue and carries out what it decides.
func (s *Scheduler) apply(now clock.Millis, e customer.Event) {
	for _, action := range s.queue.Apply(now, e) {
		switch action := action.(type) {
		case customer.Dispatch:
			r := s.reservations[action.ID()]
			s.table.Apply(now, route.NewReady(r.id, r.request, r.tried))
		case customer.Refuse:
			r := s.reservations[action.ID()]
			delete(s.reservations, r.id)
			r.assignments <- assignment{refusal: action.Refusal()}
		}
	}
}

// assignUpstreams tells the queue how much room there is and assigns upstreams.
func (s *Scheduler) assignUpstreams(now clock.Millis) {
	for _, service := range s.services {
		slots := s.table.Room(now, service) + route.Lookahead - s.table.ReadyCount(service)
		s.apply(now, customer.NewFreeCapacity(service, max(slots, 0)))
		for {
			id, choice, ok := s.table.Next(now, service)
			if !ok {
				break
			}
			s.reservations[id].assignments <- assignment{upstream: choice.Upstream()}
		}
	}
}

// noUpstream is the refusal of a service whose upstreams are out of contact.
func noUpstream() *outcome.Refusal {
	return outcome.Refuse(outcome.NoUpstream, outcome.NotRun, int64(clock.Second))
}
