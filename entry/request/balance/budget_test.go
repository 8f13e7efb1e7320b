package balance

import (
	"fmt"
	"testing"

	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/clock"
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
					for running[i].Retry(now, "model") {
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
	check.Equal(t, "retry at the start", b.Retry(0, "model"), false)
	check.Equal(t, "retry after two seconds", b.Retry(2*clock.Second, "model"), true)
	full := 0
	for b.Retry(2*sharedWindow, "model") {
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
		for b.Take(now, sharedAllowance) {
			retries = append(retries, now)
		}
	}
	check.AtMost(t, "retries in a window", maxInWindow(retries, sharedWindow), sharedAllowance)
	check.AtMost(t, "three full budgets", 3*sharedAllowance, len(retries))
}
