package caller

import (
	"net/http"

	"goldcrestshore/core/process/burn"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/request/outcome"
)

// Recorder counts requests that met or missed an objective.
type Recorder interface {
	Count(service string, objective burn.Objective, good bool)
}

// callerErrors are the refusals that the caller is responsible for. They do not
// count towards the objectives of the service.
var callerErrors = map[outcome.Code]bool{
	outcome.BadRequest:    true,
	outcome.Unauthorized:  true,
	outcome.NoRoute:       true,
	outcome.CustomerLimit: true,
	outcome.TooLarge:      true,
	outcome.ClaimPending:  true,
	outcome.ClaimMismatch: true,
	outcome.Quarantined:   true,
}

// recordObjectives counts one request whose caller did not disconnect. err is
// nil for a complete response.
func (s *Server) recordObjectives(r *Request, resp *Response, startedAt clock.Millis, err error) {
	objective := r.Service().Objective()
	if s.Recorder == nil || objective.Percent() == 0 || (err != nil && callerErrors[outcome.As(err).Code()]) {
		return
	}
	name := r.Service().Name()
	complete := err == nil && resp.status() < http.StatusInternalServerError
	s.Recorder.Count(name, burn.Answered, complete)
	if !resp.Started() {
		return
	}
	s.Recorder.Count(name, burn.FirstToken, resp.firstByteAt-startedAt <= objective.FirstToken())
	if resp.head.eventStream && objective.BetweenTokens() > 0 {
		s.Recorder.Count(name, burn.BetweenTokens, resp.meanWriteInterval() <= objective.BetweenTokens())
	}
}
