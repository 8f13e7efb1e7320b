package balance

// Outcome is what an attempt says about its upstream. What a request alone can cause, by a header or a body
// that its caller has chosen, says nothing about the upstream until the request of another customer agrees:
// one customer must not take upstreams from the others.
//
//	outcome      how it shows                             may be caused by           conclusion
//	Succeeded    a whole response, not 5xx                -                          sound
//	Abandoned    the caller left, or the entry itself     caller, entry              none
//	             gave the response up
//	Failed       no connection, nothing was sent, bytes   upstream, path             less preferred, skipped by all
//	             that are no response to the request,
//	             or agents say that it is stalled
//	Unclear      reset, silence, timeout, 5xx, a          request, upstream, path    less preferred; skipped by this
//	             response with an encoding                                           customer, by all if another agrees
//	Refused      not run: full, too late, too large       request, upstream, group   as Unclear, and the group may
//	                                                                                 be inactive if another agrees
//	Misdirected  421                                      address                    not at its address
//	Unmet        421 to a request that states what it     request                    none
//	             expects of the upstream
//
// What an upstream states itself (that it leaves, a pause, a rate limit) and what agents report does not go
// through outcomes and needs no agreement.
type Outcome int

// Outcomes of attempts.
const (
	Succeeded Outcome = iota
	Abandoned
	Failed
	Unclear
	Refused
	Misdirected
	Unmet
)

// IsFailure reports whether the attempt failed after it was made, so that its request may have run.
func (o Outcome) IsFailure() bool { return o == Failed || o == Unclear }
