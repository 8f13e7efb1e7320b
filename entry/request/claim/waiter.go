package claim

import (
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/request/outcome"
)

// waiter is an attempt that waits for its grant or for the outcome of an
// earlier attempt.
type waiter struct {
	acquire    Acquire
	receivedAt clock.Millis
}

// acquire handles an attempt that requests a grant.
func (o *Owner) acquire(now clock.Millis, a Acquire) {
	if a.key.Shard() != o.shard {
		return
	}
	o.load(now)
	for i, w := range o.waiting[a.key] {
		if w.acquire.attempt == a.attempt {
			// A repeat must not extend the timeout of the first Acquire.
			o.waiting[a.key][i].acquire = a
			return
		}
	}
	w := waiter{a, now}
	if o.phase == phaseReady && o.decide(now, w) {
		return
	}
	if len(o.waitingOrder) >= maxWaiting {
		o.refuse(a, outcome.Overloaded, o.refusalOutcome(now, a.key), retryAfterPendingMs)
		return
	}
	o.addWaiter(w)
}

func (o *Owner) addWaiter(w waiter) {
	o.waiting[w.acquire.key] = append(o.waiting[w.acquire.key], w)
	o.waitingOrder = append(o.waitingOrder, w.acquire.key)
}

// decide replies to w if the decision is possible now and reports whether it
// did. Otherwise w has to wait.
func (o *Owner) decide(now clock.Millis, w waiter) bool {
	a := w.acquire
	if _, pruned := o.index.pruned[a.key]; pruned {
		o.refuse(a, outcome.ClaimUnresolved, outcome.Unknown, 0)
		return true
	}
	r := o.index.live[a.key]
	if r == nil || r.state == NotRun {
		return o.startClaim(now, w)
	}
	if r.body != a.body {
		o.refuse(a, outcome.ClaimMismatch, outcome.NotRun, 0)
		return true
	}
	switch {
	case r.pending:
		return false
	case r.state == Running && r.attempt == a.attempt:
		o.reply(a, Granted{r.grant, r.upstream})
		return true
	case r.state == Running:
		return false
	case r.hasResponse:
		o.reply(a, Stored{r.response})
		return true
	}
	o.refuse(a, outcome.ClaimUnresolved, outcome.Unknown, 0)
	return true
}

// startClaim creates a pending record for w and returns false, or refuses w if
// the record cannot become durable and returns true.
func (o *Owner) startClaim(now clock.Millis, w waiter) bool {
	a := w.acquire
	if o.platformFailing {
		o.refuse(a, outcome.PlatformDown, o.refusalOutcome(now, a.key), retryAfterDownMs)
		return true
	}
	if o.index.full() && now-o.lastPrunedAt >= clock.Second {
		o.lastPrunedAt = now
		o.index.prune(now)
	}
	if o.index.full() {
		o.refuse(a, outcome.Overloaded, o.refusalOutcome(now, a.key), retryAfterDownMs)
		return true
	}
	o.index.live[a.key] = &record{body: a.body, upstream: a.upstream, attempt: a.attempt, pending: true, state: Running, claimedAt: now}
	o.unwritten = append(o.unwritten, a.key)
	return false
}

// refusalOutcome returns NotRun if this owner can rule out that any attempt
// with the key was granted: the shard is loaded, the platform confirmed it
// shortly before it began to fail, and this process was not paused since.
// Otherwise it returns Unknown.
func (o *Owner) refusalOutcome(now clock.Millis, k Key) outcome.Outcome {
	asOf := now
	if o.platformFailing {
		asOf = o.failingSince
	}
	if o.phase != phaseReady || o.ownershipUncertain || asOf-o.confirmedAt > confirmationMaxAge {
		return outcome.Unknown
	}
	if _, pruned := o.index.pruned[k]; pruned {
		return outcome.Unknown
	}
	if r := o.index.live[k]; r != nil && !r.pending && r.state != NotRun {
		return outcome.Unknown
	}
	if len(o.waiting[k]) > 1 {
		// Another attempt may be granted before the caller receives this
		// refusal.
		return outcome.Unknown
	}
	return outcome.NotRun
}

// decideWaiters decides again for all attempts that wait for a key.
func (o *Owner) decideWaiters(now clock.Millis, k Key) {
	waiters := o.waiting[k]
	delete(o.waiting, k)
	o.removeFromOrder(k)
	for _, w := range waiters {
		if !o.decide(now, w) {
			o.addWaiter(w)
		}
	}
}

func (o *Owner) removeFromOrder(k Key) {
	remaining := o.waitingOrder[:0]
	for _, other := range o.waitingOrder {
		if other != k {
			remaining = append(remaining, other)
		}
	}
	o.waitingOrder = remaining
}

// refuseExpired refuses the waiting attempts that reached their deadline or
// timeout.
func (o *Owner) refuseExpired(now clock.Millis) {
	for _, k := range o.waitingKeys() {
		var remaining []waiter
		for _, w := range o.waiting[k] {
			if !o.refuseIfExpired(now, k, w) {
				remaining = append(remaining, w)
			}
		}
		if len(remaining) == len(o.waiting[k]) {
			continue
		}
		o.removeFromOrder(k)
		delete(o.waiting, k)
		for _, w := range remaining {
			o.addWaiter(w)
		}
	}
}

// waitingKeys returns the distinct keys that attempts wait for, in order of
// arrival.
func (o *Owner) waitingKeys() []Key {
	seen := make(map[Key]bool, len(o.waiting))
	var keys []Key
	for _, k := range o.waitingOrder {
		if !seen[k] {
			seen[k] = true
			keys = append(keys, k)
		}
	}
	return keys
}

// refuseIfExpired refuses w if it reached its deadline or timeout and reports
// whether it did.
func (o *Owner) refuseIfExpired(now clock.Millis, k Key, w waiter) bool {
	r := o.index.live[k]
	notDurable := o.phase != phaseReady || r == nil || r.pending
	switch {
	case notDurable && now >= w.acquire.deadline:
		o.refuse(w.acquire, outcome.DeadlineExceeded, o.refusalOutcome(now, k), 0)
	case notDurable && now-w.receivedAt >= durabilityTimeout:
		o.refuse(w.acquire, outcome.PlatformDown, o.refusalOutcome(now, k), retryAfterDownMs)
	case !notDurable && now >= w.acquire.deadline:
		o.refuse(w.acquire, outcome.ClaimPending, outcome.Unknown, retryAfterPendingMs)
	default:
		return false
	}
	return true
}

// queryAwaited queries the agents of unresolved records that attempts wait for.
func (o *Owner) queryAwaited(now clock.Millis) {
	if o.phase != phaseReady {
		return
	}
	for _, k := range o.waitingKeys() {
		r := o.index.live[k]
		if r == nil || r.pending || r.state != Running {
			continue
		}
		due := r.nextQueryAt
		if due == 0 && !r.orphan && !o.terminated[r.attempt.entry] {
			due = o.waiting[k][0].receivedAt + reportTimeout
		}
		if now < due {
			continue
		}
		r.nextQueryAt = now + queryTimeout
		o.actions = append(o.actions, Query{k, r.grant, r.upstream})
	}
}
