package claim

import (
	"maps"
	"slices"

	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/request/outcome"
	"goldcrestshore/core/request/stored"
)

// askEvery is the pause after which an unanswered Ask is sent again, to the
// shard's owner of that time. A repeat with the same Ref is harmless.
const askEvery = 500 * clock.Millis(1)

// withdrawPatience is how long a refused caller waits for the owner to tell
// whether another sending of its key ran.
const withdrawPatience = clock.Second

// ClientEvent is an input of Client.Handle.
type ClientEvent interface{ clientEvent() }

// Begin starts a request, or starts it again on another upstream after
// AgentRefused.
type Begin struct {
	request  uint64
	key      Key
	body     uint64
	upstream Upstream
	deadline clock.Millis
}

// NewBegin describes a request by a number that the entry uses once.
func NewBegin(request uint64, k Key, body uint64, u Upstream, deadline clock.Millis) Begin {
	return Begin{request, k, body, u, deadline}
}

// Arrived brings the owner's reply.
type Arrived struct{ answered Answered }

// NewArrived returns a received reply.
func NewArrived(a Answered) Arrived { return Arrived{a} }

// AgentRefused tells that the agent refused a submitted request and will not
// run it later. Superseded tells that it did so because an owner had asked it
// about the claim, so another sending of the key may be running by now.
type AgentRefused struct {
	request    uint64
	superseded bool
}

// NewAgentRefused describes a refusal that says "not run".
func NewAgentRefused(request uint64, superseded bool) AgentRefused {
	return AgentRefused{request, superseded}
}

// AgentLost tells that contact with the agent was lost after the request may
// have reached it, or that the agent does not know whether it ran.
type AgentLost struct{ request uint64 }

// NewAgentLost describes a request with unknown outcome.
func NewAgentLost(request uint64) AgentLost { return AgentLost{request} }

// GaveUp tells that a request is not tried again after AgentRefused, or is
// refused before a Begin. The client then gives the refusal, which may differ
// from the one given here: another sending of the key may have run.
type GaveUp struct {
	request uint64
	key     Key
	refusal *outcome.Refusal
}

// NewGaveUp describes a request that ends without an answer.
func NewGaveUp(request uint64, k Key, r *outcome.Refusal) GaveUp { return GaveUp{request, k, r} }

// Finished tells that the whole answer has arrived. The answer is kept for
// callers that send the key again if it is small.
type Finished struct {
	request uint64
	answer  stored.Answer
}

// NewFinished describes an answered request.
func NewFinished(request uint64, a stored.Answer) Finished { return Finished{request, a} }

// CallerLeft tells that nobody waits for the request any more.
type CallerLeft struct{ request uint64 }

// NewCallerLeft describes an abandoned request.
func NewCallerLeft(request uint64) CallerLeft { return CallerLeft{request} }

// Passed tells the time; it is due at least every askEvery.
type Passed struct{}

func (Begin) clientEvent()        {}
func (Arrived) clientEvent()      {}
func (AgentRefused) clientEvent() {}
func (AgentLost) clientEvent()    {}
func (GaveUp) clientEvent()       {}
func (Finished) clientEvent()     {}
func (CallerLeft) clientEvent()   {}
func (Passed) clientEvent()       {}

// ClientAction is an output of Client.Handle.
type ClientAction interface{ clientAction() }

// SendAsk sends an Ask to the owner of the key's shard.
type SendAsk struct{ ask Ask }

// Ask returns the request for a claim.
func (s SendAsk) Ask() Ask { return s.ask }

// SendReport sends a Report to the owner of the key's shard. It may be lost.
type SendReport struct{ report Report }

// Report returns the report.
func (s SendReport) Report() Report { return s.report }

// SendWithdraw sends a Withdraw to the owner of the key's shard.
type SendWithdraw struct{ withdraw Withdraw }

// Withdraw returns the request for a refusal.
func (s SendWithdraw) Withdraw() Withdraw { return s.withdraw }

// Submit submits a request, once, to the named upstream with the grant as its
// claimKey.
type Submit struct {
	request  uint64
	grant    Grant
	upstream Upstream
}

// Request returns the number of the request.
func (s Submit) Request() uint64 { return s.request }

// Grant returns the claim.
func (s Submit) Grant() Grant { return s.grant }

// Upstream returns the only upstream allowed.
func (s Submit) Upstream() Upstream { return s.upstream }

// Deliver gives the caller the answer of an earlier run.
type Deliver struct {
	request uint64
	answer  stored.Answer
}

// Request returns the number of the request.
func (d Deliver) Request() uint64 { return d.request }

// Answer returns the stored answer.
func (d Deliver) Answer() stored.Answer { return d.answer }

// Refuse refuses the request.
type Refuse struct {
	request uint64
	refusal *outcome.Refusal
}

// Request returns the number of the request.
func (r Refuse) Request() uint64 { return r.request }

// Refusal returns the refusal for the caller.
func (r Refuse) Refusal() *outcome.Refusal { return r.refusal }

func (SendAsk) clientAction()      {}
func (SendReport) clientAction()   {}
func (SendWithdraw) clientAction() {}
func (Submit) clientAction()       {}
func (Deliver) clientAction()      {}
func (Refuse) clientAction()       {}

type stage int

const (
	asking      stage = iota
	submitted         // the agent has the request
	refused           // the agent refused it; the entry decides how to go on
	withdrawing       // the owner decides which refusal is true
)

// sending is one request at the entry that received it.
type sending struct {
	begin   Begin
	ref     Ref
	stage   stage
	grant   Grant
	asked   clock.Millis
	refusal *outcome.Refusal
}

// Client decides for the keyed requests of one entry. It is not safe for
// concurrent use. Call NewClient.
type Client struct {
	entry    uint64
	sequence uint64
	requests map[uint64]*sending
	refs     map[Ref]uint64
}

