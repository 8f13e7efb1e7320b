package balance

import "goldcrestshore/core/process/clock"

const (
	// agreementTime is how long the failure of one customer's request can agree with that of another
	// customer's.
	agreementTime = 10 * clock.Second
	// maxOwnFailures bounds the customers of whose failures at an upstream it is remembered that no
	// other customer's have agreed.
	maxOwnFailures = 32
)

// suspicion is the last failure whose request may be the cause. The zero value is none.
type suspicion struct {
	customer string
	at       clock.Millis
	// exists is false for the zero value, and isCounted is set once the failure counts, or can't any
	// more, as one of the upstream.
	exists, isCounted bool
}

// add records the failure of a customer's request. It returns how many failures are those of the upstream
// now: 0 unless the last one was another customer's, and 2 if that one has not been counted.
func (s *suspicion) add(now clock.Millis, customer string) int {
	last := *s
	agrees := last.exists && last.customer != customer && now-last.at < agreementTime
	*s = suspicion{customer: customer, at: now, exists: true, isCounted: agrees}
	switch {
	case !agrees:
		return 0
	case last.isCounted:
		return 1
	}
	return 2
}

// ownFailures are the failures of one customer's requests in a row.
type ownFailures struct {
	count int
	// skippedUntil is until when the upstream gets no new requests of the customer.
	skippedUntil clock.Millis
}

// ownSkips holds, by customer, the failures at an upstream. The zero value is ready to use.
type ownSkips map[string]ownFailures

// add records a failure of a customer's request. skip returns for how long the upstream is skipped after
// a number of failures in a row.
func (o *ownSkips) add(now clock.Millis, customer string, skip func(count int) clock.Millis) {
	failures := (*o)[customer]
	failures.count++
	failures.skippedUntil = now + skip(failures.count)
	o.set(customer, failures)
}

// extend makes the upstream be skipped for a customer until a time at least.
func (o *ownSkips) extend(until clock.Millis, customer string) {
	failures := (*o)[customer]
	failures.skippedUntil = max(failures.skippedUntil, until)
	o.set(customer, failures)
}

func (o *ownSkips) set(customer string, failures ownFailures) {
	if *o == nil {
		*o = make(ownSkips)
	}
	(*o)[customer] = failures
	if len(*o) > maxOwnFailures {
		o.removeFirst()
	}
}

// removeFirst removes the customer whose skip ends first.
func (o *ownSkips) removeFirst() {
	first := ""
	for customer, f := range *o {
		if known, found := (*o)[first]; !found || f.skippedUntil < known.skippedUntil {
			first = customer
		}
	}
	delete(*o, first)
}

// has reports whether the upstream gets no new requests of a customer.
func (o ownSkips) has(now clock.Millis, customer string) bool { return now < o[customer].skippedUntil }

// skippedFor reports whether the upstream gets no new requests of a customer because of failures.
func (u *upstream) skippedFor(now clock.Millis, customer string) bool {
	return u.pauses.has(now, pauseFailed) || u.ownSkips.has(now, customer)
}

// recordSuccess records that the request of a customer has succeeded.
func (u *upstream) recordSuccess(now clock.Millis, customer string) {
	u.consecutiveFailures = 0
	u.failureRate.record(now, false)
	u.suspicion.isCounted = true
	delete(u.ownSkips, customer)
}

// recordFailure records a failure of the upstream.
func (s *service) recordFailure(now clock.Millis, u *upstream) {
	u.failureRate.record(now, true)
	s.skip(now, u, 1)
}

// recordUnclear records a failure whose cause may be the request of a customer. The upstream is less
// preferred than others at once, which takes it from nobody.
func (s *service) recordUnclear(now clock.Millis, u *upstream, customer string) {
	u.failureRate.record(now, true)
	u.ownSkips.add(now, customer, s.skipDuration)
	if count := u.suspicion.add(now, customer); count > 0 {
		s.skip(now, u, count)
	}
}

// skip skips an upstream after further failures of its own.
func (s *service) skip(now clock.Millis, u *upstream, failures int) {
	u.consecutiveFailures += failures
	u.pauses[pauseFailed] = now + s.skipDuration(u.consecutiveFailures)
}
