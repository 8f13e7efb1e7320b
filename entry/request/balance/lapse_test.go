package balance

import (
	"fmt"
	"testing"

	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/entry/version/fleet"
)

// letLapse removes the registration of an upstream and returns a function that brings it back as it was,
// written again at a time.
func letLapse(state *fleet.State, id string) (comeBack func(now clock.Millis)) {
	old := *state.View().Upstreams()[id]
	state.RemoveUpstream(id)
	return func(now clock.Millis) {
		u := old
		if u.ColdRemaining > 0 {
			u.ColdRemaining -= now - u.FirstSeenAt
		}
		u.FirstSeenAt = now
		state.SetUpstream(&u)
	}
}

// Guards against requests in a pause that an upstream has asked for while its registration had lapsed, or
// by the answer to a request from before the lapse (review/13), and against a pause that keeps another
// start of the upstream out of service.
func TestPauseIsKeptAcrossLapses(t *testing.T) {
	const pause = 6 * clock.Second
	for _, tc := range []struct {
		name string
		// run lets the registration lapse at 100 and come back at 300 at the latest, and the upstream ask
		// for a pause at 200.
		run func(state *fleet.State, ask func())
	}{
		{"asked while it has lapsed", func(s *fleet.State, ask func()) {
			comeBack := letLapse(s, "plain1")
			ask()
			comeBack(300)
		}},
		{"asked after it is back", func(s *fleet.State, ask func()) {
			letLapse(s, "plain1")(150)
			ask()
		}},
		{"asked between two lapses", func(s *fleet.State, ask func()) {
			letLapse(s, "plain1")(150)
			ask()
			letLapse(s, "plain1")(300)
		}},
		{"asked while it has lapsed and all registrations are read again", func(s *fleet.State, ask func()) {
			list := s.View().Upstreams()
			s.SetUpstreams(map[string]*fleet.Upstream{})
			ask()
			s.SetUpstreams(list)
		}},
		{"an earlier start is registered for a moment", func(s *fleet.State, ask func()) {
			u := *s.View().Upstreams()["plain1"]
			earlier := u
			earlier.StartTime--
			s.SetUpstream(&earlier)
			ask()
			s.SetUpstream(&u)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b, state := fixture(3, sameDataCentre)
			r := ticketFor(t, b, 0, "plain1")
			tc.run(state, func() {
				b.RecordPause(200, r, pause)
				b.Release(200, r, Refused)
			})
			check.Equal(t, "requests in the pause", len(sentTo(b, "plain1", 300, 200+pause)), 0)
			later := sentTo(b, "plain1", 200+pause, 200+pause+10*clock.Second)
			check.Equal(t, "is used after the pause", len(later) > 50, true)
		})
	}
	t.Run("another start", func(t *testing.T) {
		b, state := fixture(3, sameDataCentre)
		r := ticketFor(t, b, 0, "plain1")
		comeBack := letLapse(state, "plain1")
		b.RecordPause(200, r, pause)
		b.Release(200, r, Refused)
		comeBack(300)
		next := *state.View().Upstreams()["plain1"]
		next.StartTime++
		state.SetUpstream(&next)
		check.Equal(t, "is used at once", len(sentTo(b, "plain1", 300, 800)) > 5, true)
	})
}

