package balance

import "goldcrestshore/core/process/clock"

const (
	// quietTime is how long an upstream whose agent is silent may send nothing of
	// the requests that it holds.
	quietTime clock.Millis = 500
	// talkingTime is how recently an upstream has sent something that counts as
	// sending. All ranks of a group make their events in the same passes.
	talkingTime clock.Millis = 250
)

// Heard tells that the upstream of a ticket has sent something.
func (b *Balancer) Heard(now clock.Millis, t *Ticket) {
	if t.upstream != nil {
		t.upstream.heard = now
	}
}

// SetSilentAgents tells which upstreams have agents that have stopped answering.
func (b *Balancer) SetSilentAgents(ids map[string]bool) {
	for _, s := range b.services {
		silent := 0
		for _, u := range s.upstreams {
			u.agentSilent = ids[u.entry.ID]
			if u.agentSilent {
				silent++
			}
		}
		// When most are silent it is this entry that is cut off, or no agents run.
		s.agentsTell = 2*silent < len(s.upstreams)
	}
}

// Stalled tells whether a request had better go on at another upstream. Its own is
// silent together with its agent while others of the group send: its instance
// stands still or cannot be reached. Or it is so slow that all others wait for it
// in every pass, and one of them has room.
func (b *Balancer) Stalled(now clock.Millis, t *Ticket) bool {
	s, u := b.service(t.Service), t.upstream
	if u == nil || s.spec.Engine == nil {
		return false
	}
	if s.silent(now, u) {
		return s.talking(now)
	}
	return s.limit(u) == 0 && b.hasRoom(now, s, t)
}

// hasRoom tells whether a request could run at an upstream at once.
func (b *Balancer) hasRoom(now clock.Millis, s *service, t *Ticket) bool {
	return len(s.queue) == 0 && b.search(now, s, t, false) != nil
}

// silent tells whether an upstream has sent nothing for a while, its agent
// neither. An upstream that sends nothing alone may have requests queued for long.
func (s *service) silent(now clock.Millis, u *upstream) bool {
	return s.agentsTell && u.agentSilent && u.held > 0 && now-u.heard >= quietTime
}

// talking tells whether any upstream has just sent something.
func (s *service) talking(now clock.Millis) bool {
	for _, u := range s.upstreams {
		if u.held > 0 && now-u.heard < talkingTime {
			return true
		}
	}
	return false
}