// NewClient returns the client of an entry's incarnation.
func NewClient(entry uint64) *Client {
	return &Client{entry: entry, requests: map[uint64]*sending{}, refs: map[Ref]uint64{}}
}

// Len returns the number of requests under way.
func (c *Client) Len() int { return len(c.requests) }

// Handle applies an event that happened at now and returns what to do.
func (c *Client) Handle(now clock.Millis, e ClientEvent) []ClientAction {
	switch e := e.(type) {
	case Begin:
		return c.ask(now, &sending{begin: e})
	case Arrived:
		return c.arrived(e.answered)
	case AgentRefused:
		return c.refused(now, e)
	case AgentLost:
		return c.lost(now, e.request)
	case GaveUp:
		return c.gaveUp(now, e)
	case Finished:
		return c.finished(e)
	case CallerLeft:
		return c.left(e.request)
	case Passed:
		return c.passed(now)
	}
	return nil
}

func (c *Client) ask(now clock.Millis, p *sending) []ClientAction {
	c.renew(now, p)
	p.stage = asking
	return []ClientAction{SendAsk{p.ask()}}
}

func (p *sending) ask() Ask {
	b := p.begin
	return Ask{p.ref, b.key, b.body, b.upstream, b.deadline}
}

func (c *Client) drop(request uint64) {
	if p := c.requests[request]; p != nil {
		delete(c.refs, p.ref)
	}
	delete(c.requests, request)
}

func (c *Client) arrived(a Answered) []ClientAction {
	request, ok := c.refs[a.ref]
	p := c.requests[request]
	if !ok || p.stage == submitted || p.stage == refused {
		// Late or repeated: the request has ended, or its grant is used.
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
		c.drop(request)
		return []ClientAction{Deliver{request, r.answer}}
	case Refused:
		c.drop(request)
		return []ClientAction{Refuse{request, r.refusal}}
	}
	return nil
}

func (c *Client) refused(now clock.Millis, e AgentRefused) []ClientAction {
	p := c.requests[e.request]
	if p == nil || p.stage != submitted {
		return nil
	}
	report := SendReport{Report{key: p.begin.key, grant: p.grant, state: NotRun}}
	if !e.superseded {
		p.stage = refused
		return []ClientAction{report}
	}
	return append([]ClientAction{report}, c.ask(now, p)...)
}

// gaveUp ends a request. Only the owner knows whether another sending of the
// key was granted.
func (c *Client) gaveUp(now clock.Millis, e GaveUp) []ClientAction {
	p := c.requests[e.request]
	if p == nil {
		p = &sending{begin: Begin{request: e.request, key: e.key}, stage: refused}
	}
	if p.stage != refused {
		return nil
	}
	c.renew(now, p)
	p.stage = withdrawing
	p.refusal = e.refusal
	p.begin.deadline = max(p.begin.deadline, now+withdrawPatience)
	return []ClientAction{SendWithdraw{p.withdraw()}}
}

// renew gives p a new reference, so that late replies to an earlier one are
// recognised.
func (c *Client) renew(now clock.Millis, p *sending) {
	c.drop(p.begin.request)
	c.sequence++
	p.ref = Ref{c.entry, c.sequence}
	p.asked = now
	c.requests[p.begin.request] = p
	c.refs[p.ref] = p.begin.request
}

// unconfirmed is the refusal when the owner did not reply. This sending did not
// run, but another one with the key may have.
func (p *sending) unconfirmed() *outcome.Refusal {
	if p.refusal != nil {
		return outcome.Refuse(p.refusal.Code(), outcome.Unknown, p.refusal.RetryAfterMs())
	}
	return outcome.Refuse(outcome.DeadlineExceeded, outcome.Unknown, 0)
}

func (p *sending) withdraw() Withdraw {
	return Withdraw{p.ref, p.begin.key, p.grant, p.refusal.Code(), p.refusal.RetryAfterMs()}
}

// lost asks the owner, which asks the agent: the caller then gets the stored
// answer, or the request runs if the agent never saw it.
func (c *Client) lost(now clock.Millis, request uint64) []ClientAction {
	p := c.requests[request]
	if p == nil || p.stage != submitted {
		return nil
	}
	report := SendReport{Report{key: p.begin.key, grant: p.grant, state: Unknown}}
	return append([]ClientAction{report}, c.ask(now, p)...)
}

func (c *Client) finished(e Finished) []ClientAction {
	p := c.requests[e.request]
	if p == nil || p.stage != submitted {
		return nil
	}
	c.drop(e.request)
	return []ClientAction{SendReport{Report{p.begin.key, p.grant, Done, e.answer}}}
}

// left ends a request without an answer. Its claim is resolved by the agent
// when the key is sent again.
func (c *Client) left(request uint64) []ClientAction {
	p := c.requests[request]
	c.drop(request)
	if p == nil || p.stage != submitted {
		return nil
	}
	return []ClientAction{SendReport{Report{key: p.begin.key, grant: p.grant, state: Unknown}}}
}

func (c *Client) passed(now clock.Millis) []ClientAction {
	var out []ClientAction
	for _, request := range slices.Sorted(maps.Keys(c.requests)) {
		p := c.requests[request]
		switch {
		case p.stage == submitted || p.stage == refused:
		case now >= p.begin.deadline+askEvery:
			c.drop(request)
			out = append(out, Refuse{request, p.unconfirmed()})
		case now-p.asked < askEvery:
		case p.stage == withdrawing:
			p.asked = now
			out = append(out, SendWithdraw{p.withdraw()})
		default:
			p.asked = now
			out = append(out, SendAsk{p.ask()})
		}
	}
	return out
}
