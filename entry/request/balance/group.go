package balance

import (
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/version/group"
)

// deniedDuration is how long an upstream gets nothing after another one has
// answered at its address, unless its registration changes. It exceeds the time
// after which a registration without heartbeats is removed.
const deniedDuration = 5 * clock.Second

// SetGroupStates sets, by upstream ID, the states of the upstreams' groups. An
// upstream that is missing has an unknown state.
func (b *Balancer) SetGroupStates(now clock.Millis, states map[string]group.State) {
	for _, s := range b.services {
		opened := false
		for _, u := range s.upstreams {
			state := states[u.info.ID]
			opened = opened || (state == group.StateOpen && u.groupState != group.StateOpen)
			u.groupState = state
		}
		if opened && !s.reportedClosed() {
			s.reopen()
		}
		s.expectOpening(now, b.settings.StallTime)
	}
}

// expectOpening estimates when a closed group opens. It has formed anew at the latest
// when it has waited for the failed rank and then formed, if that rank has started
// again; after that time each further wait is as long as the forming.
func (s *service) expectOpening(now, stallTime clock.Millis) {
	switch {
	case !s.reportedClosed():
		s.opensAt = 0
	case s.opensAt == 0:
		s.opensAt = now + stallTime + s.formTime()
	case s.opensAt <= now:
		s.opensAt = now + s.formTime()
	}
}

func (s *service) formTime() clock.Millis {
	if s.spec == nil || s.spec.Engine == nil {
		return 0
	}
	return s.spec.Engine.FormTime
}

// opensBefore reports whether a closed group is expected to open and respond before
// the deadline.
func (s *service) opensBefore(now, deadline clock.Millis) bool {
	return s.opensAt > now && s.opensAt <= deadline
}

// reportedClosed reports whether agents state that the group is closed and none
// states that it is open.
func (s *service) reportedClosed() bool {
	closed := false
	for _, u := range s.upstreams {
		switch u.groupState {
		case group.StateOpen:
			return false
		case group.StateClosed:
			closed = true
		case group.StateUnknown:
		}
	}
	return closed
}

// reopen ends the skipping of all upstreams: the ranks of a group run together or
// not at all.
func (s *service) reopen() {
	s.down = false
	for _, u := range s.upstreams {
		u.pauses.end(pauseFailed)
		u.ownSkips = nil
		u.consecutiveFailures = 0
	}
}

// recordRefusal skips all upstreams whose group state is unknown after one of them has
// refused a request while none was active: such a refusal is the group's, and the others
// would refuse as well. They are skipped for the customer of the request alone until the
// request of another one has been refused, too.
func (s *service) recordRefusal(now clock.Millis, refusing *upstream, customer string) {
	agreed := s.refusals.add(now, customer) > 0
	if s.spec == nil || s.spec.Engine == nil || refusing.groupState == group.StateOpen || s.anyActive(now) {
		return
	}
	s.down = s.down || agreed
	s.nextProbe = now + probeInterval // the refused request was a probe
	for _, u := range s.upstreams {
		switch {
		case u.groupState != group.StateUnknown:
		case agreed:
			u.pauses.extend(pauseFailed, now+minSkip)
		default:
			u.ownSkips.extend(now+minSkip, customer)
		}
	}
}
