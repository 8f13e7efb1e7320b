// Package route chooses the upstream of a request. It is pure: events keep a
// table of upstreams current, and the caller supplies the time and the source
// of random numbers.
package route

import (
	"math/rand/v2"
	"slices"

	"github.com/cockroachdb/errors"

	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/rendezvous"
)

// Errors of Choose.
var (
	// ErrNoUpstream reports that no upstream of the service is in service and
	// in contact, apart from those already tried.
	ErrNoUpstream = errors.New("service has no usable upstream")
	// ErrNoRoom reports that every usable upstream is full.
	ErrNoRoom = errors.New("every usable upstream is full")
)

const (
	// SubsetSize bounds the upstreams of a service that an entry uses. With 350
	// entries and 460 replicas of a model an agent then talks to about 24
	// entries, which keeps heartbeats within the traffic budget of a node.
	SubsetSize = 32
	// Silence is the age of the last heartbeat from which an upstream is
	// skipped. Heartbeats come at least once a second.
	Silence = 1500 * clock.Millis(1)
)

// Table is what one entry knows of its upstreams. It is not safe for
// concurrent use.
type Table struct {
	entry      string
	dataCentre string
	random     *rand.Rand
	upstreams  map[string]*upstream
	services   map[string]*service
	outCentres map[string]bool
	outNames   map[string]bool
	sends      map[frame.ID]*send
	prefixes   prefixes
	serials    uint32
}

// service is the subset of upstreams that this entry uses for one service.
type service struct {
	subset []*upstream
	ready  []ready
	pace   pace
	turn   int // requests since one went to a cold upstream
}

// send is a request of this entry that has not ended.
type send struct {
	to        *upstream
	service   *service
	at        clock.Millis
	uncached  int
	predicted clock.Millis
	bytes     int64
	answered  bool
}

// New returns an empty table for an entry in a data centre.
func New(entry, dataCentre string, random *rand.Rand) *Table {
	return &Table{
		entry:      entry,
		dataCentre: dataCentre,
		random:     random,
		upstreams:  make(map[string]*upstream),
		services:   make(map[string]*service),
		outCentres: make(map[string]bool),
		outNames:   make(map[string]bool),
		sends:      make(map[frame.ID]*send),
		prefixes:   newPrefixes(),
	}
}

// Apply takes one event at the instant now. Instants must not decrease.
func (t *Table) Apply(now clock.Millis, e Event) {
	switch e := e.(type) {
	case List:
		t.list(e.upstreams)
	case OutMarks:
		t.outMarks(e)
	case Heartbeat:
		if u := t.upstreams[e.upstream]; u != nil {
			u.heartbeat(now, e.load)
		}
	case Lost:
		if u := t.upstreams[e.upstream]; u != nil {
			u.lost()
		}
	case Ready:
		t.ready(now, e)
	case Withdrawn:
		t.withdraw(e.id)
	case Sent:
		t.sent(now, e)
	case FirstToken:
		t.firstToken(now, e.id)
	case Refused:
		t.refused(e.id)
	case Done:
		t.done(e)
	case CacheEvent:
		if u := t.upstreams[e.upstream]; u != nil {
			t.cacheEvent(u, e)
		}
	}
}

// list replaces the live list and chooses the subset of each service.
func (t *Table) list(live []Upstream) {
	known := make(map[string]bool, len(live))
	byService := make(map[string][]Upstream)
	for _, l := range live {
		known[l.name] = true
		byService[l.service] = append(byService[l.service], l)
	}
	for name := range t.upstreams {
		if !known[name] {
			delete(t.upstreams, name)
		}
	}
	for name := range t.services {
		if byService[name] == nil {
			t.services[name].subset = nil
		}
	}
	for name, members := range byService {
		s := t.services[name]
		if s == nil {
			s = &service{}
			t.services[name] = s
		}
		s.subset = t.subset(members)
	}
}

