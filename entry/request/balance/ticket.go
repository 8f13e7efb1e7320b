package balance

import (
	"goldcrestshore/core/process/clock"
	"goldcrestshore/entry/version/fleet"
)

// Reason is the reason for which a request is rejected.
type Reason string

// Reasons for rejections.
const (
	NoUpstream Reason = "noUpstream"
	QueueFull  Reason = "queueFull"
	TooLate    Reason = "tooLate"
	// LimitReached means that all usable upstreams state a limit, and this entry's shares
	// of them are used up for longer than the request may wait.
	LimitReached Reason = "limitReached"
	// PauseRequested means that all upstreams in service have asked for a pause that lasts
	// longer than the request may wait.
	PauseRequested Reason = "pauseRequested"
)

// Ticket is a request that waits for an upstream or was granted one.
type Ticket struct {
	// Service is the name of the service that runs the request.
	Service string
	// Customer is the customer whose request it is, empty for anonymous ones.
	Customer string
	// Priority ranks requests; 0 is the most urgent.
	Priority int
	// PromptTokens is the number of prompt tokens, 0 for plain services.
	PromptTokens int
	// Due is the time by which the first byte of the response should be sent.
	Due clock.Millis
	// WaitDeadline is the time at which a waiting request is rejected.
	WaitDeadline clock.Millis
	// Avoid lists the upstreams that refused the request or failed it.
	Avoid []string

	upstream *upstream
	// registration is that of the granted upstream at that time.
	registration *fleet.Upstream
	// granted is the time at which the upstream was granted.
	granted clock.Millis
	// isTrial is set if the upstream was granted on trial.
	isTrial bool
	// retryReserved is set while the next grant is a retry that the budget allows.
	retryReserved bool
}

// Upstream returns the ID and address of the granted upstream.
func (t *Ticket) Upstream() (id, address string) { return t.registration.ID, t.registration.Address }

// Registration returns the registration of the granted upstream at the time of the grant.
func (t *Ticket) Registration() *fleet.Upstream { return t.registration }

// Decision is the result of a request for an upstream: Grant, Wait or Reject.
type Decision interface{ decision() }

// Grant assigns an upstream to a ticket.
type Grant struct {
	Ticket *Ticket
	// InFlight is the number of requests of all entries in flight there.
	InFlight int
	// Limit is the number of requests that may be in flight there.
	Limit int
}

// Wait means that the ticket is in the queue.
type Wait struct{}

// Reject ends a ticket without an upstream.
type Reject struct {
	Ticket     *Ticket
	Reason     Reason
	RetryAfter clock.Millis
	// Queued is the length of the queue.
	Queued int
	// Usable is the number of upstreams that can take requests.
	Usable int
}

func (Grant) decision() {}

func (Wait) decision() {}

func (Reject) decision() {}
