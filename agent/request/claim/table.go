package claim

import (
	"goldcrestshore/core/request/stored"
)

import "goldcrestshore/core/process/clock"

// Table holds the claims of one incarnation of an agent. It is not safe for
// concurrent use. Call New.
type Table struct {
	entries     map[string]*entry
	order       []string // settled claims, oldest first
	forgotten   map[string]uint64
	answerBytes int
}

// New returns a table that has seen no claim.
func New() *Table {
	return &Table{entries: map[string]*entry{}, forgotten: map[string]uint64{}}
}

// Len returns the number of claims remembered.
func (t *Table) Len() int { return len(t.entries) }

// Handle applies an event that happened at now. Submitted and Asked have an
// action, the other events return nil.
func (t *Table) Handle(now clock.Millis, e Event) Action {
	t.forget(now)
	switch e := e.(type) {
	case Submitted:
		return t.submitted(now, e.key)
	case Rejected:
		t.settle(now, e.key, NotRun, stored.Answer{})
	case Finished:
		t.settle(now, e.key, Done, e.answer)
	case Failed:
		t.settle(now, e.key, Unknown, stored.Answer{})
	case Asked:
		return t.asked(now, e.key)
	}
	return nil
}

func (t *Table) submitted(now clock.Millis, key string) Action {
	if x := t.entries[key]; x != nil {
		// The same frame again, or a frame that a query overtook.
		return Refuse{notRun: x.state == NotRun, superseded: x.asked}
	}
	p, ok := placeOf(key)
	if !ok {
		return Refuse{notRun: true}
	}
	if p.position <= t.forgotten[p.shard] {
		return Refuse{}
	}
	if len(t.entries) >= maxClaims && !t.forgetOldest() {
		t.add(now, key, &entry{state: NotRun})
		return Refuse{notRun: true}
	}
	t.entries[key] = &entry{state: Running}
	return Run{}
}

func (t *Table) asked(now clock.Millis, key string) Action {
	if x := t.entries[key]; x != nil {
		return Told{x.state, x.answer}
	}
	p, ok := placeOf(key)
	if !ok || p.position <= t.forgotten[p.shard] {
		return Told{state: Unknown}
	}
	t.add(now, key, &entry{state: NotRun, asked: true})
	return Told{state: Never}
}

// settle ends a running claim; a settled one stays as it is.
func (t *Table) settle(now clock.Millis, key string, s State, a stored.Answer) {
	x := t.entries[key]
	if x == nil || x.state != Running {
		return
	}
	x.state = s
	if s == Done && a.Size() <= stored.MaxBytes {
		x.answer = a
		t.answerBytes += a.Size()
	}
	t.add(now, key, x)
}

// add keeps a settled claim.
func (t *Table) add(now clock.Millis, key string, x *entry) {
	x.expires = now + keep
	t.entries[key] = x
	t.order = append(t.order, key)
	for t.answerBytes > maxAnswersBytes || len(t.entries) > maxClaims {
		if !t.forgetOldest() {
			return
		}
	}
}

func (t *Table) forget(now clock.Millis) {
	for len(t.order) > 0 && t.entries[t.order[0]].expires <= now {
		t.forgetOldest()
	}
}

// forgetOldest drops the oldest settled claim. From then on all claims of its
// shard up to its position are answered with Unknown and never run, except
// those still in the table.
func (t *Table) forgetOldest() bool {
	if len(t.order) == 0 {
		return false
	}
	key := t.order[0]
	t.order = t.order[1:]
	t.answerBytes -= t.entries[key].answer.Size()
	delete(t.entries, key)
	if p, ok := placeOf(key); ok {
		t.forgotten[p.shard] = max(t.forgotten[p.shard], p.position)
	}
	return true
}
