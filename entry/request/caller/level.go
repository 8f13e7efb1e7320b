package caller

import (
	"net/http"

	"goldcrestshore/core/process/burn"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/request/outcome"
)

// Recorder counts requests that kept or missed an objective.
type Recorder interface {
	Count(service string, objective burn.Objective, good bool)
}

// customersDoing are refusals that are the caller's own doing. They count
// neither for nor against the service.
var customersDoing = map[outcome.Code]bool{
	outcome.BadRequest:    true,
	outcome.Unauthorized:  true,
	outcome.NoRoute:       true,
	outcome.CustomerLimit: true,
	outcome.TooLarge:      true,
	outcome.ClaimPending:  true,
	outcome.ClaimMismatch: true,
	outcome.Quarantined:   true,
}

// record counts one request whose caller did not leave; err is nil for a whole
// answer.
func (s *Server) record(r *Request, a *Answer, began clock.Millis, err error) {
	objective := r.Service().Objective()
	if s.Recorder == nil || objective.Percent() == 0 || (err != nil && customersDoing[outcome.As(err).Code()]) {
		return
	}
	name := r.Service().Name()
	whole := err == nil && a.status() < http.StatusInternalServerError
	s.Recorder.Count(name, burn.Answered, whole)
	if !a.Started() {
		return
	}
	s.Recorder.Count(name, burn.FirstToken, a.firstAt-began <= objective.FirstToken())
	if a.head.events && objective.BetweenTokens() > 0 {
		s.Recorder.Count(name, burn.BetweenTokens, a.meanGap() <= objective.BetweenTokens())
	}
}
