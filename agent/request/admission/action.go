package admission

import (
	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/request/outcome"
)

// Action is a result of Admission.Apply that the agent must carry out.
type Action interface{ action() }

// Admit sends a request to the upstream.
type Admit struct{ id frame.ID }

// ID returns the ID of the request.
func (a Admit) ID() frame.ID { return a.id }

// Refuse refuses a request that has not run.
type Refuse struct {
	id      frame.ID
	refusal *outcome.Refusal
}

// ID returns the ID of the request.
func (r Refuse) ID() frame.ID { return r.id }

// Refusal returns the reason; its outcome is always outcome.NotRun.
func (r Refuse) Refusal() *outcome.Refusal { return r.refusal }

// SendHeartbeat sends a heartbeat to every entry at once, because the limit or
// the readiness to accept work has changed.
type SendHeartbeat struct{}

func (Admit) action()         {}
func (Refuse) action()        {}
func (SendHeartbeat) action() {}