// Guards against limits that begin anew when the registration of an upstream is back, although it has not
// started again: requests at once beyond its places, its connections, its share while it is cold
// (review/14), its stated limit or a trial.
func TestLimitsAreKeptAcrossLapses(t *testing.T) {
	send := func(b *Balancer, now clock.Millis, service string) (r *Ticket, isSent bool) {
		r = &Ticket{Service: service, Due: now + 500, WaitDeadline: now}
		_, isSent = b.Acquire(now, r).(Grant)
		b.Cancel(r)
		return r, isSent
	}
	sendAll := func(b *Balancer, now clock.Millis, service string) int {
		sent := 0
		for range 20 {
			if _, isSent := send(b, now, service); isSent {
				sent++
			}
		}
		return sent
	}
	cold := func(u *fleet.Upstream) { u.ColdRemaining, u.Slots, u.StartTime = 8*clock.Second, 100, 7 }
	t.Run("places", func(t *testing.T) {
		b, state := fixture(1, sameDataCentre)
		check.Equal(t, "before", sendAll(b, 0, "plain"), limit)
		letLapse(state, "plain0")(200)
		check.Equal(t, "after", sendAll(b, 200, "plain"), 0)
		check.Equal(t, "in flight", b.InFlight()["plain0"], limit)
	})
	t.Run("places of another start", func(t *testing.T) {
		b, state := fixture(1, sameDataCentre)
		check.Equal(t, "before", sendAll(b, 0, "plain"), limit)
		next := *state.View().Upstreams()["plain0"]
		next.StartTime++
		state.SetUpstream(&next)
		check.Equal(t, "after", sendAll(b, 200, "plain"), limit)
	})
	t.Run("connections", func(t *testing.T) {
		b, state := fixture(1, cold)
		b.service("plain").spec.MaxConnections = 5
		state.SetUpstream(&fleet.Upstream{ID: "plain0", Service: "plain", Address: "a", Slots: 100, StartTime: 7})
		check.Equal(t, "before", sendAll(b, 0, "plain"), 5)
		letLapse(state, "plain0")(200)
		check.Equal(t, "after", sendAll(b, 200, "plain"), 0)
	})
	t.Run("cold upstream", func(t *testing.T) {
		b, state := fixture(1, cold)
		check.Equal(t, "before", sendAll(b, 0, "model"), 10)
		letLapse(state, "model0")(300)
		check.Equal(t, "in the same second", sendAll(b, 300, "model"), 0)
		check.Equal(t, "in the next second", sendAll(b, 1000, "model"), 10)
	})
	t.Run("cold upstream that has started again", func(t *testing.T) {
		b, state := fixture(1, cold)
		check.Equal(t, "before", sendAll(b, 0, "model"), 10)
		next := *state.View().Upstreams()["model0"]
		next.StartTime, next.FirstSeenAt = next.StartTime+1, 300
		state.SetUpstream(&next)
		check.Equal(t, "after", sendAll(b, 300, "model"), 10)
	})
	t.Run("turns at a cold upstream", func(t *testing.T) {
		const entries, perSecond = 20, 10
		for position := range entries {
			b, state := fixture(1, cold)
			b.SetEntries(0, entries)
			b.SetPosition(position)
			var sent []clock.Millis
			for now := clock.Millis(0); now < 8*clock.Second; now += 20 {
				if now%300 == 0 {
					letLapse(state, "model0")(now)
				}
				if _, isSent := send(b, now, "model"); isSent {
					sent = append(sent, now)
				}
			}
			check.AtMost(t, fmt.Sprint("requests of entry ", position), len(sent), 8*perSecond/entries+1)
		}
	})
	t.Run("stated limit", func(t *testing.T) {
		const perSecond, responseTime = 4, 200
		b, state := fixture(1, func(u *fleet.Upstream) { u.DataCentre, u.StartTime, u.Slots = "dc0", 7, 1000 })
		var sent []clock.Millis
		var running []*Ticket
		for now := clock.Millis(0); now < 30*clock.Second; now += 20 {
			if now%(1200) == 0 {
				letLapse(state, "plain0")(now)
			}
			if r, isSent := send(b, now, "plain"); isSent {
				sent, running = append(sent, now), append(running, r)
			}
			for len(running) > 0 && running[0].granted+responseTime <= now {
				b.RecordRateLimit(now, running[0], perSecond)
				b.Release(now, running[0], Succeeded)
				running = running[1:]
			}
		}
		settled := sent[len(sent)/2:] // the first requests were sent before the limit was known
		check.AtMost(t, "requests in a window", maxInWindow(settled, limitWindow), limitBound(perSecond)-limitSlack)
		check.AtMost(t, "half of what the limit allows", 30*perSecond/2, len(sent))
	})
	t.Run("trial after a pause", func(t *testing.T) {
		b, state := fixture(1, sameDataCentre)
		askForPause(t, b, 0, "plain0", clock.Second)
		check.Equal(t, "requests after the pause", sendAll(b, 1000, "plain"), 1)
		letLapse(state, "plain0")(1100)
		check.Equal(t, "requests after the lapse", sendAll(b, 1100, "plain"), 0)
	})
	t.Run("failures", func(t *testing.T) {
		b, state := fixture(2, sameDataCentre)
		for range 5 {
			b.Release(0, ticketFor(t, b, 0, "plain0"), Failed)
		}
		letLapse(state, "plain0")(100)
		check.Equal(t, "requests after failures", len(sentTo(b, "plain0", 100, 500)), 0)
	})
	t.Run("release of a request from before the lapse", func(t *testing.T) {
		b, state := fixture(1, sameDataCentre)
		r := ticketFor(t, b, 0, "plain0")
		letLapse(state, "plain0")(100)
		b.Release(200, r, Succeeded)
		check.Equal(t, "requests after it", sendAll(b, 200, "plain"), limit)
	})
}

