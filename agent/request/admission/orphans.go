package admission

import "goldcrestshore/core/process/clock"

// orphanMaxAge bounds how long load reports can keep requests of an earlier
// agent process counted; callers' deadlines are shorter.
const orphanMaxAge = 2 * clock.Minute

// orphans are the requests that an earlier process of this agent admitted and
// that the upstream still runs. They are known only from load reports.
type orphans struct {
	initialized bool
	countedAt   clock.Millis
	inFlight    int
	tokens      int64
}

// report applies the part of a load report that is not this process's own work.
// Only the first report can add orphans, since this process admits all later
// requests.
func (o *orphans) report(now clock.Millis, inFlight int, tokens int64) {
	inFlight, tokens = max(inFlight, 0), max(tokens, 0)
	if !o.initialized {
		*o = orphans{initialized: true, countedAt: now, inFlight: inFlight, tokens: tokens}
		return
	}
	o.inFlight = min(o.inFlight, inFlight)
	o.tokens = min(o.tokens, tokens)
	if o.inFlight == 0 || now-o.countedAt > orphanMaxAge {
		o.inFlight, o.tokens = 0, 0
	}
}
