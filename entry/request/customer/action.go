package customer

import (
	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/request/outcome"
)

// Action is an output of Queue.Apply that the entry must carry out.
type Action interface{ action() }

// Dispatch routes a request to an upstream now.
type Dispatch struct{ id frame.ID }

// ID returns the id of the request.
func (d Dispatch) ID() frame.ID { return d.id }

// Refuse refuses a request that has not run.
type Refuse struct {
	id      frame.ID
	refusal *outcome.Refusal
}

// ID returns the id of the request.
func (r Refuse) ID() frame.ID { return r.id }

// Refusal returns the refusal; its outcome is always outcome.NotRun.
func (r Refuse) Refusal() *outcome.Refusal { return r.refusal }

func (Dispatch) action() {}
func (Refuse) action()   {}
