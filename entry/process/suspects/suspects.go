// Package suspects runs the entry's decision on requests that crash upstreams:
// requests ask it where they may run, agents tell it of crashes, and verdicts
// pass between the entries.
package suspects

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/connection/platform"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/event"
	"goldcrestshore/core/request/outcome"
	"goldcrestshore/core/version/relay"
	"goldcrestshore/entry/request/suspect"
)

const (
	// shareInterval is how often all verdicts are repeated for entries that
	// missed an announcement; a silent connection is replaced after two seconds.
	shareInterval = 2 * clock.Second
	// maxWait bounds how long a suspect waits for another one on its upstream.
	maxWait = 2 * clock.Second
	// waitInterval is the pause between the questions of a waiting request.
	waitInterval = 50 * time.Millisecond
	// avoidFor keeps suspects off an upstream that crashed, which may still be
	// restarting. The agent refuses what it lost for the same time.
	avoidFor = 30 * clock.Second
)

// errQuarantined is the cause of a cancelled sending.
var errQuarantined = errors.New("request was quarantined")

// Service guards the suspects of one entry. Exported fields are set before use.
type Service struct {
	Clock *clock.Clock
	Log   *event.Log
	// View returns the configuration and the instance list.
	View func() *relay.Snapshot
	// Broadcast passes verdicts to the other entries without waiting; nil keeps
	// them here.
	Broadcast func(*frame.Shares)

	mu       sync.Mutex
	tracker  *suspect.Tracker
	sequence uint64
	sendings map[uint64]*Sending
	// announced is what was last sent to other entries of each fingerprint.
	announced map[suspect.Fingerprint]announced
	// crashedOn holds the upstreams that crashed with a fingerprint.
	crashedOn map[suspect.Fingerprint][]string
	// avoided holds the end of the time for which suspects avoid an upstream.
	avoided map[string]clock.Millis
}

// announced is the size of a verdict; its parts only grow.
type announced struct {
	crashes, cleared int
	quarantined      bool
}

// Sending is one submit of a request to an upstream.
type Sending struct {
	service  *Service
	request  uint64
	upstream string
	suspect  bool
	ctx      context.Context
	cancel   context.CancelCauseFunc
}

// Upstream returns the upstream that the request may be sent to.
func (s *Sending) Upstream() string { return s.upstream }

// Suspect tells that the request was in flight at a crash.
func (s *Sending) Suspect() bool { return s.suspect }

// Context ends with the caller's context or when the request is quarantined.
func (s *Sending) Context() context.Context { return s.ctx }

// Quarantined tells that the request was quarantined while it ran.
func (s *Sending) Quarantined() bool { return errors.Is(context.Cause(s.ctx), errQuarantined) }

// Begin asks whether a request may be sent and notes the sending. A request
// that is not suspect goes to the candidate, a suspect to the upstream that all
// entries derive; the sending names it. The error is a *outcome.Refusal that
// speaks of this sending alone. End must follow.
func (s *Service) Begin(ctx context.Context, f suspect.Fingerprint, service, candidate string) (*Sending, error) {
	until := s.Clock.Now() + maxWait
	for {
		sending, refusal := s.begin(ctx, f, service, candidate)
		switch {
		case refusal == nil:
			return sending, nil
		case refusal.Code() != outcome.Overloaded || s.Clock.Now() >= until:
			return nil, refusal
		}
		select {
		case <-ctx.Done():
			return nil, refusal
		case <-time.After(waitInterval):
		}
	}
}

func (s *Service) begin(ctx context.Context, f suspect.Fingerprint, service, candidate string) (*Sending, *outcome.Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.prepare()
	now := s.Clock.Now()
	sending := &Sending{service: s, upstream: candidate}
	switch a := s.tracker.Handle(now, suspect.NewArrived(f, s.upstreams(now, f, service)))[0].(type) {
	case suspect.Refuse:
		return nil, a.Refusal()
	case suspect.Wait:
		return nil, outcome.Refuse(outcome.Overloaded, outcome.NotRun, int64(maxWait))
	case suspect.Isolate:
		sending.upstream, sending.suspect = a.Upstream(), true
	case suspect.Allow:
		sending.upstream = s.elsewhere(now, f, service, candidate)
	}
	s.sequence++
	sending.request = s.sequence
	sending.ctx, sending.cancel = context.WithCancelCause(ctx)
	s.sendings[sending.request] = sending
	s.tracker.Handle(now, suspect.NewSent(sending.request, f, sending.upstream))
	return sending, nil
}

// prepare must be called with mu held.
func (s *Service) prepare() {
	if s.tracker != nil {
		return
	}
	s.tracker = suspect.New()
	s.sendings = map[uint64]*Sending{}
	s.announced = map[suspect.Fingerprint]announced{}
	s.crashedOn = map[suspect.Fingerprint][]string{}
	s.avoided = map[string]clock.Millis{}
}

