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
	// TakeoverDelay is how long a candidate that lost a duty leaves it to the taker.
	// Two candidates exist while their lists differ; without it they would take
	// the duty from each other in turn.
	TakeoverDelay = 10 * clock.Second
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

type recordJSON struct {
	Holder      string `json:"holder"`
	Incarnation uint64 `json:"incarnation"`
}

// Encode returns the value of the object.
func (r Record) Encode() []byte {
	raw, err := json.Marshal(recordJSON{r.holder, r.incarnation})
	if err != nil {
		panic(err) // a string and a number always have an encoding
	}
	return raw
}

// ParseRecord reads what Encode wrote.
func ParseRecord(raw []byte) (Record, error) {
	var decoded recordJSON
	if err := json.Unmarshal(raw, &decoded); err != nil {
		return Record{}, errors.Wrapf(ErrRecord, "%v", err)
	}
	return Record{decoded.Holder, decoded.Incarnation}, nil
}

// Eligible returns the names of the instances that may take duties: live, and
// neither out themselves nor in a data centre that is out.
func Eligible(list []platform.Instance, drained mark.Set, matches func(platform.Instance) bool) []string {
	var names []string
	for _, i := range list {
		if i.State() != platform.Live || drained.InstanceDrained(i.Name()) || drained.DataCentreDrained(i.DataCentre()) {
			continue
		}
		if matches(i) {
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

// ReadCompleted is a record as the platform has it; version 0 means none.
type ReadCompleted struct {
	At      clock.Millis
	Duty    string
	Version uint64
	Record  Record
}

// WriteSucceeded is a successful conditional update of the process's own.
type WriteSucceeded struct {
	At      clock.Millis
	Duty    string
	Version uint64
	Record  Record
}

// WriteUnresolved is a conditional update that failed or whose answer was lost. The
// record must be read back.
type WriteUnresolved struct {
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

func (Listed) event()          {}
func (ReadCompleted) event()   {}
func (WriteSucceeded) event()  {}
func (WriteUnresolved) event() {}
func (Stopping) event()        {}
func (Tick) event()            {}

// Action is what the process does in response.
type Action interface {
	action()
}

// ReadRecord reads the record of a duty.
type ReadRecord struct {
	Duty string
}

// WriteRecord replaces a record if it still has the version; version 0 creates it.
type WriteRecord struct {
	Duty    string
	Version uint64
	Record  Record
}

// Hold tells that the process holds a duty under a fencing token.
type Hold struct {
	Duty         string
	FencingToken uint64
}

// Drop tells that the process no longer holds a duty.
type Drop struct {
	Duty string
}

func (ReadRecord) action()  {}
func (WriteRecord) action() {}
func (Hold) action()        {}
func (Drop) action()        {}

// Keeper decides for one process over a fixed set of duties.
type Keeper struct {
	ownName   string
	ownRecord Record
	duties    []*dutyState
	eligible  []string
	stopping  bool
}

// dutyState is what a Keeper knows of one duty.
type dutyState struct {
	name             string
	candidate        bool
	recordCurrent    bool // the record was read at least once and is not unsettled
	version          uint64
	record           Record
	fencingToken     uint64 // 0 when not held
	callPending      bool   // a read or write is under way
	nextReadAt       clock.Millis
	noTakeoverBefore clock.Millis
}

// NewKeeper returns the keeper of an instance for the named duties.
func NewKeeper(instance string, incarnation uint64, duties []string) *Keeper {
	k := &Keeper{ownName: instance, ownRecord: NewRecord(instance, incarnation)}
	for _, name := range duties {
		k.duties = append(k.duties, &dutyState{name: name})
	}
	return k
}

// FencingToken returns the fencing token under which a duty is held, 0 when it is not.
// It is a belief: only a successful conditional update proves it.
func (k *Keeper) FencingToken(duty string) uint64 {
	if s := k.find(duty); s != nil {
		return s.fencingToken
	}
	return 0
}

func (k *Keeper) find(duty string) *dutyState {
	i := slices.IndexFunc(k.duties, func(s *dutyState) bool { return s.name == duty })
	if i < 0 {
		return nil
	}
	return k.duties[i]
}

// Step takes one event and returns the actions to carry out in order.
func (k *Keeper) Step(e Event) []Action {
	switch e := e.(type) {
	case Listed:
		k.setEligible(e.Eligible)
		return k.decideAll(e.At)
	case ReadCompleted:
		return k.update(e.Duty, e.At, func(s *dutyState) []Action { return k.applyRecord(s, e.At, e.Version, e.Record) })
	case WriteSucceeded:
		return k.update(e.Duty, e.At, func(s *dutyState) []Action { return k.applyRecord(s, e.At, e.Version, e.Record) })
	case WriteUnresolved:
		return k.update(e.Duty, e.At, func(s *dutyState) []Action {
			s.recordCurrent, s.callPending, s.nextReadAt = false, false, e.At
			return nil
		})
	case Stopping:
		k.stopping = true
		return k.decideAll(e.At)
	case Tick:
		return k.decideAll(e.At)
	}
	return nil
}

func (k *Keeper) setEligible(eligible []string) {
	k.eligible = eligible
	for _, s := range k.duties {
		winners := rendezvous.Top(s.name, eligible, 1)
		s.candidate = len(winners) == 1 && winners[0] == k.ownName
	}
}

// update applies change to one duty and then reviews it.
func (k *Keeper) update(duty string, at clock.Millis, change func(*dutyState) []Action) []Action {
	s := k.find(duty)
	if s == nil {
		return nil
	}
	return append(change(s), k.decide(s, at)...)
}

// applyRecord takes a record that is at least as new as the one known. An older one
// comes from a lagging read and changes nothing.
func (k *Keeper) applyRecord(s *dutyState, at clock.Millis, version uint64, r Record) []Action {
	s.callPending, s.nextReadAt = false, at+ReadInterval
	if version < s.version {
		return nil
	}
	lost := s.fencingToken != 0 && r != k.ownRecord
	s.recordCurrent, s.version, s.record = true, version, r
	switch {
	case r == k.ownRecord && s.fencingToken != version:
		s.fencingToken = version
		return []Action{Hold{s.name, version}}
	case lost:
		s.fencingToken, s.noTakeoverBefore = 0, at+TakeoverDelay
		return []Action{Drop{s.name}}
	}
	return nil
}

func (k *Keeper) decideAll(at clock.Millis) []Action {
	var actions []Action
	for _, s := range k.duties {
		actions = append(actions, k.decide(s, at)...)
	}
	return actions
}

// decide decides on the next call for one duty.
func (k *Keeper) decide(s *dutyState, at clock.Millis) []Action {
	if s.callPending {
		return nil
	}
	if k.stopping {
		return k.release(s)
	}
	if !s.candidate && s.fencingToken == 0 {
		return nil
	}
	if !s.recordCurrent || at >= s.nextReadAt {
		s.callPending = true
		return []Action{ReadRecord{s.name}}
	}
	if s.fencingToken == 0 && k.mayAcquire(s, at) {
		s.callPending = true
		return []Action{WriteRecord{s.name, s.version, k.ownRecord}}
	}
	return nil
}

// mayAcquire tells whether a candidate takes the duty now. It waits only after it
// has lost the duty: whoever took it was alive then, whatever the list says.
func (k *Keeper) mayAcquire(s *dutyState, at clock.Millis) bool {
	if !s.candidate {
		return false
	}
	free := s.record.holder == "" || s.record.holder == k.ownName
	return free || at >= s.noTakeoverBefore
}

// release gives a held duty back, so that its successor need not wait for the
// list to show that this process is gone.
func (k *Keeper) release(s *dutyState) []Action {
	if s.fencingToken == 0 {
		return nil
	}
	s.fencingToken, s.callPending = 0, true
	return []Action{Drop{s.name}, WriteRecord{s.name, s.version, Record{}}}
}
