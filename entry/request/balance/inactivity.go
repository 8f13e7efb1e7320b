package balance

import "goldcrestshore/core/process/clock"

const (
	// inactivityTimeout is how long an upstream whose agent is silent may send nothing of
	// the requests that it holds.
	inactivityTimeout clock.Millis = 500
	// activeWindow is how recently an upstream has sent something that counts as
	// sending. All ranks of a group make their events in the same passes.
	activeWindow clock.Millis = 250
)

// RecordActivity tells that the upstream of a ticket has sent something.
func (b *Balancer) RecordActivity(now clock.Millis, t *Ticket) {
	if t.upstream != nil {
		t.upstream.lastActive = now
	}
}

// SetUnresponsiveAgents tells which upstreams have agents that have stopped answering.
func (b *Balancer) SetUnresponsiveAgents(ids map[string]bool) {
	for _, s := range b.services {
		unresponsive := 0
		for _, u := range s.upstreams {
			u.agentUnresponsive = ids[u.info.ID]
			if u.agentUnresponsive {
				unresponsive++
			}
		}
		// When most are silent it is this entry that is cut off, or no agents run.
		s.agentsReliable = 2*unresponsive < len(s.upstreams)
	}
}

// ShouldFailOver tells whether a request had better go on at another upstream. Its own is
// silent together with its agent while others of the group send: its instance
// stands still or cannot be reached. Or it is so slow that all others wait for it
// in every pass, and one of them has room.
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

// hasFreeCapacity tells whether a request could run at an upstream at once.
func (b *Balancer) hasFreeCapacity(now clock.Millis, s *service, t *Ticket) bool {
	return len(s.queue) == 0 && b.search(now, s, t, false) != nil
}

// unresponsive tells whether an upstream has sent nothing for a while, its agent
// neither. An upstream that sends nothing alone may have requests queued for long.
func (s *service) unresponsive(now clock.Millis, u *upstream) bool {
	return s.agentsReliable && u.agentUnresponsive && u.inFlight > 0 && now-u.lastActive >= inactivityTimeout
}

// anyActive tells whether any upstream has just sent something.
func (s *service) anyActive(now clock.Millis) bool {
	for _, u := range s.upstreams {
		if u.inFlight > 0 && now-u.lastActive < activeWindow {
			return true
		}
	}
	return false
}
