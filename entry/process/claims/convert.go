package claims

import (
	"slices"

	"github.com/cockroachdb/errors"

	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/request/outcome"
	"goldcrestshore/core/request/stored"
	"goldcrestshore/entry/request/claim"
)

// errInvalidFrame reports a frame of an unexpected type or with malformed
// content.
var errInvalidFrame = errors.New("invalid claim frame")

// eventFrame returns the frame that carries e to an owner in another entry, and
// the ID of its attempt, which is zero for a Report. It encodes a deadline as the
// remaining time, because the clocks of two entries differ.
func eventFrame(e claim.Event, now clock.Millis) (claim.AttemptID, frame.Message) {
	switch e := e.(type) {
	case claim.Acquire:
		k, u := e.Key(), e.Upstream()
		return e.AttemptID(), frame.NewClaimAcquire(k[:], e.Body(), u.Name(), u.Incarnation(), int64(e.Deadline()-now))
	case claim.Withdraw:
		k := e.Key()
		grant := ""
		if e.Grant() != (claim.Grant{}) {
			grant = e.Grant().String()
		}
		return e.AttemptID(), frame.NewClaimWithdraw(k[:], grant, string(e.Code()), e.RetryAfterMs())
	case claim.Report:
		k, response := e.Key(), e.Response()
		return claim.AttemptID{}, frame.NewClaimReport(k[:], e.Grant().String(), e.State().String(), response.Status(), response.Header(), response.Body())
	}
	return claim.AttemptID{}, &frame.Cancel{}
}

// parseOwnerEvent returns the key and the event that a frame from another entry
// carries.
func parseOwnerEvent(id frame.ID, m frame.Message, now clock.Millis) (claim.Key, claim.Event, error) {
	attempt := claim.NewAttemptID(id.Incarnation(), id.Sequence())
	switch m := m.(type) {
	case *frame.ClaimAcquire:
		k, err := parseKey(m.Key())
		u := claim.NewUpstream(m.Upstream(), m.Incarnation())
		return k, claim.NewAcquire(attempt, k, m.Body(), u, now+clock.Millis(m.RemainingMs())), err
	case *frame.ClaimWithdraw:
		k, err := parseKey(m.Key())
		if err != nil {
			return k, nil, err
		}
		g, err := parseOptionalGrant(m.Grant())
		return k, claim.NewWithdraw(attempt, k, g, outcome.Code(m.Code()), m.RetryAfterMs()), err
	case *frame.ClaimReport:
		k, err := parseKey(m.Key())
		if err != nil {
			return k, nil, err
		}
		g, err := claim.ParseGrant(m.Grant())
		response := stored.New(m.Status(), m.Header(), slices.Clone(m.Body()))
		return k, claim.NewReport(k, g, claim.ParseState(m.State()), response), err
	}
	return claim.Key{}, nil, errInvalidFrame
}

func parseKey(b []byte) (claim.Key, error) {
	if len(b) != len(claim.Key{}) {
		return claim.Key{}, errors.Wrapf(errInvalidFrame, "key has %d bytes", len(b))
	}
	return claim.Key(b), nil
}

// parseOptionalGrant parses a grant. It returns the zero Grant for an empty
// string.
func parseOptionalGrant(s string) (claim.Grant, error) {
	if s == "" {
		return claim.Grant{}, nil
	}
	return claim.ParseGrant(s)
}

// replyFrame returns the frame that carries an owner's reply.
func replyFrame(reply claim.OwnerReply) frame.Message {
	k := reply.Key()
	switch r := reply.Reply().(type) {
	case claim.Granted:
		return frame.NewClaimGrant(k[:], r.Grant().String(), r.Upstream().Name(), r.Upstream().Incarnation())
	case claim.Stored:
		return frame.NewClaimResponse(k[:], r.Response().Status(), r.Response().Header(), r.Response().Body())
	case claim.Refused:
		refusal := r.Refusal()
		return frame.NewClaimRefusal(k[:], string(refusal.Code()), refusal.Outcome() == outcome.NotRun, refusal.RetryAfterMs())
	}
	return &frame.Cancel{}
}

// parseOwnerReply returns the owner's reply that a frame carries.
func parseOwnerReply(id frame.ID, m *frame.ClaimReply) (claim.OwnerReply, error) {
	attempt := claim.NewAttemptID(id.Incarnation(), id.Sequence())
	k, err := parseKey(m.Key())
	if err != nil {
		return claim.OwnerReply{}, err
	}
	switch {
	case m.Grant() != "":
		g, err := claim.ParseGrant(m.Grant())
		return claim.NewOwnerReply(attempt, k, claim.NewGranted(g, claim.NewUpstream(m.Upstream(), m.Incarnation()))), err
	case m.Status() != 0:
		response := stored.New(m.Status(), m.Header(), slices.Clone(m.Body()))
		return claim.NewOwnerReply(attempt, k, claim.NewStored(response)), nil
	case m.Code() != "":
		o := outcome.Unknown
		if m.NotRun() {
			o = outcome.NotRun
		}
		return claim.NewOwnerReply(attempt, k, claim.NewRefused(outcome.Refuse(outcome.Code(m.Code()), o, m.RetryAfterMs()))), nil
	}
	return claim.OwnerReply{}, errInvalidFrame
}
