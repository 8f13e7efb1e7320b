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
	// verdictResendInterval is how often all verdicts are repeated for entries that
	// missed an announcement; a silent connection is replaced after two seconds.
	verdictResendInterval = 2 * clock.Second
	// maxSuspectWait bounds how long a suspect waits for another one on its upstream.
	maxSuspectWait = 2 * clock.Second
	// pollInterval is the pause between the questions of a waiting request.
	pollInterval = 50 * time.Millisecond
	// exclusionDuration keeps suspects off an upstream that crashed, which may still be
	// restarting. The agent refuses what it lost for the same time.
	exclusionDuration = 30 * clock.Second
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
	attempts map[uint64]*Attempt
	// sentVerdict is what was last sent to other entries of each fingerprint.
	sentVerdict map[suspect.Fingerprint]sentVerdict
	// crashedOn holds the upstreams that crashed with a fingerprint.
	crashedOn map[suspect.Fingerprint][]string
	// excludedUntil holds the end of the time for which suspects avoid an upstream.
	excludedUntil map[string]clock.Millis
}

// sentVerdict is the size of a verdict; its parts only grow.
type sentVerdict struct {
	crashes, cleared int
	quarantined      bool
}

// Attempt is one submit of a request to an upstream.
type Attempt struct {
	service  *Service
	id       uint64
	upstream string
	suspect  bool
	ctx      context.Context
	cancel   context.CancelCauseFunc
}

// Upstream returns the upstream that the request may be sent to.
func (a *Attempt) Upstream() string { return a.upstream }

// Suspect tells that the request was in flight at a crash.
func (a *Attempt) Suspect() bool { return a.suspect }

// Context ends with the caller's context or when the request is quarantined.
func (a *Attempt) Context() context.Context { return a.ctx }

// Quarantined tells that the request was quarantined while it ran.
func (a *Attempt) Quarantined() bool { return errors.Is(context.Cause(a.ctx), errQuarantined) }

// Begin asks whether a request may be sent and notes the sending. A request
// that is not suspect goes to the candidate, a suspect to the upstream that all
// entries derive; the sending names it. The error is a *outcome.Refusal that
// speaks of this sending alone. End must follow.
func (s *Service) Begin(ctx context.Context, f suspect.Fingerprint, service, candidate string) (*Attempt, error) {
	deadline := s.Clock.Now() + maxSuspectWait
	for {
		attempt, refusal := s.tryBegin(ctx, f, service, candidate)
		switch {
		case refusal == nil:
			return attempt, nil
		case refusal.Code() != outcome.Overloaded || s.Clock.Now() >= deadline:
			return nil, refusal
		}
		select {
		case <-ctx.Done():
			return nil, refusal
		case <-time.After(pollInterval):
		}
	}
}

func (s *Service) tryBegin(ctx context.Context, f suspect.Fingerprint, service, candidate string) (*Attempt, *outcome.Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lazyInit()
	now := s.Clock.Now()
	attempt := &Attempt{service: s, upstream: candidate}
	switch a := s.tracker.Handle(now, suspect.NewArrived(f, s.eligibleUpstreams(now, f, service)))[0].(type) {
	case suspect.Refuse:
		return nil, a.Refusal()
	case suspect.Wait:
		return nil, outcome.Refuse(outcome.Overloaded, outcome.NotRun, int64(maxSuspectWait))
	case suspect.Isolate:
		attempt.upstream, attempt.suspect = a.Upstream(), true
	case suspect.Allow:
		attempt.upstream = s.alternativeUpstream(now, f, service, candidate)
	}
	s.sequence++
	attempt.id = s.sequence
	attempt.ctx, attempt.cancel = context.WithCancelCause(ctx)
	s.attempts[attempt.id] = attempt
	s.tracker.Handle(now, suspect.NewSent(attempt.id, f, attempt.upstream))
	return attempt, nil
}

// lazyInit must be called with mu held.
func (s *Service) lazyInit() {
	if s.tracker != nil {
		return
	}
	s.tracker = suspect.New()
	s.attempts = map[uint64]*Attempt{}
	s.sentVerdict = map[suspect.Fingerprint]sentVerdict{}
	s.crashedOn = map[suspect.Fingerprint][]string{}
	s.excludedUntil = map[string]clock.Millis{}
}

// eligibleUpstreams returns where a suspect may run, equally at all entries that know
// the same crashes. An entry that missed a crash places the suspect on an
// upstream whose agent refuses it.
func (s *Service) eligibleUpstreams(now clock.Millis, f suspect.Fingerprint, service string) []string {
	v := s.View()
	var all []string
	for _, i := range v.Instances() {
		if i.Role() == platform.RoleAgent && i.Service() == service && v.AcceptsWork(i) {
			all = append(all, i.Name())
		}
	}
	slices.Sort(all)
	uncrashed := excludeUnlessEmpty(all, func(name string) bool { return slices.Contains(s.crashedOn[f], name) })
	return excludeUnlessEmpty(uncrashed, func(name string) bool { return s.excludedUntil[name] > now })
}

