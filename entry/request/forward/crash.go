package forward

import (
	"context"
	"strings"

	"github.com/cockroachdb/errors"

	"goldcrestshore/core/process/event"
	"goldcrestshore/core/request/fingerprint"
	"goldcrestshore/entry/connection/upstream"
	"goldcrestshore/entry/request/quarantine"
	"goldcrestshore/entry/version/config"
)

const (
	// maxPromptParts bounds the parts of a prompt that are fingerprinted.
	maxPromptParts = 16
	// soundEvents is the number of writes of events after which a request has shown that
	// it does not crash the upstream that begins to respond to it.
	soundEvents = 2
)

// quarantineRequest returns the fingerprints of a customer's request. Its own ones are that of all of
// it and, if it has a body, that without its query. Other requests may share those without its query
// or its prompt, and those of the parts of its prompt but the last.
func quarantineRequest(service string, customer *config.Customer, r *upstream.Request, promptParts string) quarantine.Request {
	name := ""
	if customer != nil {
		name = customer.Name
	}
	body := fingerprint.OfParts(r.Body).String()
	of := func(target, prompt string) quarantine.Fingerprint {
		return fingerprint.OfValues(service, r.Method, target, name, body, prompt)
	}
	own := []quarantine.Fingerprint{of(r.Target, promptParts)}
	var shared []quarantine.Fingerprint
	path, _, hasQuery := strings.Cut(r.Target, "?")
	switch {
	case hasQuery && r.HasBody():
		own = append(own, of(path, promptParts))
	case hasQuery:
		shared = append(shared, of(path, promptParts))
	}
	if r.HasBody() && promptParts != "" {
		shared = append(shared, of(path, ""))
	}
	parts := strings.Split(promptParts, ",")
	for _, part := range parts[:min(len(parts)-1, maxPromptParts)] {
		id, _, _ := strings.Cut(part, ":")
		shared = append(shared, fingerprint.OfValues(service, strings.TrimSpace(id)))
	}
	return quarantine.NewRequest(own, shared...)
}

// recordSound records that the upstream has not crashed although it has begun to respond to
// the request with success. A failure is no sign of that: it may not have begun.
func (c *call) recordSound() {
	if c.server.Quarantine != nil {
		c.server.Quarantine.Succeeded(c.request.quarantine)
	}
}

// detectCrash logs and records a request that may have crashed the upstream at address.
// That is one whose response broke off before it had shown to be sound, while the upstream
// refuses connections and was not about to leave. err is the error of the exchange, nil if
// a response has begun.
func (c *call) detectCrash(ctx context.Context, address string, err error) {
	s, r := c.server, c.request
	brokeOff := c.interruption.framing != "" || (errors.Is(err, upstream.ErrBroken) && !errors.Is(err, upstream.ErrStalled))
	if !brokeOff || c.attemptEvents >= soundEvents || !upstream.RefusesConnections(ctx, address) {
		return
	}
	s.Log.Emit(event.RequestSuspect, event.Fields{"request": r.id, "upstream": c.upstream, "events": c.attemptEvents, "fingerprints": r.quarantine.Fingerprints()})
	registered := s.State.View().Upstreams()[c.upstream]
	if s.Quarantine != nil && registered != nil && !registered.Draining {
		s.Quarantine.Crashed(c.upstream, registered.StartTime, r.quarantine)
	}
}