// Guards against memory that grows with each upstream that has ever been registered, and against state
// of upstreams that is lost because all registrations have lapsed together.
func TestLapsedUpstreamsAreBounded(t *testing.T) {
	const upstreams = 6000
	register := func(b *Balancer, state *fleet.State, now clock.Millis, start int64) {
		list := make(map[string]*fleet.Upstream, upstreams)
		for i := range upstreams {
			id := fmt.Sprint("u", i)
			list[id] = &fleet.Upstream{ID: id, Service: "plain", Address: id, Slots: slots, StartTime: start, FirstSeenAt: now}
		}
		state.SetUpstreams(list)
		b.SetView(now, state.View())
	}
	newBalancer := func() (*Balancer, *fleet.State) {
		b, state := fixture(0, nil)
		register(b, state, 0, 1)
		return b, state
	}
	t.Run("all lapse and come back", func(t *testing.T) {
		b, state := newBalancer()
		r := ticketFor(t, b, 0, "u17")
		b.RecordPause(0, r, clock.Hour)
		state.SetUpstreams(map[string]*fleet.Upstream{})
		b.SetView(1000, state.View())
		check.Equal(t, "kept", statusOf(t, b, 1000, "plain").Lapsed, upstreams)
		register(b, state, 2000, 1)
		check.Equal(t, "kept once all are back", statusOf(t, b, 2000, "plain").Lapsed, 0)
		check.Equal(t, "paused", statusOf(t, b, 2000, "plain").Upstreams[Paused], 1)
		check.Equal(t, "in flight", b.InFlight()["u17"], 1)
	})
	t.Run("many starts", func(t *testing.T) {
		b, state := newBalancer()
		for start := range int64(5) {
			register(b, state, clock.Second*clock.Millis(start), start+2)
		}
		check.AtMost(t, "kept", statusOf(t, b, 5*clock.Second, "plain").Lapsed, maxLapsed)
		check.AtMost(t, "order of lapses", len(b.service("plain").lapsed.order), maxLapsed)
	})
	t.Run("end", func(t *testing.T) {
		b, state := newBalancer()
		inFlight := ticketFor(t, b, 0, "u1")
		askForPause(t, b, 0, "u2", clock.Hour)
		state.SetUpstreams(map[string]*fleet.Upstream{})
		b.SetView(0, state.View())
		b.SetView(lapseHoldTime, state.View())
		check.Equal(t, "kept: in use", statusOf(t, b, lapseHoldTime, "plain").Lapsed, 2)
		b.Release(lapseHoldTime, inFlight, Succeeded)
		b.SetView(2*lapseHoldTime, state.View())
		check.Equal(t, "kept: pause", statusOf(t, b, 2*lapseHoldTime, "plain").Lapsed, 1)
		b.SetView(clock.Hour+lapseHoldTime, state.View())
		check.Equal(t, "kept after the pause", statusOf(t, b, clock.Hour+lapseHoldTime, "plain").Lapsed, 0)
	})
}
