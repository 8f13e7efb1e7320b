package balance

import "goldcrestshore/core/process/clock"

const (
	// inactivityTimeout is how long an upstream whose agent is unresponsive may
	// send nothing for its requests in flight.
	inactivityTimeout clock.Millis = 500
	// activeWindow is how recently an upstream must have sent something to count
	// as active. All ranks of a group produce their events in the same forward
	// passes.
	activeWindow clock.Millis = 250
)

// RecordActivity records that the upstream of a ticket has sent something.
func (b *Balancer) RecordActivity(now clock.Millis, t *Ticket) {
	if t.upstream != nil {
		t.upstream.lastActive = now
	}
}

// SetUnresponsiveAgents sets the IDs of the upstreams whose agents are
// unresponsive.
func (b *Balancer) SetUnresponsiveAgents(ids map[string]bool) {
	for _, s := range b.services {
		unresponsive := 0
		for _, u := range s.upstreams {
			u.agentUnresponsive = ids[u.info.ID]
			if u.agentUnresponsive {
				unresponsive++
			}
		}
		// If half of the agents or more are unresponsive, this entry is cut off from
		// them or no agents run.
		s.agentsReliable = 2*unresponsive < len(s.upstreams)
	}
}

// ShouldFailOver reports whether a request should fail over to another upstream.
// This is the case if its upstream and the agent there are unresponsive while
// others of the group send, since the instance is then stalled or unreachable. It
// is also the case if its upstream is so slow that all others wait for it in every
// forward pass, and one of them has free capacity.
func (b *Balancer) ShouldFailOver(now clock.Millis, t *Ticket) bool {
	s, u := b.service(t.Service), t.upstream
	if u == nil || s.spec.Engine == nil {
		return false
	}
	if s.unresponsive(now, u) {
		return s.anyActive(now)
	}
	return s.limit(u) == 0 && b.hasFreeCapacity(now, s, t)
}

// hasFreeCapacity reports whether an upstream could run a request at once.
func (b *Balancer) hasFreeCapacity(now clock.Millis, s *service, t *Ticket) bool {
	return s.queue.length == 0 && b.search(now, s, t, false) != nil
}

// unresponsive reports whether neither an upstream nor its agent has sent anything
// for a while. The upstream alone is no sufficient sign: its requests may just be
// queued for long.
func (s *service) unresponsive(now clock.Millis, u *upstream) bool {
	return s.agentsReliable && u.agentUnresponsive && u.inFlight > 0 && now-u.lastActive >= inactivityTimeout
}

// anyActive reports whether any upstream has sent something within activeWindow.
func (s *service) anyActive(now clock.Millis) bool {
	for _, u := range s.upstreams {
		if u.inFlight > 0 && now-u.lastActive < activeWindow {
			return true
		}
	}
	return false
}
