package peer

import (
	"github.com/cockroachdb/errors"

	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/process/event"
)

// LogFailure logs the event for an error that ended a connection to peer or
// prevented it.
func LogFailure(log *event.Log, err error, peer string) {
	log.Error(failureEvent(err), err, event.Fields{"peer": peer})
}

func failureEvent(err error) event.Event {
	switch {
	case errors.Is(err, ErrAuthentication):
		return event.PeerAuthenticationFailed
	case errors.Is(err, ErrUnresponsive):
		return event.PeerUnresponsive
	case errors.Is(err, frame.ErrVersion):
		return event.PeerUnknownVersion
	case errors.Is(err, frame.ErrMalformed), errors.Is(err, frame.ErrTooLarge):
		return event.PeerMalformed
	}
	return event.PeerLost
}
