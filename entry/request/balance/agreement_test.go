package balance

import (
	"fmt"
	"testing"

	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/clock"
)

// ofCustomer returns a request of a customer for the plain service.
func ofCustomer(now clock.Millis, customer string) *Ticket {
	return &Ticket{Service: "plain", Customer: customer, Due: now + 500, WaitDeadline: now + 1500}
}

// Guards against a customer whose requests fail at each upstream, by what it sends, and that takes the
// upstreams from the other customers.
func TestOneCustomersFailuresBarNobodyElse(t *testing.T) {
	for name, o := range map[string]Outcome{"unclear": Unclear, "refused": Refused, "precondition not met": Unmet} {
		for _, service := range []string{"plain", "model"} {
			t.Run(name+" at "+service, func(t *testing.T) {
				b, _ := fixture(3, sameDataCentre)
				const until = 5 * clock.Second
				for now := clock.Millis(0); now < until; now += 20 {
					failing := &Ticket{Service: service, Customer: "failing", Due: now + 500, WaitDeadline: now + 1500}
					if _, isGranted := b.Acquire(now, failing).(Grant); isGranted {
						b.Release(now, failing, o)
					}
					b.Cancel(failing)
					sound := &Ticket{Service: service, Customer: "sound", Due: now + 500, WaitDeadline: now + 1500}
					g, isGranted := b.Acquire(now, sound).(Grant)
					check.Equal(t, fmt.Sprint("request of another customer is granted at ", now), isGranted, true)
					if isGranted {
						b.Release(now, g.Ticket, Succeeded)
					}
				}
				check.Equal(t, "skipped upstreams", statusOf(t, b, until, service).Upstreams[Skipped], 0)
			})
		}
	}
}

// Guards against an upstream that fails for all and is used on, because each customer alone could be the
// cause, and against a customer that goes on sending to an upstream that fails its requests.
func TestFailuresThatAgreeAreTheUpstreams(t *testing.T) {
	fail := func(b *Balancer, now clock.Millis, customer string) {
		r := ofCustomer(now, customer)
		b.grant(now, b.service("plain"), r, b.upstreams["plain0"])
		b.Release(now, r, Unclear)
	}
	skippedFor := func(b *Balancer, now clock.Millis, customer string) bool {
		return b.upstreams["plain0"].skippedFor(now, customer)
	}
	t.Run("one customer", func(t *testing.T) {
		b, _ := fixture(2, sameDataCentre)
		for range 10 {
			fail(b, 0, "a")
		}
		check.Equal(t, "skipped for it", skippedFor(b, 100, "a"), true)
		check.Equal(t, "skipped for another one", skippedFor(b, 100, "b"), false)
		check.Equal(t, "skipped for it after a while", skippedFor(b, maxSkip, "a"), false)
	})
	t.Run("two customers", func(t *testing.T) {
		b, _ := fixture(2, sameDataCentre)
		for range plainFailureThreshold {
			fail(b, 0, "a")
			fail(b, 0, "b")
		}
		check.Equal(t, "skipped for a third one", skippedFor(b, 100, "c"), true)
	})
	t.Run("one failure of another customer", func(t *testing.T) {
		b, _ := fixture(2, sameDataCentre)
		fail(b, 0, "b")
		for range 10 {
			fail(b, 0, "a")
		}
		check.Equal(t, "skipped for a third one", skippedFor(b, 100, "c"), false)
	})
	t.Run("failures long apart", func(t *testing.T) {
		b, _ := fixture(2, sameDataCentre)
		for i := range clock.Millis(10) {
			fail(b, i*agreementTime, fmt.Sprint("customer", i%2))
		}
		check.Equal(t, "skipped for a third one", skippedFor(b, 9*agreementTime+100, "c"), false)
	})
	t.Run("a failure that no request can cause", func(t *testing.T) {
		b, _ := fixture(2, sameDataCentre)
		for range plainFailureThreshold {
			r := ofCustomer(0, "a")
			b.grant(0, b.service("plain"), r, b.upstreams["plain0"])
			b.Release(0, r, Failed)
		}
		check.Equal(t, "skipped for another one", skippedFor(b, 100, "b"), true)
	})
	t.Run("a success ends it for the customer", func(t *testing.T) {
		b, _ := fixture(2, sameDataCentre)
		for range 10 {
			fail(b, 0, "a")
		}
		r := ofCustomer(0, "a")
		b.grant(0, b.service("plain"), r, b.upstreams["plain0"])
		b.Release(0, r, Succeeded)
		check.Equal(t, "skipped", skippedFor(b, 1, "a"), false)
	})
}

// Guards against requests of a customer that wait, or are tried again and again, while each upstream is
// skipped for it.
func TestCustomerWithoutUpstreamIsRejectedAtOnce(t *testing.T) {
	b, _ := fixture(3, sameDataCentre)
	for id := range b.upstreams {
		for range 10 {
			r := &Ticket{Service: b.upstreams[id].info.Service, Customer: "a"}
			b.grant(0, b.service(r.Service), r, b.upstreams[id])
			b.Release(0, r, Unclear)
		}
	}
	_, isProbe := b.Acquire(10, ofCustomer(10, "a")).(Grant)
	check.Equal(t, "one request finds out whether upstreams work again", isProbe, true)
	for range 3 {
		_, isRejected := b.Acquire(20, ofCustomer(20, "a")).(Reject)
		check.Equal(t, "another one is rejected at once", isRejected, true)
	}
	_, isGranted := b.Acquire(20, ofCustomer(20, "b")).(Grant)
	check.Equal(t, "that of another customer is granted", isGranted, true)
}

// Guards against memory that grows with the number of customers whose requests have failed.
func TestFailuresByCustomerAreBounded(t *testing.T) {
	b, _ := fixture(1, sameDataCentre)
	for i := range 10 * maxOwnFailures {
		r := ofCustomer(0, fmt.Sprint("customer", i))
		b.grant(0, b.service("plain"), r, b.upstreams["plain0"])
		b.Release(0, r, Unclear)
	}
	check.AtMost(t, "customers at an upstream", len(b.upstreams["plain0"].ownSkips), maxOwnFailures)
}
