package claim

import (
	"maps"
	"slices"

	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/request/outcome"
	"goldcrestshore/core/request/stored"
)

// acquireRetryInterval is the interval at which an Acquire or Withdraw without
// a reply is sent again, each time to the current owner of the shard. Owners
// handle repeats with the same AttemptID idempotently.
const acquireRetryInterval = 500 * clock.Millis(1)

// withdrawTimeout is how long a refused caller waits for the owner to determine
// whether another attempt with its key ran.
const withdrawTimeout = clock.Second

// ClientEvent is an input of Client.Handle.
type ClientEvent interface{ clientEvent() }

// Begin starts a request, or restarts it on another upstream after
// AgentRefused.
type Begin struct {
	request  uint64
	key      Key
	body     uint64 // hash of the request
	upstream Upstream
	deadline clock.Millis
}

// NewBegin returns the start of a request, identified by a number that the
// entry uses once.
func NewBegin(request uint64, k Key, body uint64, u Upstream, deadline clock.Millis) Begin {
	return Begin{request, k, body, u, deadline}
}

// ReplyReceived carries a reply of the owner.
type ReplyReceived struct{ ownerReply OwnerReply }

// NewReplyReceived returns the event for a received reply.
func NewReplyReceived(r OwnerReply) ReplyReceived { return ReplyReceived{r} }

// AgentRefused states that the agent refused a submitted request and will not
// run it later. Superseded reports that the agent refused because an owner had
// queried the grant before, so another attempt with the key may be running.
type AgentRefused struct {
	request    uint64
	superseded bool
}

// NewAgentRefused returns the event for a refusal with the outcome not-run.
func NewAgentRefused(request uint64, superseded bool) AgentRefused {
	return AgentRefused{request, superseded}
}

// OutcomeUnknown states that the connection to the agent was lost after the
// request may have reached it, or that the agent cannot determine whether the
// request ran.
type OutcomeUnknown struct{ request uint64 }

// NewOutcomeUnknown returns the event for a request with an unknown outcome.
func NewOutcomeUnknown(request uint64) OutcomeUnknown { return OutcomeUnknown{request} }

// Abandoned states that a request is not retried after AgentRefused, or was
// refused before a Begin. The client then returns the refusal for the caller,
// which may differ from the one given here because another attempt with the key
// may have run.
type Abandoned struct {
	request uint64
	key     Key
	refusal *outcome.Refusal
}

// NewAbandoned returns the event for a request that is refused with r.
func NewAbandoned(request uint64, k Key, r *outcome.Refusal) Abandoned {
	return Abandoned{request, k, r}
}

// Finished states that the whole response was received. A small response is
// stored for callers that send the key again.
type Finished struct {
	request  uint64
	response stored.Response
}

// NewFinished returns the event for a completed request.
func NewFinished(request uint64, resp stored.Response) Finished { return Finished{request, resp} }

// CallerDisconnected states that the caller no longer waits for the request.
type CallerDisconnected struct{ request uint64 }

// NewCallerDisconnected returns the event for a request whose caller
// disconnected.
func NewCallerDisconnected(request uint64) CallerDisconnected { return CallerDisconnected{request} }

// ClientTick signals that time has passed. It is due at least every
// acquireRetryInterval.
type ClientTick struct{}

func (Begin) clientEvent()              {}
func (ReplyReceived) clientEvent()      {}
func (AgentRefused) clientEvent()       {}
func (OutcomeUnknown) clientEvent()     {}
func (Abandoned) clientEvent()          {}
func (Finished) clientEvent()           {}
func (CallerDisconnected) clientEvent() {}
func (ClientTick) clientEvent()         {}

// ClientAction is an output of Client.Handle.
type ClientAction interface{ clientAction() }

// SendAcquire sends an Acquire to the owner of the key's shard.
type SendAcquire struct{ acquire Acquire }

// Acquire returns the request for a grant.
func (s SendAcquire) Acquire() Acquire { return s.acquire }

// SendReport sends a Report to the owner of the key's shard. It may be lost.
type SendReport struct{ report Report }

// Report returns the report.
func (s SendReport) Report() Report { return s.report }

// SendWithdraw sends a Withdraw to the owner of the key's shard.
type SendWithdraw struct{ withdraw Withdraw }

// Withdraw returns the request for a refusal.
func (s SendWithdraw) Withdraw() Withdraw { return s.withdraw }

