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

// errFrame reports a frame that no owner or client can use.
var errFrame = errors.New("unusable claim frame")

// eventFrame returns the frame that carries e to the owner in another entry. A
// deadline travels as the remaining time, since clocks differ.
func eventFrame(e claim.Event, now clock.Millis) (claim.AttemptID, frame.Message) {
	switch e := e.(type) {
	case claim.Acquire:
		k, u := e.Key(), e.Upstream()
		return e.AttemptID(), frame.NewClaimAsk(k[:], e.Body(), u.Name(), u.Incarnation(), int64(e.Deadline()-now))
	case claim.Withdraw:
		k := e.Key()
		grant := ""
		if e.Grant() != (claim.Grant{}) {
			grant = e.Grant().String()
		}
		return e.AttemptID(), frame.NewClaimWithdraw(k[:], grant, string(e.Code()), e.RetryAfterMs())
	case claim.Report:
		k, a := e.Key(), e.Answer()
		return claim.AttemptID{}, frame.NewClaimReport(k[:], e.Grant().String(), e.State().String(), a.Status(), a.Header(), a.Body())
	}
	return claim.AttemptID{}, &frame.Cancel{}
}

// ownerEvent returns the event that a frame of another entry carries.
func ownerEvent(id frame.ID, m frame.Message, now clock.Millis) (claim.Key, claim.Event, error) {
	ref := claim.NewAttemptID(id.Incarnation(), id.Sequence())
	switch m := m.(type) {
	case *frame.ClaimAsk:
		k, err := keyOf(m.Key())
		u := claim.NewUpstream(m.Upstream(), m.Incarnation())
		return k, claim.NewAcquire(ref, k, m.Body(), u, now+clock.Millis(m.RemainingMs())), err
	case *frame.ClaimWithdraw:
		k, err := keyOf(m.Key())
		if err != nil {
			return k, nil, err
		}
		g, err := grantOf(m.Grant())
		return k, claim.NewWithdraw(ref, k, g, outcome.Code(m.Code()), m.RetryAfterMs()), err
	case *frame.ClaimReport:
		k, err := keyOf(m.Key())
		if err != nil {
			return k, nil, err
		}
		g, err := claim.ParseGrant(m.Grant())
		a := stored.New(m.Status(), m.Header(), slices.Clone(m.Body()))
		return k, claim.NewReport(k, g, claim.ParseState(m.State()), a), err
	}
	return claim.Key{}, nil, errFrame
}

func keyOf(b []byte) (claim.Key, error) {
	if len(b) != len(claim.Key{}) {
		return claim.Key{}, errors.Wrapf(errFrame, "key of %d bytes", len(b))
	}
	return claim.Key(b), nil
}

// grantOf reads a grant that may be absent.
func grantOf(s string) (claim.Grant, error) {
	if s == "" {
		return claim.Grant{}, nil
	}
	return claim.ParseGrant(s)
}

// replyFrame returns the frame that carries an owner's reply.
func replyFrame(a claim.OwnerReply) frame.Message {
	k := a.Key()
	switch r := a.Reply().(type) {
	case claim.Granted:
		return frame.NewClaimGrant(k[:], r.Grant().String(), r.Upstream().Name(), r.Upstream().Incarnation())
	case claim.Stored:
		return frame.NewClaimAnswer(k[:], r.Answer().Status(), r.Answer().Header(), r.Answer().Body())
	case claim.Refused:
		x := r.Refusal()
		return frame.NewClaimRefusal(k[:], string(x.Code()), x.Outcome() == outcome.NotRun, x.RetryAfterMs())
	}
	return &frame.Cancel{}
}

// answered returns the reply that a frame carries.
func answered(id frame.ID, m *frame.ClaimReply) (claim.OwnerReply, error) {
	ref := claim.NewAttemptID(id.Incarnation(), id.Sequence())
	k, err := keyOf(m.Key())
	if err != nil {
		return claim.OwnerReply{}, err
	}
	switch {
	case m.Grant() != "":
		g, err := claim.ParseGrant(m.Grant())
		return claim.NewOwnerReply(ref, k, claim.NewGranted(g, claim.NewUpstream(m.Upstream(), m.Incarnation()))), err
	case m.Status() != 0:
		a := stored.New(m.Status(), m.Header(), slices.Clone(m.Body()))
		return claim.NewOwnerReply(ref, k, claim.NewStored(a)), nil
	case m.Code() != "":
		o := outcome.Unknown
		if m.NotRun() {
			o = outcome.NotRun
		}
		return claim.NewOwnerReply(ref, k, claim.NewRefused(outcome.Refuse(outcome.Code(m.Code()), o, m.RetryAfterMs()))), nil
	}
	return claim.OwnerReply{}, errFrame
}
