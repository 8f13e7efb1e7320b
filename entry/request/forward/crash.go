package forward

import (
	"context"
	"strings"

	"github.com/cockroachdb/errors"

	"goldcrestshore/core/process/event"
	"goldcrestshore/core/request/fingerprint"
	"goldcrestshore/entry/connection/upstream"
	"goldcrestshore/entry/version/config"
)

const (
	// maxPromptParts bounds the parts of a prompt that are fingerprinted.
	maxPromptParts = 16
	// soundEvents is the number of writes of events after which a request has shown that
	// it does not crash the upstream that begins to respond to it.
	soundEvents = 2
)

// fingerprints returns the fingerprints of a customer's request, of its body, and of the
// parts of its prompt but the last, as package quarantine expects them.
func fingerprints(service string, customer *config.Customer, r *upstream.Request, promptParts string) []fingerprint.Fingerprint {
	name := ""
	if customer != nil {
		name = customer.Name
	}
	parts := strings.Split(promptParts, ",")
	parts = parts[:min(len(parts)-1, maxPromptParts)]
	out := []fingerprint.Fingerprint{fingerprint.OfValues(service, r.Method, r.Target, name, string(r.Body), promptParts)}
	if len(r.Body) > 0 && promptParts != "" {
		out = append(out, fingerprint.OfValues(service, r.Method, r.Target, name, string(r.Body)))
	}
	for _, part := range parts {
		id, _, _ := strings.Cut(part, ":")
		out = append(out, fingerprint.OfValues(service, strings.TrimSpace(id)))
	}
	return out
}

// recordSound records that the upstream has not crashed although it has begun to respond to
// the request with success. A failure is no sign of that: it may not have begun.
func (c *call) recordSound() {
	if c.server.Quarantine != nil {
		c.server.Quarantine.Succeeded(c.request.fingerprints)
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
	s.Log.Emit(event.RequestSuspect, event.Fields{"request": r.id, "upstream": c.upstream, "events": c.attemptEvents, "fingerprints": r.fingerprints})
	registered := s.State.View().Upstreams()[c.upstream]
	if s.Quarantine != nil && registered != nil && !registered.Draining {
		s.Quarantine.Crashed(c.upstream, registered.StartTime, r.fingerprints)
	}
}