// subset chooses by rendezvous hashing, half of it in the entry's own data
// centre when that has enough upstreams.
func (t *Table) subset(members []Upstream) []*upstream {
	var near, far []string
	at := make(map[string]Upstream, len(members))
	for _, m := range members {
		at[m.name] = m
		if m.dataCentre == t.dataCentre {
			near = append(near, m.name)
		} else {
			far = append(far, m.name)
		}
	}
	ofFar := min(len(far), max(SubsetSize/2, SubsetSize-len(near)))
	names := rendezvous.Top(t.entry, near, SubsetSize-ofFar)
	names = append(names, rendezvous.Top(t.entry, far, ofFar)...)
	slices.Sort(names)
	subset := make([]*upstream, 0, len(names))
	for _, name := range names {
		subset = append(subset, t.upstream(at[name]))
	}
	return subset
}

func (t *Table) upstream(l Upstream) *upstream {
	u := t.upstreams[l.name]
	if u == nil {
		t.serials++
		u = &upstream{name: l.name, serial: t.serials, dataCentre: l.dataCentre}
		u.out = t.isOut(u)
		t.upstreams[l.name] = u
	}
	return u
}

func (t *Table) isOut(u *upstream) bool { return t.outNames[u.name] || t.outCentres[u.dataCentre] }

func (t *Table) outMarks(e OutMarks) {
	t.outCentres, t.outNames = e.dataCentres, e.upstreams
	for _, u := range t.upstreams {
		out := t.isOut(u)
		if u.out && !out {
			u.returned()
		}
		u.out = out
	}
}

func (t *Table) sent(now clock.Millis, e Sent) {
	u, s := t.upstreams[e.choice.upstream], t.services[e.request.service]
	if u == nil || s == nil {
		return
	}
	uncached := max(e.request.promptTokens-e.choice.cachedTokens, 1)
	t.sends[e.id] = &send{to: u, service: s, at: now, uncached: uncached, predicted: e.choice.predicted, bytes: e.request.bytes}
	u.sent(now, uncached, e.request.bytes)
	t.prefixes.hint(u, e.request.prefixes)
}

func (t *Table) firstToken(now clock.Millis, id frame.ID) {
	s := t.sends[id]
	if s == nil || s.answered {
		return
	}
	s.answered = true
	s.to.firstToken(s.uncached)
	s.service.pace.noteFirstToken(now-s.at, s.predicted, s.uncached)
}

func (t *Table) refused(id frame.ID) {
	s := t.sends[id]
	if s == nil {
		return
	}
	delete(t.sends, id)
	s.to.ended(s, false)
	s.to.full = true
}

func (t *Table) done(e Done) {
	s := t.sends[e.id]
	if s == nil {
		return
	}
	delete(t.sends, e.id)
	s.to.ended(s, e.ok)
}

func (t *Table) cacheEvent(u *upstream, e CacheEvent) {
	if !u.orderedEvent(e.sequence) {
		return
	}
	if e.stored {
		t.prefixes.confirm(u, e.hash)
		return
	}
	t.prefixes.evict(u, e.hash)
}

// Subset returns the names of the upstreams of a service that this entry uses
// and must keep connections to.
func (t *Table) Subset(name string) []string {
	s := t.services[name]
	if s == nil {
		return nil
	}
	names := make([]string, len(s.subset))
	for i, u := range s.subset {
		names[i] = u.name
	}
	return names
}

// Room returns how many requests the usable upstreams of a service can take
// now by the last reports.
func (t *Table) Room(now clock.Millis, name string) int {
	s := t.services[name]
	if s == nil {
		return 0
	}
	room := 0
	for _, u := range s.subset {
		if u.usable(now) {
			room += max(u.free(0), 0)
		}
	}
	return room
}

// Usable returns how many upstreams of a service are in service and in contact.
func (t *Table) Usable(now clock.Millis, name string) int {
	s := t.services[name]
	if s == nil {
		return 0
	}
	usable := 0
	for _, u := range s.subset {
		if u.usable(now) {
			usable++
		}
	}
	return usable
}