// alternativeUpstream returns another upstream for a request that was in flight when the
// candidate crashed: the agent there refuses it for a while, also after it is no
// longer suspect.
func (s *Service) alternativeUpstream(now clock.Millis, f suspect.Fingerprint, service, candidate string) string {
	if !slices.Contains(s.crashedOn[f], candidate) {
		return candidate
	}
	if others := s.eligibleUpstreams(now, f, service); len(others) > 0 {
		return others[0]
	}
	return candidate
}

// excludeUnlessEmpty leaves names out unless none would remain.
func excludeUnlessEmpty(names []string, exclude func(string) bool) []string {
	remaining := slices.DeleteFunc(slices.Clone(names), exclude)
	if len(remaining) == 0 {
		return names
	}
	return remaining
}

// End notes how a sending ended; a second call does nothing.
func (a *Attempt) End(completed bool) {
	a.cancel(nil)
	var e suspect.Event = suspect.NewEnded(a.id)
	if completed {
		e = suspect.NewCompleted(a.id)
	}
	a.service.handle(e, func() { delete(a.service.attempts, a.id) })
}

// Crashed takes an agent's report of a crash of its upstream.
func (s *Service) Crashed(upstream string, m *frame.Crash) {
	fingerprints := convertHashes[suspect.Fingerprint](m.Fingerprints())
	fingerprints = fingerprints[:min(len(fingerprints), maxPerFrame)]
	s.Log.Emit(event.RequestSuspect, event.Fields{"upstream": upstream, "requests": len(fingerprints)})
	s.handle(suspect.NewCrashed(upstream, m.Incarnation(), fingerprints), func() {
		s.excludedUntil[upstream] = s.Clock.Now() + exclusionDuration
		for _, f := range fingerprints {
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
	clock.Every(ctx, verdictResendInterval, func() { s.broadcast(s.verdicts()) })
}

func (s *Service) verdicts() []suspect.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lazyInit()
	all := s.tracker.Verdicts(s.Clock.Now())
	s.evict(all)
	return all
}

// handle applies an event after note, and carries out its actions without the lock.
func (s *Service) handle(e suspect.Event, update func()) {
	s.mu.Lock()
	s.lazyInit()
	update()
	var changed []suspect.Verdict
	var newQuarantines int
	var cancelled []*Attempt
	for _, a := range s.tracker.Handle(s.Clock.Now(), e) {
		switch a := a.(type) {
		case suspect.Announce:
			changed, newQuarantines = s.changedVerdicts()
		case suspect.Cancel:
			for _, id := range a.Requests() {
				cancelled = append(cancelled, s.attempts[id])
			}
		}
	}
	s.mu.Unlock()
	if newQuarantines > 0 {
		s.Log.Emit(event.RequestQuarantined, event.Fields{"requests": newQuarantines})
	}
	for _, attempt := range cancelled {
		attempt.cancel(errQuarantined)
	}
	s.broadcast(changed)
}

// changedVerdicts returns the verdicts that differ from those announced before, and how
// many of them are new quarantines. It must be called with mu held.
func (s *Service) changedVerdicts() (changed []suspect.Verdict, newQuarantines int) {
	all := s.tracker.Verdicts(s.Clock.Now())
	s.evict(all)
	for _, v := range all {
		current := sentVerdict{len(v.Crashes()), len(v.Cleared()), v.Quarantined()}
		previous := s.sentVerdict[v.Fingerprint()]
		if current == previous {
			continue
		}
		s.sentVerdict[v.Fingerprint()] = current
		changed = append(changed, v)
		if current.quarantined && !previous.quarantined {
			newQuarantines++
		}
	}
	return changed, newQuarantines
}

// evict drops what is kept of expired verdicts and times. It must be called
// with mu held.
func (s *Service) evict(all []suspect.Verdict) {
	active := make(map[suspect.Fingerprint]bool, len(all))
	for _, v := range all {
		active[v.Fingerprint()] = true
	}
	for f := range s.sentVerdict {
		if !active[f] {
			delete(s.sentVerdict, f)
		}
	}
	for f := range s.crashedOn {
		if !active[f] {
			delete(s.crashedOn, f)
		}
	}
	for name, end := range s.excludedUntil {
		if end <= s.Clock.Now() {
			delete(s.excludedUntil, name)
		}
	}
}

func (s *Service) broadcast(verdicts []suspect.Verdict) {
	if len(verdicts) > 0 && s.Broadcast != nil {
		s.Broadcast(sharesOf(verdicts))
	}
}
