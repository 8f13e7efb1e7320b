// Package duty decides which duties a process holds. A duty is a task that one
// process at a time does for the fleet: the owner of a claim shard or of a rank
// group. Rendezvous hashing over the lagging instance list names a candidate;
// only a conditional update of the duty's record gives authority. The package
// has no I/O and no clock of its own.
package duty

import (
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"

	"goldcrestshore/core/connection/platform"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/rendezvous"
	"goldcrestshore/core/version/mark"
)

const (
	// ReadInterval is the time between reads of a record by its candidate and
	// its holder.
	ReadInterval = 2 * clock.Second
	// Patience is how long a candidate that lost a duty leaves it to the taker.
	// Two candidates exist while their lists differ; without it they would take
	// the duty from each other in turn.
	Patience = 10 * clock.Second
)

// ErrRecord reports a record that ParseRecord cannot read.
var ErrRecord = errors.New("duty record is malformed")

// Record is the content of a duty's object. The object's version, which rises
// with each write, is the fencing token of the holder that wrote it.
type Record struct {
	holder      string
	incarnation uint64
}

// NewRecord returns the record of a holder; an empty name means that the duty
// was released.
func NewRecord(holder string, incarnation uint64) Record { return Record{holder, incarnation} }

// Holder returns the instance that holds the duty, empty when released.
func (r Record) Holder() string { return r.holder }

// Incarnation returns the incarnation of the holder.
func (r Record) Incarnation() uint64 { return r.incarnation }

type recordBody struct {
	Holder      string `json:"holder"`
	Incarnation uint64 `json:"incarnation"`
}

// Encode returns the value of the object.
func (r Record) Encode() []byte {
	raw, err := json.Marshal(recordBody{r.holder, r.incarnation})
	if err != nil {
		panic(err) // a string and a number always have an encoding
	}
	return raw
}

// ParseRecord reads what Encode wrote.
func ParseRecord(raw []byte) (Record, error) {
	var b recordBody
	if err := json.Unmarshal(raw, &b); err != nil {
		return Record{}, errors.Wrapf(ErrRecord, "%v", err)
	}
	return Record{b.Holder, b.Incarnation}, nil
}

// Eligible returns the names of the instances that may take duties: live, and
// neither out themselves nor in a data centre that is out.
func Eligible(list []platform.Instance, out mark.Set, suits func(platform.Instance) bool) []string {
	var names []string
	for _, i := range list {
		if i.State() != platform.Live || out.InstanceDrained(i.Name()) || out.DataCentreDrained(i.DataCentre()) {
			continue
		}
		if suits(i) {
			names = append(names, i.Name())
		}
	}
	return names
}

// Event is what a process learns about duties.
type Event interface {
	event()
}

// Listed is a new list of eligible instances for all duties of a Keeper.
type Listed struct {
	At       clock.Millis
	Eligible []string
}

// Read is a record as the platform has it; version 0 means none.
type Read struct {
	At      clock.Millis
	Duty    string
	Version uint64
	Record  Record
}

// Written is a successful conditional update of the process's own.
type Written struct {
	At      clock.Millis
	Duty    string
	Version uint64
	Record  Record
}

// Unsettled is a conditional update that failed or whose answer was lost. The
// record must be read back.
type Unsettled struct {
	At   clock.Millis
	Duty string
}

// Stopping tells that the process shuts down or was taken out of service.
type Stopping struct {
	At clock.Millis
}

// Tick lets time pass.
type Tick struct {
	At clock.Millis
}

func (Listed) event()    {}
func (Read) event()      {}
func (Written) event()   {}
func (Unsettled) event() {}
func (Stopping) event()  {}
func (Tick) event()      {}

// Action is what the process does in response.
type Action interface {
	action()
}

// Look reads the record of a duty.
type Look struct {
	Duty string
}

// Write replaces a record if it still has the version; version 0 creates it.
type Write struct {
	Duty    string
	Version uint64
	Record  Record
}

// Hold tells that the process holds a duty under a fencing token.
type Hold struct {
	Duty  string
	Fence uint64
}

// Drop tells that the process no longer holds a duty.
type Drop struct {
	Duty string
}

func (Look) action()  {}
func (Write) action() {}
func (Hold) action()  {}
func (Drop) action()  {}

// Keeper decides for one process over a fixed set of duties.
type Keeper struct {
	self     string
	own      Record
	duties   []*state
	eligible []string
	stopping bool
}