// upstreams returns where a suspect may run, equally at all entries that know
// the same crashes. An entry that missed a crash places the suspect on an
// upstream whose agent refuses it.
func (s *Service) upstreams(now clock.Millis, f suspect.Fingerprint, service string) []string {
	v := s.View()
	var all []string
	for _, i := range v.Instances() {
		if i.Role() == platform.RoleAgent && i.Service() == service && v.AcceptsWork(i) {
			all = append(all, i.Name())
		}
	}
	slices.Sort(all)
	fresh := without(all, func(name string) bool { return slices.Contains(s.crashedOn[f], name) })
	return without(fresh, func(name string) bool { return s.avoided[name] > now })
}

// elsewhere returns another upstream for a request that was in flight when the
// candidate crashed: the agent there refuses it for a while, also after it is no
// longer suspect.
func (s *Service) elsewhere(now clock.Millis, f suspect.Fingerprint, service, candidate string) string {
	if !slices.Contains(s.crashedOn[f], candidate) {
		return candidate
	}
	if others := s.upstreams(now, f, service); len(others) > 0 {
		return others[0]
	}
	return candidate
}

// without leaves names out unless none would remain.
func without(names []string, drop func(string) bool) []string {
	left := slices.DeleteFunc(slices.Clone(names), drop)
	if len(left) == 0 {
		return names
	}
	return left
}

// End notes how a sending ended; a second call does nothing.
func (s *Sending) End(completed bool) {
	s.cancel(nil)
	var e suspect.Event = suspect.NewEnded(s.request)
	if completed {
		e = suspect.NewCompleted(s.request)
	}
	s.service.handle(e, func() { delete(s.service.sendings, s.request) })
}

// Crashed takes an agent's report of a crash of its upstream.
func (s *Service) Crashed(upstream string, m *frame.Crash) {
	prints := numbers[suspect.Fingerprint](m.Fingerprints())
	prints = prints[:min(len(prints), maxReceived)]
	s.Log.Emit(event.RequestSuspect, event.Fields{"upstream": upstream, "requests": len(prints)})
	s.handle(suspect.NewCrashed(upstream, m.Incarnation(), prints), func() {
		s.avoided[upstream] = s.Clock.Now() + avoidFor
		for _, f := range prints {
			if !slices.Contains(s.crashedOn[f], upstream) {
				s.crashedOn[f] = append(s.crashedOn[f], upstream)
			}
		}
	})
}

// Received merges the verdicts of another entry.
func (s *Service) Received(m *frame.Shares) {
	if len(m.Suspects()) > 0 {
		s.handle(suspect.NewVerdictsReceived(verdictsOf(m)), func() {})
	}
}

// Run repeats all verdicts to the other entries until ctx is done.
func (s *Service) Run(ctx context.Context) {
	clock.Every(ctx, shareInterval, func() { s.share(s.verdicts()) })
}

func (s *Service) verdicts() []suspect.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.prepare()
	all := s.tracker.Verdicts(s.Clock.Now())
	s.forget(all)
	return all
}

// handle applies an event after note, and carries out its actions without the lock.
func (s *Service) handle(e suspect.Event, note func()) {
	s.mu.Lock()
	s.prepare()
	note()
	var changed []suspect.Verdict
	var excluded int
	var cancelled []*Sending
	for _, a := range s.tracker.Handle(s.Clock.Now(), e) {
		switch a := a.(type) {
		case suspect.Announce:
			changed, excluded = s.changes()
		case suspect.Cancel:
			for _, request := range a.Requests() {
				cancelled = append(cancelled, s.sendings[request])
			}
		}
	}
	s.mu.Unlock()
	if excluded > 0 {
		s.Log.Emit(event.RequestQuarantined, event.Fields{"requests": excluded})
	}
	for _, sending := range cancelled {
		sending.cancel(errQuarantined)
	}
	s.share(changed)
}

// changes returns the verdicts that differ from those announced before, and how
// many of them are new quarantines. It must be called with mu held.
func (s *Service) changes() (changed []suspect.Verdict, excluded int) {
	all := s.tracker.Verdicts(s.Clock.Now())
	s.forget(all)
	for _, v := range all {
		now := announced{len(v.Crashes()), len(v.Cleared()), v.Quarantined()}
		before := s.announced[v.Fingerprint()]
		if now == before {
			continue
		}
		s.announced[v.Fingerprint()] = now
		changed = append(changed, v)
		if now.quarantined && !before.quarantined {
			excluded++
		}
	}
	return changed, excluded
}

// forget drops what is kept of expired verdicts and times. It must be called
// with mu held.
func (s *Service) forget(all []suspect.Verdict) {
	kept := make(map[suspect.Fingerprint]bool, len(all))
	for _, v := range all {
		kept[v.Fingerprint()] = true
	}
	for f := range s.announced {
		if !kept[f] {
			delete(s.announced, f)
		}
	}
	for f := range s.crashedOn {
		if !kept[f] {
			delete(s.crashedOn, f)
		}
	}
	for name, end := range s.avoided {
		if end <= s.Clock.Now() {
			delete(s.avoided, name)
		}
	}
}

func (s *Service) share(verdicts []suspect.Verdict) {
	if len(verdicts) > 0 && s.Broadcast != nil {
		s.Broadcast(sharesOf(verdicts))
	}
}