// Submit submits a request once, to the named upstream, with the grant as its
// claimKey.
type Submit struct {
	request  uint64
	grant    Grant
	upstream Upstream
}

// Request returns the number of the request.
func (s Submit) Request() uint64 { return s.request }

// Grant returns the grant.
func (s Submit) Grant() Grant { return s.grant }

// Upstream returns the only upstream that may receive the request.
func (s Submit) Upstream() Upstream { return s.upstream }

// Deliver sends the caller the stored response of an earlier run.
type Deliver struct {
	request  uint64
	response stored.Response
}

// Request returns the number of the request.
func (d Deliver) Request() uint64 { return d.request }

// Response returns the stored response.
func (d Deliver) Response() stored.Response { return d.response }

// Refuse refuses the request.
type Refuse struct {
	request uint64
	refusal *outcome.Refusal
}

// Request returns the number of the request.
func (r Refuse) Request() uint64 { return r.request }

// Refusal returns the refusal to send to the caller.
func (r Refuse) Refusal() *outcome.Refusal { return r.refusal }

func (SendAcquire) clientAction()  {}
func (SendReport) clientAction()   {}
func (SendWithdraw) clientAction() {}
func (Submit) clientAction()       {}
func (Deliver) clientAction()      {}
func (Refuse) clientAction()       {}

type stage int

const (
	acquiring    stage = iota
	submitted          // the request was sent to the agent
	agentRefused       // the agent refused it; the entry restarts or abandons it
	withdrawing        // the owner determines the outcome of the refusal
)

// pendingRequest is the state of one request at the entry that received it.
type pendingRequest struct {
	begin   Begin
	attempt AttemptID
	stage   stage
	grant   Grant
	sentAt  clock.Millis
	refusal *outcome.Refusal
}

// Client decides for the requests with an idempotency key of one entry. It is
// not safe for concurrent use. Create one with NewClient.
type Client struct {
	entry            uint64
	sequence         uint64
	requests         map[uint64]*pendingRequest
	requestByAttempt map[AttemptID]uint64
}

// NewClient returns the client of an entry's incarnation.
func NewClient(entry uint64) *Client {
	return &Client{entry: entry, requests: map[uint64]*pendingRequest{}, requestByAttempt: map[AttemptID]uint64{}}
}

// Len returns the number of pending requests.
func (c *Client) Len() int { return len(c.requests) }

// Handle applies an event that occurred at now and returns the resulting
// actions.
func (c *Client) Handle(now clock.Millis, e ClientEvent) []ClientAction {
	switch e := e.(type) {
	case Begin:
		return c.acquire(now, &pendingRequest{begin: e})
	case ReplyReceived:
		return c.handleReply(e.ownerReply)
	case AgentRefused:
		return c.agentRefused(now, e)
	case OutcomeUnknown:
		return c.handleOutcomeUnknown(now, e.request)
	case Abandoned:
		return c.handleAbandoned(now, e)
	case Finished:
		return c.handleFinished(e)
	case CallerDisconnected:
		return c.handleCallerDisconnected(e.request)
	case ClientTick:
		return c.handleTick(now)
	}
	return nil
}

func (c *Client) acquire(now clock.Millis, p *pendingRequest) []ClientAction {
	c.assignAttempt(now, p)
	p.stage = acquiring
	return []ClientAction{SendAcquire{p.acquire()}}
}

func (p *pendingRequest) acquire() Acquire {
	b := p.begin
	return Acquire{p.attempt, b.key, b.body, b.upstream, b.deadline}
}

func (c *Client) remove(request uint64) {
	if p := c.requests[request]; p != nil {
		delete(c.requestByAttempt, p.attempt)
	}
	delete(c.requests, request)
}

func (c *Client) handleReply(a OwnerReply) []ClientAction {
	request, ok := c.requestByAttempt[a.attempt]
	p := c.requests[request]
	if !ok || p.stage == submitted || p.stage == agentRefused {
		// Late or duplicate reply: the request has ended or its grant was used.
		return nil
	}
	switch r := a.reply.(type) {
	case Granted:
		if p.stage == withdrawing {
			return nil
		}
		p.stage = submitted
		p.grant = r.grant
		return []ClientAction{Submit{request, r.grant, r.upstream}}
	case Stored:
		c.remove(request)
		return []ClientAction{Deliver{request, r.response}}
	case Refused:
		c.remove(request)
		return []ClientAction{Refuse{request, r.refusal}}
	}
	return nil
}

