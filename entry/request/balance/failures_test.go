package balance

import (
	"fmt"
	"testing"

	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/entry/version/fleet"
)

// sendOneByOne sends a request each interval, which ends before the next one, and returns how many
// reached each upstream. An upstream fails a request if fails says so.
func sendOneByOne(t *testing.T, b *Balancer, service string, from, length, interval clock.Millis, fails func(id string, at clock.Millis) bool) map[string]int {
	t.Helper()
	sent := make(map[string]int)
	for now := from; now < from+length; now += interval {
		r := granted(t, b.Acquire(now, &Ticket{Service: service, WaitDeadline: now}))
		id, _ := r.Upstream()
		sent[id]++
		outcome := Succeeded
		if fails(id, now) {
			outcome = Failed
		}
		b.Release(now+interval/2, r, outcome)
	}
	return sent
}

// Guards against an upstream that has failed once and gets no request ever after, since every
// neighbour without a failure costs less under light load.
func TestUpstreamIsUsedAgainAfterFailure(t *testing.T) {
	for _, service := range []string{"plain", "model"} {
		t.Run(service, func(t *testing.T) {
			b, _ := fixture(4, func(u *fleet.Upstream) { u.DataCentre = "dc0" })
			failed := service + "1"
			const firstSecond, interval = clock.Second, 20 * clock.Millis(1)
			sendOneByOne(t, b, service, 0, firstSecond, interval, func(id string, at clock.Millis) bool {
				return id == failed && at < 200
			})
			const length = 30 * clock.Second
			sent := sendOneByOne(t, b, service, firstSecond, length, interval, func(string, clock.Millis) bool { return false })
			fair := int(length / interval / 4)
			check.Equal(t, fmt.Sprint("at least half of a fair share of ", sent), sent[failed] >= fair/2, true)
		})
	}
}

// Guards against callers that are sent again and again to an upstream that still fails: more than
// one of a hundred.
func TestFailingUpstreamGetsLittle(t *testing.T) {
	for _, service := range []string{"plain", "model"} {
		t.Run(service, func(t *testing.T) {
			b, _ := fixture(4, func(u *fleet.Upstream) { u.DataCentre = "dc0" })
			const length, interval = 30 * clock.Second, 20 * clock.Millis(1)
			failing := service + "1"
			sent := sendOneByOne(t, b, service, 0, length, interval, func(id string, _ clock.Millis) bool { return id == failing })
			check.AtMost(t, fmt.Sprint("requests that failed, of ", sent), sent[failing], int(length/interval/100))
		})
	}
}