// state is what a Keeper knows of one duty.
type state struct {
	name      string
	candidate bool
	known     bool // the record was read at least once and is not unsettled
	version   uint64
	record    Record
	fence     uint64 // 0 when not held
	busy      bool   // a read or write is under way
	nextRead  clock.Millis
	notBefore clock.Millis
}

// NewKeeper returns the keeper of an instance for the named duties.
func NewKeeper(instance string, incarnation uint64, duties []string) *Keeper {
	k := &Keeper{self: instance, own: NewRecord(instance, incarnation)}
	for _, name := range duties {
		k.duties = append(k.duties, &state{name: name})
	}
	return k
}

// Held returns the fencing token under which a duty is held, 0 when it is not.
// It is a belief: only a successful conditional update proves it.
func (k *Keeper) Held(duty string) uint64 {
	if s := k.find(duty); s != nil {
		return s.fence
	}
	return 0
}

func (k *Keeper) find(duty string) *state {
	at := slices.IndexFunc(k.duties, func(s *state) bool { return s.name == duty })
	if at < 0 {
		return nil
	}
	return k.duties[at]
}

// Step takes one event and returns the actions to carry out in order.
func (k *Keeper) Step(e Event) []Action {
	switch e := e.(type) {
	case Listed:
		k.list(e.Eligible)
		return k.review(e.At)
	case Read:
		return k.with(e.Duty, e.At, func(s *state) []Action { return k.learn(s, e.At, e.Version, e.Record) })
	case Written:
		return k.with(e.Duty, e.At, func(s *state) []Action { return k.learn(s, e.At, e.Version, e.Record) })
	case Unsettled:
		return k.with(e.Duty, e.At, func(s *state) []Action {
			s.known, s.busy, s.nextRead = false, false, e.At
			return nil
		})
	case Stopping:
		k.stopping = true
		return k.review(e.At)
	case Tick:
		return k.review(e.At)
	}
	return nil
}

func (k *Keeper) list(eligible []string) {
	k.eligible = eligible
	for _, s := range k.duties {
		top := rendezvous.Top(s.name, eligible, 1)
		s.candidate = len(top) == 1 && top[0] == k.self
	}
}

// with applies change to one duty and then reviews it.
func (k *Keeper) with(duty string, at clock.Millis, change func(*state) []Action) []Action {
	s := k.find(duty)
	if s == nil {
		return nil
	}
	return append(change(s), k.reviewOne(s, at)...)
}

// learn takes a record that is at least as new as the one known. An older one
// comes from a lagging read and changes nothing.
func (k *Keeper) learn(s *state, at clock.Millis, version uint64, r Record) []Action {
	s.busy, s.nextRead = false, at+ReadInterval
	if version < s.version {
		return nil
	}
	lost := s.fence != 0 && r != k.own
	s.known, s.version, s.record = true, version, r
	switch {
	case r == k.own && s.fence != version:
		s.fence = version
		return []Action{Hold{s.name, version}}
	case lost:
		s.fence, s.notBefore = 0, at+Patience
		return []Action{Drop{s.name}}
	}
	return nil
}

func (k *Keeper) review(at clock.Millis) []Action {
	var actions []Action
	for _, s := range k.duties {
		actions = append(actions, k.reviewOne(s, at)...)
	}
	return actions
}

// reviewOne decides on the next call for one duty.
func (k *Keeper) reviewOne(s *state, at clock.Millis) []Action {
	if s.busy {
		return nil
	}
	if k.stopping {
		return k.release(s)
	}
	if !s.candidate && s.fence == 0 {
		return nil
	}
	if !s.known || at >= s.nextRead {
		s.busy = true
		return []Action{Look{s.name}}
	}
	if s.fence == 0 && k.mayTake(s, at) {
		s.busy = true
		return []Action{Write{s.name, s.version, k.own}}
	}
	return nil
}

// mayTake tells whether a candidate takes the duty now. It waits only after it
// has lost the duty: whoever took it was alive then, whatever the list says.
func (k *Keeper) mayTake(s *state, at clock.Millis) bool {
	if !s.candidate {
		return false
	}
	free := s.record.holder == "" || s.record.holder == k.self
	return free || at >= s.notBefore
}

// release gives a held duty back, so that its successor need not wait for the
// list to show that this process is gone.
func (k *Keeper) release(s *state) []Action {
	if s.fence == 0 {
		return nil
	}
	s.fence, s.busy = 0, true
	return []Action{Drop{s.name}, Write{s.name, s.version, Record{}}}
}