func (c *Client) agentRefused(now clock.Millis, e AgentRefused) []ClientAction {
	p := c.requests[e.request]
	if p == nil || p.stage != submitted {
		return nil
	}
	report := SendReport{Report{key: p.begin.key, grant: p.grant, state: NotRun}}
	if !e.superseded {
		p.stage = agentRefused
		return []ClientAction{report}
	}
	return append([]ClientAction{report}, c.acquire(now, p)...)
}

// handleAbandoned starts the withdrawal of a request. Only the owner can
// determine whether another attempt with the key was granted.
func (c *Client) handleAbandoned(now clock.Millis, e Abandoned) []ClientAction {
	p := c.requests[e.request]
	if p == nil {
		p = &pendingRequest{begin: Begin{request: e.request, key: e.key}, stage: agentRefused}
	}
	if p.stage != agentRefused {
		return nil
	}
	c.assignAttempt(now, p)
	p.stage = withdrawing
	p.refusal = e.refusal
	p.begin.deadline = max(p.begin.deadline, now+withdrawTimeout)
	return []ClientAction{SendWithdraw{p.withdraw()}}
}

// assignAttempt gives p a new attempt ID, so that late replies to an earlier
// attempt are ignored.
func (c *Client) assignAttempt(now clock.Millis, p *pendingRequest) {
	c.remove(p.begin.request)
	c.sequence++
	p.attempt = AttemptID{c.entry, c.sequence}
	p.sentAt = now
	c.requests[p.begin.request] = p
	c.requestByAttempt[p.attempt] = p.begin.request
}

// unconfirmedRefusal returns the refusal if the owner did not reply. This
// attempt did not run, but another one with the key may have.
func (p *pendingRequest) unconfirmedRefusal() *outcome.Refusal {
	if p.refusal != nil {
		return outcome.Refuse(p.refusal.Code(), outcome.Unknown, p.refusal.RetryAfterMs())
	}
	return outcome.Refuse(outcome.DeadlineExceeded, outcome.Unknown, 0)
}

func (p *pendingRequest) withdraw() Withdraw {
	return Withdraw{p.attempt, p.begin.key, p.grant, p.refusal.Code(), p.refusal.RetryAfterMs()}
}

// handleOutcomeUnknown sends another Acquire to the owner, which queries the
// agent. The caller then receives the stored response, or the request runs if
// the agent never received it.
func (c *Client) handleOutcomeUnknown(now clock.Millis, request uint64) []ClientAction {
	p := c.requests[request]
	if p == nil || p.stage != submitted {
		return nil
	}
	report := SendReport{Report{key: p.begin.key, grant: p.grant, state: Unknown}}
	return append([]ClientAction{report}, c.acquire(now, p)...)
}

func (c *Client) handleFinished(e Finished) []ClientAction {
	p := c.requests[e.request]
	if p == nil || p.stage != submitted {
		return nil
	}
	c.remove(e.request)
	return []ClientAction{SendReport{Report{p.begin.key, p.grant, Done, e.response}}}
}

// handleCallerDisconnected removes a request. Its record is resolved by
// querying the agent, at the latest when the key is sent again.
func (c *Client) handleCallerDisconnected(request uint64) []ClientAction {
	p := c.requests[request]
	c.remove(request)
	if p == nil || p.stage != submitted {
		return nil
	}
	return []ClientAction{SendReport{Report{key: p.begin.key, grant: p.grant, state: Unknown}}}
}

func (c *Client) handleTick(now clock.Millis) []ClientAction {
	var actions []ClientAction
	for _, request := range slices.Sorted(maps.Keys(c.requests)) {
		p := c.requests[request]
		switch {
		case p.stage == submitted || p.stage == agentRefused:
		case now >= p.begin.deadline+acquireRetryInterval:
			c.remove(request)
			actions = append(actions, Refuse{request, p.unconfirmedRefusal()})
		case now-p.sentAt < acquireRetryInterval:
		case p.stage == withdrawing:
			p.sentAt = now
			actions = append(actions, SendWithdraw{p.withdraw()})
		default:
			p.sentAt = now
			actions = append(actions, SendAcquire{p.acquire()})
		}
	}
	return actions
}
