package customer

import (
	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/request/outcome"
)

// Action is something the entry has to do.
type Action interface{ action() }

// Dispatch routes a request now.
type Dispatch struct{ id frame.ID }

// ID returns the request.
func (d Dispatch) ID() frame.ID { return d.id }

// Refuse answers a request as not run.
type Refuse struct {
	id      frame.ID
	refusal *outcome.Refusal
}

// ID returns the request.
func (r Refuse) ID() frame.ID { return r.id }

// Refusal returns the reason; its outcome is always outcome.NotRun.
func (r Refuse) Refusal() *outcome.Refusal { return r.refusal }

func (Dispatch) action() {}
func (Refuse) action()   {}
