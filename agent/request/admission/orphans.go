package admission

import "goldcrestshore/core/process/clock"

// orphanMaxAge bounds how long reports can keep work of an earlier agent process
// on the books; callers' deadlines are shorter.
const orphanMaxAge = 2 * clock.Minute

// orphans is work that an earlier process of this agent admitted and that the
// upstream still runs. It is known only from reports.
type orphans struct {
	initialized bool
	countedAt   clock.Millis
	inFlight    int
	tokens      int64
}

// report takes the part of a report that is not this process's own work. Only
// the first report can add orphans, since all later work enters through here.
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
