package balance

import (
	"fmt"
	"testing"

	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/entry/version/fleet"
)

// The budget that the entries of a test share.
const (
	sharedRatio     = 0.2
	sharedAllowance = 94
	sharedWindow    = 10 * clock.Second
)

// startEntry returns the balancer of an entry that starts now and knows of n entries.
func startEntry(now clock.Millis, n int) *Balancer {
	b := New(now, Settings{RetryRatio: sharedRatio, RetryAllowance: sharedAllowance, RetryWindow: sharedWindow})
	b.SetEntries(now-entriesSettleTime, n)
	return b
}

// sendRetry reports whether b allows a retry, which is sent at once if so.
func sendRetry(b *Balancer, now clock.Millis) bool {
	t := ticket(now)
	if !b.Retry(now, t) {
		return false
	}
	b.service(t.Service).budget.Use(now, t.Customer)
	return true
}

// maxInWindow returns the highest number of times within a window. times must be sorted.
func maxInWindow(times []clock.Millis, window clock.Millis) int {
	highest, first := 0, 0
	for i, t := range times {
		for times[first] <= t-window {
			first++
		}
		highest = max(highest, i-first+1)
	}
	return highest
}

// Guards against entries that get their whole share of the retry budget again with each
// restart, while requests keep failing.
func TestRestartsDoNotRenewRetryBudget(t *testing.T) {
	const entries = 5
	for _, interval := range []clock.Millis{500, 1500, 3000, 9 * clock.Second} {
		t.Run(fmt.Sprint(interval.Duration()), func(t *testing.T) {
			var retries []clock.Millis
			running := make([]*Balancer, entries)
			for i := range running {
				running[i] = startEntry(0, entries)
			}
			for now := sharedWindow; now < 6*sharedWindow; now += 20 {
				for i := range running {
					if now >= 2*sharedWindow && now%interval == 0 {
						running[i] = startEntry(now, entries)
					}
					for sendRetry(running[i], now) {
						retries = append(retries, now)
					}
				}
			}
			check.AtMost(t, "retries in a window", maxInWindow(retries, sharedWindow), sharedAllowance)
		})
	}
}

// Guards against an entry that never retries again after a start.
func TestRetryBudgetAfterStart(t *testing.T) {
	b := startEntry(0, 5)
	check.Equal(t, "retry at the start", sendRetry(b, 0), false)
	check.Equal(t, "retry after two seconds", sendRetry(b, 2*clock.Second), true)
	full := 0
	for sendRetry(b, 2*sharedWindow) {
		full++
	}
	check.Equal(t, "retries in a later window", full, 13) // 0.7 of 94, divided by 5
}

// Guards against two bursts of retries that both use the whole budget although less than a
// window lies between them.
func TestRetriesCountForWholeWindow(t *testing.T) {
	const firstBurst = 999 * clock.Millis(1)
	b := NewBudget(sharedRatio, sharedWindow)
	var retries []clock.Millis
	for now := firstBurst; now < 4*sharedWindow; now++ {
		for b.Reserve(now, "", sharedAllowance) {
			b.Use(now, "")
			retries = append(retries, now)
		}
	}
	check.AtMost(t, "retries in a window", maxInWindow(retries, sharedWindow), sharedAllowance)
	check.AtMost(t, "three full budgets", 3*sharedAllowance, len(retries))
}

// Guards against retries that are allowed, wait for an upstream and leave the budget sooner
// than the upstreams get them, as in an outage: those of the next outage then arrive within
// the same window.
func TestRetriesCountFromWhenTheyAreSent(t *testing.T) {
	const sentAt = 1400 * clock.Millis(1)
	b, _ := fixture(1, func(u *fleet.Upstream) { u.Slots = sharedAllowance })
	b.SetOthersInFlight(map[string]int{"model0": sharedAllowance})
	var retries []clock.Millis
	for {
		waits := ticket(0)
		if !b.Retry(0, waits) {
			break
		}
		waiting(t, b.Acquire(0, waits))
	}
	b.SetOthersInFlight(nil)
	for _, d := range b.Tick(sentAt) {
		retries = append(retries, sentAt)
		b.Release(sentAt, granted(t, d), Succeeded)
	}
	check.Equal(t, "sent at once", len(retries), 7) // 0.7 of 10
	for now := sentAt + 1; now < 2*sharedWindow; now++ {
		for next := ticket(now); b.Retry(now, next); next = ticket(now) {
			retries = append(retries, now)
			b.Release(now, granted(t, b.Acquire(now, next)), Succeeded)
		}
	}
	check.AtMost(t, "retries in a window", maxInWindow(retries, sharedWindow), 7)
}

// Guards against a budget that stays used by retries that were never sent, because no
// upstream could take them or their callers left.
func TestUnsentRetriesAreGivenBack(t *testing.T) {
	b, _ := fixture(0, nil)
	allowed := 0
	for range 2 * sharedAllowance {
		unsent := ticket(0)
		if b.Retry(0, unsent) {
			allowed++
		}
		rejected(t, b.Acquire(0, unsent))
		b.Finish(unsent)
	}
	check.Equal(t, "retries allowed", allowed, 2*sharedAllowance)
}

// Guards against entries that take over the share of those that have just left, whose retries
// still count.
func TestLeavingEntriesKeepTheirRetries(t *testing.T) {
	const entries, staying = 5, 2
	var retries []clock.Millis
	running := make([]*Balancer, entries)
	for i := range running {
		running[i] = startEntry(0, entries)
		running[i].SetEntries(sharedWindow, entries)
	}
	for now := sharedWindow; now < 4*sharedWindow; now += 20 {
		for _, b := range running {
			b.SetEntries(now, len(running))
			for sendRetry(b, now) {
				retries = append(retries, now)
			}
		}
		running = running[:min(len(running), staying)]
	}
	check.AtMost(t, "retries in a window", maxInWindow(retries, sharedWindow), sharedAllowance)
}

// Guards against a customer whose requests fail and use up the retries of the others, against a smaller
// budget for one that sends alone, and against customers that are counted longer than a window.
func TestCustomersLeaveRetriesToOthers(t *testing.T) {
	const allowance = 10
	retryAll := func(b *Budget, customer string) int {
		n := 0
		for ; b.Reserve(0, customer, allowance); n++ {
			b.Use(0, customer)
		}
		return n
	}
	send := func(b *Budget, customer string, n int) {
		for range n {
			b.RecordFirstSend(0, customer)
		}
	}
	b := NewBudget(sharedRatio, sharedWindow)
	send(b, "fails", 100)
	check.Equal(t, "retries of a customer that sends alone", retryAll(b, "fails"), 100/5+allowance)
	b = NewBudget(sharedRatio, sharedWindow)
	send(b, "fails", 100)
	send(b, "other", 10)
	check.Equal(t, "retries of one beside another", retryAll(b, "fails"), 100/5+allowance/2)
	check.Equal(t, "retries of the other one", retryAll(b, "other"), 10/5+allowance/2)
	check.Equal(t, "retry after the window", b.Reserve(2*sharedWindow, "other", allowance), true)
	b.Release("other")
	b.advance(4 * sharedWindow)
	check.Equal(t, "customers counted in the end", len(b.customers), 0)
}
