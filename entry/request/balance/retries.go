package balance

import "goldcrestshore/core/process/clock"

const (
	// budgetShare is the share of the common retry budget that entries use.
	budgetShare = 0.7
	// startBudgetShare is the share of the fixed number of retries that entries use which
	// have started within the retry window. An entry does not know what it used before it
	// was restarted, so both shares together must not exceed the budget.
	startBudgetShare = 1 - budgetShare
)

// Retry reports whether a request may be sent to another upstream, and reserves the retry
// in the budget if so. The retry counts from when an upstream is granted, since it may wait
// for one.
func (b *Balancer) Retry(now clock.Millis, t *Ticket) bool {
	if !t.retryReserved {
		t.retryReserved = b.service(t.Service).budget.Reserve(now, t.Customer, b.retryAllowance(now))
	}
	return t.retryReserved
}

// Finish gives back the retry that a ticket has reserved and not used. It must be called
// once the request has ended.
func (b *Balancer) Finish(t *Ticket) {
	if t.retryReserved {
		t.retryReserved = false
		b.service(t.Service).budget.Release(t.Customer)
	}
}

// RetryBudget is the state of a service's retry budget at this entry.
type RetryBudget struct {
	// Usage is that of all customers.
	Usage
	// Customer is the usage by one customer, if the state is that for a request.
	Customer Usage
	// Entries is the number of entries among which the fixed allowance is divided.
	Entries int
}

// RetryBudget returns the state of a service's retry budget.
func (b *Balancer) RetryBudget(now clock.Millis, name string) RetryBudget {
	return RetryBudget{Usage: b.service(name).budget.usage(now, b.retryAllowance(now)), Entries: b.entries.value(now)}
}

// RetryBudgetFor returns the state of the retry budget for a request.
func (b *Balancer) RetryBudgetFor(now clock.Millis, t *Ticket) RetryBudget {
	out := b.RetryBudget(now, t.Service)
	out.Customer = b.service(t.Service).budget.usageOf(now, t.Customer, b.retryAllowance(now))
	return out
}

// retryAllowance returns this entry's share of the fixed number of retries. Within the
// first window it grows with the age of the process, so that an entry that is restarted
// again and again does not use more than one that starts once.
func (b *Balancer) retryAllowance(now clock.Millis) float64 {
	share := budgetShare
	if age := now - b.startedAt; age < b.settings.RetryWindow {
		share = startBudgetShare * float64(age) / float64(b.settings.RetryWindow)
	}
	return b.settings.RetryAllowance * share / float64(b.entries.value(now))
}

// RecordFirstSend counts the first send of a request.
func (b *Balancer) RecordFirstSend(now clock.Millis, t *Ticket) {
	b.service(t.Service).budget.RecordFirstSend(now, t.Customer)
}
