// Package schedule queues requests fairly between customers and assigns upstreams
// to them. It runs packages customer and route, which have no side effects, under
// one lock.
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
	// tickInterval is how often queued requests are checked against their
	// deadlines.
	tickInterval = 50 * clock.Millis(1)
	// contactTimeout is how long a request waits for a service whose listed
	// upstreams are all unreachable. It is long enough to replace a connection.
	contactTimeout = 3 * clock.Second
)

// Scheduler schedules the requests of one entry. Exported fields must be set
// before Run is called.
type Scheduler struct {
	Clock *clock.Clock
	// CurrentSnapshot returns the current configuration, drain flags and instance list.
	CurrentSnapshot func() *relay.Snapshot
	// Entry and DataCentre are the instance name and data centre of this entry.
	Entry      string
	DataCentre string
	// Incarnation makes the ids of reservations unique.
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

// Run checks queued requests against their deadlines every tickInterval until
// ctx is done.
func (s *Scheduler) Run(ctx context.Context) {
	clock.Every(ctx, tickInterval, func() {
		s.update(func(now clock.Millis) { s.apply(now, customer.Tick{}) })
	})
}

// Heartbeat applies an agent's load report.
func (s *Scheduler) Heartbeat(agent string, load frame.Load) {
	s.update(func(now clock.Millis) { s.table.Apply(now, route.NewHeartbeat(agent, load)) })
}

// ConnectionLost reports that the connection to an agent was lost.
func (s *Scheduler) ConnectionLost(agent string) {
	s.update(func(now clock.Millis) { s.table.Apply(now, route.NewConnectionLost(agent)) })
}

// DesiredAgents returns the agents to which this entry should be connected.
func (s *Scheduler) DesiredAgents() map[string]bool {
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

// Shares returns each customer's usage of this entry, to be sent to the other
// entries.
func (s *Scheduler) Shares() []frame.Share {
	var shares []frame.Share
	s.update(func(now clock.Millis) { shares = s.queue.Shares(now) })
	return shares
}

// UpdateShares replaces the shares of another entry, which sends them every
// second.
func (s *Scheduler) UpdateShares(entry string, shares []frame.Share) {
	s.update(func(now clock.Millis) { s.apply(now, customer.NewShares(entry, shares)) })
}

// update runs f under the lock after applying the latest snapshot, and then assigns
// upstreams to the requests that can be sent.
func (s *Scheduler) update(f func(now clock.Millis)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	s.refreshSnapshot(now)
	f(now)
	s.assignUpstreams(now)
}

// refreshSnapshot applies the latest snapshot to the queue and the route table if
// it has changed.
func (s *Scheduler) refreshSnapshot(now clock.Millis) {
	if s.queue == nil {
		s.queue, s.reservations = customer.New(), map[frame.ID]*Reservation{}
		s.table = route.New(s.Entry, s.DataCentre, s.Random)
	}
	snapshot := s.CurrentSnapshot()
	if snapshot == s.applied || snapshot.Configuration() == nil {
		return
	}
	s.applied = snapshot
	var limits []customer.Limits
	for _, c := range snapshot.Configuration().Customers() {
		limits = append(limits, customer.NewLimits(c.Name(), c.Weight(), int(c.RequestsPerSecond()), c.ConcurrencyLimit()))
	}
	s.apply(now, customer.NewConfigure(limits))
	s.applyInstances(now, snapshot)
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
		if i.State() == platform.Draining {
			drained = append(drained, i.Name())
		}
		if !seen[i.Service()] {
			seen[i.Service()] = true
			s.services = append(s.services, i.Service())
		}
	}
	s.table.Apply(now, route.NewUpstreamList(upstreams))
	s.table.Apply(now, route.NewDrainFlags(v.DrainFlags().DataCentres(), drained))
}

// apply passes an event to the queue and carries out the resulting actions.
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

// assignUpstreams reports the free capacity of each service to the queue and
// assigns upstreams to the dispatched requests.
func (s *Scheduler) assignUpstreams(now clock.Millis) {
	for _, service := range s.services {
		slots := s.table.FreeCapacity(now, service) + route.Lookahead - s.table.ReadyCount(service)
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

// noUpstream returns the refusal of a request whose service has no reachable
// upstream.
func noUpstream() *outcome.Refusal {
	return outcome.Refuse(outcome.NoUpstream, outcome.NotRun, int64(clock.Second))
}
