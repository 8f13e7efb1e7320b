package dispatch

import (
	"github.com/cockroachdb/errors"

	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/version/text"
	"goldcrestshore/entry/request/caller"
	"goldcrestshore/entry/request/retry"
	"goldcrestshore/entry/request/route"
)

// routeRequest returns what the choice of upstream depends on. Prefixes are those
// of the body, which begins alike when the prompts do.
func routeRequest(r *caller.Request) route.Request {
	var prefixes []uint64
	if r.Service().Kind() == text.Model {
		prefixes = route.Prefixes(r.Call().Body())
	}
	tokens := int64(r.Size().PromptTokens()) + int64(r.Size().MaxTokens())
	return route.NewRequest(r.Service().Name(), r.Size().PromptTokens(), tokens*r.Service().MemoryPerTokenBytes(), prefixes)
}

// noteEnd tells the route table how a sent request ended.
func (d *Dispatcher) noteEnd(id frame.ID, err error) {
	var failed *attemptError
	if errors.As(err, &failed) && failed.failure == retry.RefusedNotRun {
		d.Pool.Note(route.NewRefused(id))
		return
	}
	d.Pool.Note(route.NewDone(id, err == nil))
}

// noted is an answer that tells when its first byte arrives.
type noted struct {
	answer
	first func()
}

// Write passes p on.
func (n *noted) Write(p []byte) error {
	if n.first != nil {
		n.first()
		n.first = nil
	}
	return n.answer.Write(p)
}
