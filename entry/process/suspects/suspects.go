// Package suspects applies the quarantine of package suspect at an entry: it
// decides where requests may run, receives crash reports of agents and exchanges
// verdicts with the other entries.
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
	// verdictResendInterval is how often all verdicts are sent again, for entries
	// that missed an announcement. An unresponsive connection is replaced after two
	// seconds.
	verdictResendInterval = 2 * clock.Second
	// maxSuspectWait bounds how long a suspect waits until no other suspect runs on
	// its upstream.
	maxSuspectWait = 2 * clock.Second
	// pollInterval is how often a waiting request checks whether it may run.
	pollInterval = 50 * time.Millisecond
	// exclusionDuration is how long suspects are kept off an upstream after a crash,
	// since it may still be restarting. For the same time the agent refuses the
	// requests that were in flight at the crash.
	exclusionDuration = 30 * clock.Second
)

// errQuarantined is the cancellation cause of the context of a quarantined attempt.
var errQuarantined = errors.New("request was quarantined")

// Service tracks the suspects at one entry. Exported fields must be set before use.
type Service struct {
	Clock *clock.Clock
	Log   *event.Log
	// CurrentSnapshot returns the configuration and the instance list.
	CurrentSnapshot func() *relay.Snapshot
	// Broadcast sends verdicts to the other entries without blocking; nil disables
	// sending.
	Broadcast func(*frame.Shares)

	mu       sync.Mutex
	tracker  *suspect.Tracker
	sequence uint64
	attempts map[uint64]*Attempt
	// sentVerdict holds the size of the verdict last sent to the other entries, by
	// fingerprint.
	sentVerdict map[suspect.Fingerprint]sentVerdict
	// crashedOn holds, by fingerprint, the upstreams that crashed while running it.
	crashedOn map[suspect.Fingerprint][]string
	// excludedUntil holds, by upstream, the end of its exclusion for suspects.
	excludedUntil map[string]clock.Millis
}

// sentVerdict summarizes a verdict, whose crashes and cleared crashes only grow in
// number. Equal values mean that nothing has to be sent.
type sentVerdict struct {
	crashes, cleared int
	quarantined      bool
}

// Attempt is one attempt to run a request on an upstream.
type Attempt struct {
	service  *Service
	id       uint64
	upstream string
	suspect  bool
	ctx      context.Context
	cancel   context.CancelCauseFunc
}

// Upstream returns the upstream to which the request may be sent.
func (a *Attempt) Upstream() string { return a.upstream }

// Suspect reports whether the request was in flight at a crash.
func (a *Attempt) Suspect() bool { return a.suspect }

// Context returns a context that is cancelled with the caller's context or when the
// request is quarantined.
func (a *Attempt) Context() context.Context { return a.ctx }

// Quarantined reports whether the request was quarantined while it ran.
func (a *Attempt) Quarantined() bool { return errors.Is(context.Cause(a.ctx), errQuarantined) }

// Begin decides whether a request may be sent and records the attempt, whose
// Upstream method returns the upstream to use: usually the candidate, and for a
// suspect the upstream that all entries derive. Begin waits up to maxSuspectWait
// while another suspect runs there or this entry may have missed a verdict. The
// error is a *outcome.Refusal that concerns this attempt only. The caller must call
// End on the attempt.
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

// tryBegin is Begin without waiting.
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

// lazyInit initializes the unexported fields on first use. It must be called with
// mu held.
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

// eligibleUpstreams returns the upstreams on which a suspect may run. Entries that
// received the same crash reports return the same upstreams. An entry that missed
// one may place the suspect on the crashed upstream, whose agent refuses it.
func (s *Service) eligibleUpstreams(now clock.Millis, f suspect.Fingerprint, service string) []string {
	snapshot := s.CurrentSnapshot()
	var all []string
	for _, i := range snapshot.Instances() {
		if i.Role() == platform.RoleAgent && i.Service() == service && snapshot.AcceptsWork(i) {
			all = append(all, i.Name())
		}
	}
	slices.Sort(all)
	uncrashed := excludeUnlessEmpty(all, func(name string) bool { return slices.Contains(s.crashedOn[f], name) })
	return excludeUnlessEmpty(uncrashed, func(name string) bool { return s.excludedUntil[name] > now })
}

// alternativeUpstream returns another upstream than the candidate for a request
// that was in flight when the candidate crashed: the agent there refuses the
// request for a while, even once it is no longer suspect.
func (s *Service) alternativeUpstream(now clock.Millis, f suspect.Fingerprint, service, candidate string) string {
	if !slices.Contains(s.crashedOn[f], candidate) {
		return candidate
	}
	if others := s.eligibleUpstreams(now, f, service); len(others) > 0 {
		return others[0]
	}
	return candidate
}

// excludeUnlessEmpty returns the names that are not excluded, or all names if none
// would remain.
func excludeUnlessEmpty(names []string, exclude func(string) bool) []string {
	remaining := slices.DeleteFunc(slices.Clone(names), exclude)
	if len(remaining) == 0 {
		return names
	}
	return remaining
}

// End records how the attempt ended; a second call has no effect.
func (a *Attempt) End(completed bool) {
	a.cancel(nil)
	var e suspect.Event = suspect.NewEnded(a.id)
	if completed {
		e = suspect.NewCompleted(a.id)
	}
	a.service.handle(e, func() { delete(a.service.attempts, a.id) })
}

// Crashed handles an agent's report that its upstream crashed.
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

// Run sends all verdicts to the other entries periodically until ctx is done.
func (s *Service) Run(ctx context.Context) {
	clock.Every(ctx, verdictResendInterval, func() { s.broadcast(s.verdicts()) })
}

// verdicts returns all current verdicts.
func (s *Service) verdicts() []suspect.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lazyInit()
	all := s.tracker.Verdicts(s.Clock.Now())
	s.evict(all)
	return all
}

// handle calls update and applies an event with mu held, then performs the
// resulting actions without it.
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

// changedVerdicts returns the verdicts that differ from those last sent, and how
// many of them are new quarantines. It marks them as sent and must be called with
// mu held.
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

// evict removes the state of fingerprints without a verdict in all and of expired
// exclusions. It must be called with mu held.
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
