// Package route chooses the upstream of a request. It performs no I/O: a table of
// upstreams is updated by events, and the caller supplies the time and the source
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
	// ErrNoUpstream reports that no upstream of the service is usable, apart from
	// those already tried.
	ErrNoUpstream = errors.New("service has no usable upstream")
	// ErrNoCapacity reports that no usable upstream has free capacity.
	ErrNoCapacity = errors.New("every usable upstream is full")
)

const (
	// SubsetSize bounds the upstreams of a service that an entry uses. With 350
	// entries and 460 replicas of a model, an agent then serves about 24 entries,
	// which keeps heartbeats within the traffic budget of a node.
	SubsetSize = 32
	// HeartbeatTimeout is the age of the last heartbeat at which an upstream
	// becomes unusable. Agents send a heartbeat at least once per second.
	HeartbeatTimeout = 1500 * clock.Millis(1)
)

// Table is the state that an entry keeps of its upstreams. It is not safe for
// concurrent use.
type Table struct {
	entry              string
	dataCentre         string
	random             *rand.Rand
	upstreams          map[string]*upstream
	services           map[string]*service
	drainedDataCentres map[string]bool
	drainedUpstreams   map[string]bool
	inFlight           map[frame.ID]*inFlightRequest
	prefixes           prefixes
	lastSerial         uint32
}

// service is the subset of upstreams that this entry uses for one service.
type service struct {
	subset    []*upstream
	ready     []ready
	prefill   prefill
	sinceCold int // requests since the last one sent to a cold upstream
}

// inFlightRequest is a request that this entry has sent and that has not ended.
type inFlightRequest struct {
	target         *upstream
	service        *service
	sentAt         clock.Millis
	uncachedTokens int
	predicted      clock.Millis
	reservedBytes  int64
	responding     bool
}

// New returns an empty table for an entry in a data centre.
func New(entry, dataCentre string, random *rand.Rand) *Table {
	return &Table{
		entry:              entry,
		dataCentre:         dataCentre,
		random:             random,
		upstreams:          make(map[string]*upstream),
		services:           make(map[string]*service),
		drainedDataCentres: make(map[string]bool),
		drainedUpstreams:   make(map[string]bool),
		inFlight:           make(map[frame.ID]*inFlightRequest),
		prefixes:           newPrefixes(),
	}
}

// Apply updates the table with an event that occurred at now. The times of
// successive calls must not decrease.
func (t *Table) Apply(now clock.Millis, e Event) {
	switch e := e.(type) {
	case UpstreamList:
		t.setUpstreams(e.upstreams)
	case DrainFlags:
		t.setDrainFlags(e)
	case Heartbeat:
		if u := t.upstreams[e.upstream]; u != nil {
			u.heartbeat(now, e.load)
		}
	case ConnectionLost:
		if u := t.upstreams[e.upstream]; u != nil {
			u.disconnected()
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

// setUpstreams replaces the list of live upstreams and chooses the subset of each
// service.
func (t *Table) setUpstreams(live []Upstream) {
	listed := make(map[string]bool, len(live))
	byService := make(map[string][]Upstream)
	for _, member := range live {
		listed[member.name] = true
		byService[member.service] = append(byService[member.service], member)
	}
	for name := range t.upstreams {
		if !listed[name] {
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

// subset selects up to SubsetSize members by rendezvous hashing. Up to half
// of them are in other data centres, and more if the entry's own data centre has
// too few.
func (t *Table) subset(members []Upstream) []*upstream {
	var local, remote []string
	byName := make(map[string]Upstream, len(members))
	for _, m := range members {
		byName[m.name] = m
		if m.dataCentre == t.dataCentre {
			local = append(local, m.name)
		} else {
			remote = append(remote, m.name)
		}
	}
	remoteCount := min(len(remote), max(SubsetSize/2, SubsetSize-len(local)))
	names := rendezvous.Top(t.entry, local, SubsetSize-remoteCount)
	names = append(names, rendezvous.Top(t.entry, remote, remoteCount)...)
	slices.Sort(names)
	subset := make([]*upstream, 0, len(names))
	for _, name := range names {
		subset = append(subset, t.upstream(byName[name]))
	}
	return subset
}

func (t *Table) upstream(member Upstream) *upstream {
	u := t.upstreams[member.name]
	if u == nil {
		t.lastSerial++
		u = &upstream{name: member.name, serial: t.lastSerial, dataCentre: member.dataCentre}
		u.drained = t.isDrained(u)
		t.upstreams[member.name] = u
	}
	return u
}

func (t *Table) isDrained(u *upstream) bool {
	return t.drainedUpstreams[u.name] || t.drainedDataCentres[u.dataCentre]
}

func (t *Table) setDrainFlags(e DrainFlags) {
	t.drainedDataCentres, t.drainedUpstreams = e.dataCentres, e.upstreams
	for _, u := range t.upstreams {
		drained := t.isDrained(u)
		if u.drained && !drained {
			u.startRamp()
		}
		u.drained = drained
	}
}

func (t *Table) sent(now clock.Millis, e Sent) {
	u, s := t.upstreams[e.choice.upstream], t.services[e.request.service]
	if u == nil || s == nil {
		return
	}
	uncachedTokens := max(e.request.promptTokens-e.choice.cachedTokens, 1)
	t.inFlight[e.id] = &inFlightRequest{target: u, service: s, sentAt: now, uncachedTokens: uncachedTokens, predicted: e.choice.predicted, reservedBytes: e.request.reservedBytes}
	u.sent(now, uncachedTokens, e.request.reservedBytes)
	t.prefixes.hint(u, e.request.prefixes)
}

func (t *Table) firstToken(now clock.Millis, id frame.ID) {
	r := t.inFlight[id]
	if r == nil || r.responding {
		return
	}
	r.responding = true
	r.target.firstToken(r.uncachedTokens)
	r.service.prefill.addSample(now-r.sentAt, r.predicted, r.uncachedTokens)
}

func (t *Table) refused(id frame.ID) {
	r := t.inFlight[id]
	if r == nil {
		return
	}
	delete(t.inFlight, id)
	r.target.ended(r, false)
	r.target.refusedSinceReport = true
}

func (t *Table) done(e Done) {
	r := t.inFlight[e.id]
	if r == nil {
		return
	}
	delete(t.inFlight, e.id)
	r.target.ended(r, e.ok)
}

func (t *Table) cacheEvent(u *upstream, e CacheEvent) {
	if !u.acceptCacheEvent(e.sequence) {
		return
	}
	if e.stored {
		t.prefixes.confirm(u, e.hash)
		return
	}
	t.prefixes.evict(u, e.hash)
}

// Subset returns the names of the upstreams of a service that this entry uses and
// must stay connected to.
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

// FreeCapacity estimates from the last load reports how many further requests the
// usable upstreams of a service accept now.
func (t *Table) FreeCapacity(now clock.Millis, name string) int {
	s := t.services[name]
	if s == nil {
		return 0
	}
	capacity := 0
	for _, u := range s.subset {
		if u.usable(now) {
			capacity += max(u.freeCapacity(0), 0)
		}
	}
	return capacity
}

// Usable returns the number of usable upstreams of a service.
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
