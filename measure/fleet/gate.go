package fleet

import (
	"goldcrestshore/agent/request/admission"
	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/request/outcome"
	"goldcrestshore/measure/engine"
)

// Verdict is the decision of a gate on a request; an empty code admits it.
type Verdict struct {
	ID   frame.ID
	Code outcome.Code
}

// Gate is the admission control of an agent.
type Gate interface {
	Submit(now clock.Millis, id frame.ID, options frame.RequestOptions, size frame.Size) []Verdict
	FirstToken(now clock.Millis, id frame.ID) []Verdict
	Complete(now clock.Millis, id frame.ID, ok bool) []Verdict
	Report(now clock.Millis, load engine.Load) []Verdict
	Crash(now clock.Millis) []Verdict
	DrainChanged(now clock.Millis, drained bool) []Verdict
	Tick(now clock.Millis) []Verdict
	Load(now clock.Millis) frame.Load
	// TakeHeartbeatDue reports whether heartbeats must be sent immediately because
	// the load changed, and resets this state.
	TakeHeartbeatDue() bool
}

// admissionGate is the admission control of the product.
type admissionGate struct {
	admission    *admission.Admission
	heartbeatDue bool
}

// NewAdmissionGate returns the admission control of the product, configured and
// waiting for the first report of its engine.
func NewAdmissionGate(now clock.Millis, limits admission.Limits) Gate {
	g := &admissionGate{admission: admission.New(Service, now)}
	g.apply(now, admission.NewConfigConfirmed(limits))
	return g
}

func (g *admissionGate) apply(now clock.Millis, e admission.Event) []Verdict {
	var verdicts []Verdict
	for _, action := range g.admission.Apply(now, e) {
		switch action := action.(type) {
		case admission.Admit:
			verdicts = append(verdicts, Verdict{ID: action.ID()})
		case admission.Refuse:
			verdicts = append(verdicts, Verdict{action.ID(), action.Refusal().Code()})
		case admission.SendHeartbeat:
			g.heartbeatDue = true
		}
	}
	return verdicts
}

func (g *admissionGate) Submit(now clock.Millis, id frame.ID, options frame.RequestOptions, size frame.Size) []Verdict {
	return g.apply(now, admission.NewSubmit(id, options, size))
}

func (g *admissionGate) FirstToken(now clock.Millis, id frame.ID) []Verdict {
	return g.apply(now, admission.NewFirstToken(id))
}

func (g *admissionGate) Complete(now clock.Millis, id frame.ID, ok bool) []Verdict {
	return g.apply(now, admission.NewComplete(id, ok))
}

func (g *admissionGate) Report(now clock.Millis, l engine.Load) []Verdict {
	return g.apply(now, admission.NewEngineReport(l.InFlight, l.InFlightTokens, l.Cold, l.Incarnation))
}

func (g *admissionGate) Crash(now clock.Millis) []Verdict {
	return g.apply(now, admission.UpstreamCrash{})
}

func (g *admissionGate) DrainChanged(now clock.Millis, drained bool) []Verdict {
	return g.apply(now, admission.NewDrained(drained))
}

func (g *admissionGate) Tick(now clock.Millis) []Verdict { return g.apply(now, admission.Tick{}) }

func (g *admissionGate) Load(now clock.Millis) frame.Load { return g.admission.Load(now) }

func (g *admissionGate) TakeHeartbeatDue() bool {
	heartbeatDue := g.heartbeatDue
	g.heartbeatDue = false
	return heartbeatDue
}
