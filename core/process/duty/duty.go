// Package duty decides which duties a process holds. A duty is a task that one
// process at a time performs for the fleet, such as the ownership of a claim shard
// or of a rank group. Rendezvous hashing over the instance list, which may be out
// of date, selects a candidate; only a conditional update of the duty's record
// grants ownership. The package does no I/O and reads no clock.
package duty

import (
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"

	"goldcrestshore/core/connection/platform"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/rendezvous"
	"goldcrestshore/core/version/drainflag"
)

const (
	// ReadInterval is the interval at which the candidate and the holder of a duty
	// read its record.
	ReadInterval = 2 * clock.Second
	// TakeoverDelay is how long a candidate that lost a duty waits before it takes
	// the duty over again. While instances have different lists there may be two
	// candidates, which would otherwise take the duty from each other in turn.
	TakeoverDelay = 10 * clock.Second
)

// ErrRecord is returned by ParseRecord for a malformed record.
var ErrRecord = errors.New("duty record is malformed")

// Record is the content of a duty's object. The version of the object, which
// increases with each write, is the fencing token of the holder that wrote it.
type Record struct {
	holder      string
	incarnation uint64
}

// NewRecord returns the record of a holder. An empty name means that the duty was
// released.
func NewRecord(holder string, incarnation uint64) Record { return Record{holder, incarnation} }

// Holder returns the instance that holds the duty. It is empty if the duty was
// released.
func (r Record) Holder() string { return r.holder }

// Incarnation returns the incarnation of the holder.
func (r Record) Incarnation() uint64 { return r.incarnation }

type recordJSON struct {
	Holder      string `json:"holder"`
	Incarnation uint64 `json:"incarnation"`
}

// Encode returns the record as JSON.
func (r Record) Encode() []byte {
	raw, err := json.Marshal(recordJSON{r.holder, r.incarnation})
	if err != nil {
		panic(err) // marshaling a string and a number cannot fail
	}
	return raw
}

// ParseRecord decodes a record encoded by Encode.
func ParseRecord(raw []byte) (Record, error) {
	var decoded recordJSON
	if err := json.Unmarshal(raw, &decoded); err != nil {
		return Record{}, errors.Wrapf(ErrRecord, "%v", err)
	}
	return Record{decoded.Holder, decoded.Incarnation}, nil
}

// Eligible returns the names of the instances that may hold duties: those that are
// live, match, and are neither drained themselves nor in a drained data centre.
func Eligible(instances []platform.Instance, drained drainflag.Set, matches func(platform.Instance) bool) []string {
	var names []string
	for _, i := range instances {
		if i.State() != platform.Live || drained.InstanceDrained(i.Name()) || drained.DataCentreDrained(i.DataCentre()) {
			continue
		}
		if matches(i) {
			names = append(names, i.Name())
		}
	}
	return names
}

// Event is an input of a Keeper.
type Event interface {
	event()
}

// Listed reports a new list of eligible instances for all duties of a Keeper.
type Listed struct {
	At       clock.Millis
	Eligible []string
}

// Read reports a record read from the platform; version 0 means that there is none.
type Read struct {
	At      clock.Millis
	Duty    string
	Version uint64
	Record  Record
}

// WriteSucceeded reports a successful conditional update by this process.
type WriteSucceeded struct {
	At      clock.Millis
	Duty    string
	Version uint64
	Record  Record
}

// WriteUnresolved reports a conditional update that failed or whose response was
// lost. The record must be read again to resolve the outcome.
type WriteUnresolved struct {
	At   clock.Millis
	Duty string
}

// Stopping reports that the process is shutting down or was taken out of service.
type Stopping struct {
	At clock.Millis
}

// Tick reports the current time.
type Tick struct {
	At clock.Millis
}

func (Listed) event()          {}
func (Read) event()            {}
func (WriteSucceeded) event()  {}
func (WriteUnresolved) event() {}
func (Stopping) event()        {}
func (Tick) event()            {}

// Action is an output of a Keeper, to be carried out by the process.
type Action interface {
	action()
}

// Fetch requests a read of the record of a duty, which is reported by Read.
type Fetch struct {
	Duty string
}

// Write requests that a record be replaced if it still has the version;
// version 0 creates it.
type Write struct {
	Duty    string
	Version uint64
	Record  Record
}

// Acquired notifies that the process now holds a duty under a fencing token.
type Acquired struct {
	Duty         string
	FencingToken uint64
}

// Lost notifies that the process no longer holds a duty, because another process took
// it over or because it was released.
type Lost struct {
	Duty string
}

func (Fetch) action()    {}
func (Write) action()    {}
func (Acquired) action() {}
func (Lost) action()     {}

// Keeper decides which of a fixed set of duties one process acquires and releases.
type Keeper struct {
	ownName   string
	ownRecord Record
	duties    []*dutyState
	eligible  []string
	stopping  bool
}

// dutyState is the state of one duty in a Keeper.
type dutyState struct {
	name             string
	candidate        bool
	recordCurrent    bool // the record was read and no later write is unresolved
	version          uint64
	record           Record
	fencingToken     uint64 // 0 if not held
	callPending      bool   // a read or write is in progress
	nextReadAt       clock.Millis
	noTakeoverBefore clock.Millis
}

// NewKeeper returns the Keeper of an instance for the named duties.
func NewKeeper(instance string, incarnation uint64, duties []string) *Keeper {
	k := &Keeper{ownName: instance, ownRecord: NewRecord(instance, incarnation)}
	for _, name := range duties {
		k.duties = append(k.duties, &dutyState{name: name})
	}
	return k
}

// FencingToken returns the fencing token under which a duty is held, 0 if it is not
// held. The token may be out of date; only a successful conditional update proves
// that the duty is still held.
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

// Step applies one event and returns the actions to carry out, in order.
func (k *Keeper) Step(e Event) []Action {
	switch e := e.(type) {
	case Listed:
		k.setEligible(e.Eligible)
		return k.decideAll(e.At)
	case Read:
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

// update applies change to one duty and then decides on its next action.
func (k *Keeper) update(duty string, at clock.Millis, change func(*dutyState) []Action) []Action {
	s := k.find(duty)
	if s == nil {
		return nil
	}
	return append(change(s), k.decide(s, at)...)
}

// applyRecord stores a record unless it is older than the current one. An older
// record comes from a stale read and is ignored.
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
		return []Action{Acquired{s.name, version}}
	case lost:
		s.fencingToken, s.noTakeoverBefore = 0, at+TakeoverDelay
		return []Action{Lost{s.name}}
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

// decide returns the next actions for one duty.
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
		return []Action{Fetch{s.name}}
	}
	if s.fencingToken == 0 && k.mayAcquire(s, at) {
		s.callPending = true
		return []Action{Write{s.name, s.version, k.ownRecord}}
	}
	return nil
}

// mayAcquire reports whether this process acquires the duty now. A candidate only
// waits after it lost the duty: the process that took the duty over was alive then,
// whether or not the instance list includes it.
func (k *Keeper) mayAcquire(s *dutyState, at clock.Millis) bool {
	if !s.candidate {
		return false
	}
	free := s.record.holder == "" || s.record.holder == k.ownName
	return free || at >= s.noTakeoverBefore
}

// release releases a held duty, so that its successor does not have to wait until
// the instance list shows that this process has terminated.
func (k *Keeper) release(s *dutyState) []Action {
	if s.fencingToken == 0 {
		return nil
	}
	s.fencingToken, s.callPending = 0, true
	return []Action{Lost{s.name}, Write{s.name, s.version, Record{}}}
}
