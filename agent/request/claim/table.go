package claim

import (
	"goldcrestshore/core/request/stored"
)

import "goldcrestshore/core/process/clock"

// Table holds the idempotency records of one incarnation of an agent. Create it
// with New. It is not safe for concurrent use.
type Table struct {
	records       map[string]*record
	resolved      []string // keys of resolved records, oldest first
	evicted       map[string]uint64
	responseBytes int
}

// New returns an empty table.
func New() *Table {
	return &Table{records: map[string]*record{}, evicted: map[string]uint64{}}
}

// Len returns the number of records.
func (t *Table) Len() int { return len(t.records) }

// Handle applies an event that happened at now. It returns an action for
// Submitted and Queried and nil for other events.
func (t *Table) Handle(now clock.Millis, e Event) Action {
	t.evictExpired(now)
	switch e := e.(type) {
	case Submitted:
		return t.submitted(now, e.key)
	case Rejected:
		t.resolve(now, e.key, NotRun, stored.Response{})
	case Finished:
		t.resolve(now, e.key, Done, e.response)
	case Failed:
		t.resolve(now, e.key, Unknown, stored.Response{})
	case Queried:
		return t.queried(now, e.key)
	}
	return nil
}

func (t *Table) submitted(now clock.Millis, key string) Action {
	if x := t.records[key]; x != nil {
		// A duplicate frame, or a frame that a query overtook.
		return Refuse{notRun: x.state == NotRun, superseded: x.queried}
	}
	p, ok := parsePosition(key)
	if !ok {
		return Refuse{notRun: true}
	}
	if p.position <= t.evicted[p.shard] {
		return Refuse{}
	}
	if len(t.records) >= maxRecords && !t.evictOldest() {
		t.addResolved(now, key, &record{state: NotRun})
		return Refuse{notRun: true}
	}
	t.records[key] = &record{state: Running}
	return Run{}
}

func (t *Table) queried(now clock.Millis, key string) Action {
	if x := t.records[key]; x != nil {
		return StateReply{x.state, x.response}
	}
	p, ok := parsePosition(key)
	if !ok || p.position <= t.evicted[p.shard] {
		return StateReply{state: Unknown}
	}
	t.addResolved(now, key, &record{state: NotRun, queried: true})
	return StateReply{state: NeverSeen}
}

// resolve ends a running request; a resolved record stays as it is.
func (t *Table) resolve(now clock.Millis, key string, s State, resp stored.Response) {
	x := t.records[key]
	if x == nil || x.state != Running {
		return
	}
	x.state = s
	if s == Done && resp.Size() <= stored.MaxResponseBytes {
		x.response = resp
		t.responseBytes += resp.Size()
	}
	t.addResolved(now, key, x)
}

// addResolved stores a resolved record and evicts older ones beyond the bounds.
func (t *Table) addResolved(now clock.Millis, key string, x *record) {
	x.expires = now + recordTTL
	t.records[key] = x
	t.resolved = append(t.resolved, key)
	for t.responseBytes > maxResponsesBytes || len(t.records) > maxRecords {
		if !t.evictOldest() {
			return
		}
	}
}

func (t *Table) evictExpired(now clock.Millis) {
	for len(t.resolved) > 0 && t.records[t.resolved[0]].expires <= now {
		t.evictOldest()
	}
}

// evictOldest removes the oldest resolved record and reports whether there was
// one. From then on, queries for any record of its shard up to its position
// receive the reply Unknown and submits are refused, except for records still in
// the table.
func (t *Table) evictOldest() bool {
	if len(t.resolved) == 0 {
		return false
	}
	key := t.resolved[0]
	t.resolved = t.resolved[1:]
	t.responseBytes -= t.records[key].response.Size()
	delete(t.records, key)
	if p, ok := parsePosition(key); ok {
		t.evicted[p.shard] = max(t.evicted[p.shard], p.position)
	}
	return true
}
