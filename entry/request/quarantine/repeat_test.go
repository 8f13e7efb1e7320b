package quarantine

import (
	"fmt"
	"testing"

	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/clock"
)

const (
	// lateTime is how long after its third crash a request may still crash upstreams.
	lateTime = 3 * clock.Second
	// poison is the own fingerprint of a request that crashes each upstream that runs it.
	poison Fingerprint = 11
	// common is the fingerprint of a part that all requests share.
	common Fingerprint = 13
)

// startedTracker returns a tracker of an entry that has just started at an hour, and has had one
// success.
func startedTracker() *Tracker {
	t := &Tracker{}
	t.Arrived(clock.Hour, request(99, 98))
	t.Succeeded(clock.Hour, request(99, 98))
	return t
}

// arrivals is a request that comes again and again and crashes each upstream that runs it.
type arrivals struct {
	request         Request
	first, interval clock.Millis
}

// crashTimes returns by own fingerprint when requests crash upstreams. Every 200 ms another request
// arrives that shares a part with them. It succeeds if isSound is set, and waits without end otherwise.
func crashTimes(t *Tracker, length clock.Millis, isSound bool, list ...arrivals) map[Fingerprint][]clock.Millis {
	out := make(map[Fingerprint][]clock.Millis)
	for at := clock.Hour; at < clock.Hour+length; at += 10 {
		if at%200 == 0 {
			r := request(Fingerprint(at), common)
			t.Arrived(at, r)
			if isSound {
				t.Succeeded(at, r)
			}
		}
		for _, a := range list {
			since := at - clock.Hour - a.first
			if since < 0 || since%a.interval != 0 {
				continue
			}
			if _, blocked := t.Arrived(at, a.request); blocked {
				continue
			}
			own := a.request.own()[0]
			out[own] = append(out[own], at)
			t.Crashed(at, fmt.Sprint("u", at, "-", own), int64(at), a.request)
		}
	}
	return out
}

// checkLate marks the test as failed if an upstream crashed later than lateTime after the third.
func checkLate(t *testing.T, times []clock.Millis) {
	t.Helper()
	late := 0
	for _, at := range times {
		if len(times) >= 3 && at > times[2]+lateTime {
			late++
		}
	}
	check.Equal(t, fmt.Sprint("late ones of ", len(times), " crashes"), late, 0)
}

// Guards against a request that crashes one upstream after the other in the first seconds of an
// entry, before it is known which fingerprints are sound, or while nothing succeeds at all.
func TestCrashingRequestAtStart(t *testing.T) {
	for _, interval := range []clock.Millis{50, 300, 2 * clock.Second} {
		for name, isSound := range map[string]bool{"others succeed": true, "nothing succeeds": false} {
			t.Run(fmt.Sprint("each ", interval, " ms, ", name), func(t *testing.T) {
				tracker := &Tracker{}
				times := crashTimes(tracker, 2*coldTime, isSound, arrivals{request(poison, common), 500, interval})
				checkLate(t, times[poison])
				_, blocked := tracker.Blocked(clock.Hour+2*coldTime, request(99, common))
				check.Equal(t, "another request with the same part is refused", blocked, false)
			})
		}
	}
}

// Guards against requests that crash upstreams in turn, so that none of them has caused most of the
// crashes that lie close together.
func TestSeveralCrashingRequests(t *testing.T) {
	for name, start := range map[string]func() *Tracker{"at the start": startedTracker, "later": newTracker} {
		for count := 2; count <= 4; count++ {
			t.Run(fmt.Sprint(count, " requests ", name), func(t *testing.T) {
				const interval clock.Millis = 600
				var list []arrivals
				for i := range count {
					first := 500 + interval/clock.Millis(count)*clock.Millis(i)
					list = append(list, arrivals{request(poison+100*Fingerprint(i), common), first, interval})
				}
				times := crashTimes(start(), clock.Minute, true, list...)
				for _, a := range list {
					checkLate(t, times[a.request.own()[0]])
				}
			})
		}
	}
}

// Guards against a quarantine of an innocent request in the first seconds of an entry.
func TestInnocentRequestsAtStart(t *testing.T) {
	const hot, unique, part Fingerprint = 21, 22, 23
	// fail lets several upstreams fail together while they run a request.
	fail := func(t *Tracker, at clock.Millis, upstreams int, r Request) {
		for i := range upstreams {
			t.Crashed(at+clock.Millis(50*i), fmt.Sprint("u", at, "-", i), int64(at), r)
		}
	}
	for _, tc := range []struct {
		name  string
		trial func(*Tracker)
	}{
		{"upstreams that fail together under a request that is sent to all", func(t *Tracker) {
			t.Arrived(clock.Hour, request(hot, common))
			fail(t, clock.Hour+500, 12, request(hot, common))
		}},
		{"a request that has succeeded between two outages", func(t *Tracker) {
			t.Arrived(clock.Hour, request(hot, common))
			fail(t, clock.Hour+500, 6, request(hot, common))
			t.Succeeded(clock.Hour+1500, request(hot, common))
			fail(t, clock.Hour+2500, 6, request(hot, common))
		}},
		{"a caller that repeats at once while upstreams fail together", func(t *Tracker) {
			for i := range 10 {
				at := clock.Hour + 500 + clock.Millis(90*i)
				t.Arrived(at, request(unique, common))
				fail(t, at, 1, request(unique, common))
			}
		}},
		{"a part that requests share, outage after outage", func(t *Tracker) {
			for i := range 6 {
				at := clock.Hour + clock.Second*clock.Millis(i+1)
				r := request(100+Fingerprint(i), part)
				t.Arrived(at, r)
				fail(t, at, 2, r)
			}
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tracker := startedTracker()
			tc.trial(tracker)
			for _, r := range []Request{request(hot, common), request(unique, common), request(24, part)} {
				_, blocked := tracker.Blocked(clock.Hour+9*clock.Second, r)
				check.Equal(t, fmt.Sprint("blocked: ", r.Fingerprints()), blocked, false)
			}
		})
	}
}

// Guards against a request that is never found because more requests are in flight at each crash
// than a crash keeps, and it is always among those that are left out.
func TestCrashingRequestAmongMany(t *testing.T) {
	const others, last Fingerprint = 2 * maxRequestsPerCrash, 1 << 50
	tracker := newTracker()
	crashes := 0
	for ; crashes < 20; crashes++ {
		at := warmStart + clock.Second*clock.Millis(crashes)
		if _, blocked := tracker.Arrived(at, request(last, common)); blocked {
			break
		}
		for i := range others {
			r := request(1000*Fingerprint(crashes+1)+i, common)
			tracker.Arrived(at, r)
			tracker.Crashed(at, "u", int64(at), r)
		}
		tracker.Crashed(at, "u", int64(at), request(last, common))
		tracker.Succeeded(at, request(1, common))
	}
	check.AtMost(t, "crashes", crashes, 10)
}
