package admission

import "goldcrestshore/core/process/clock"

// orphanLife bounds how long reports can keep work of an earlier agent process
// on the books; callers' deadlines are shorter.
const orphanLife = 2 * clock.Minute

// orphans is work that an earlier process of this agent admitted and that the
// upstream still runs. It is known only from reports.
type orphans struct {
	counted bool
	since   clock.Millis
	held    int
	tokens  int64
}

// report takes the part of a report that is not this process's own work. Only
// the first report can add orphans, since all later work enters through here.
func (o *orphans) report(now clock.Millis, held int, tokens int64) {
	held, tokens = max(held, 0), max(tokens, 0)
	if !o.counted {
		*o = orphans{counted: true, since: now, held: held, tokens: tokens}
		return
	}
	o.held = min(o.held, held)
	o.tokens = min(o.tokens, tokens)
	if o.held == 0 || now-o.since > orphanLife {
		o.held, o.tokens = 0, 0
	}
}
