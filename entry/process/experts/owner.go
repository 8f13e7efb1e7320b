// Package experts owns the expert maps of a model service: it learns which
// experts are in demand, plans maps and makes all ranks of the group switch at
// the same pass.
//
// A change is made in this order: every rank prepares the new map; one rank
// holds a pass to come; every rank is armed for that pass; once all have
// accepted, the hold is released. While the hold stands no rank can begin the
// pass, so a change that fails is taken back before any rank has switched.
package experts

import (
	"context"
	"hash/fnv"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/event"
	"goldcrestshore/core/version/group"
	"goldcrestshore/entry/version/config"
	"goldcrestshore/entry/version/placement"
)

// ErrNotOwner means that another process owns the maps.
var ErrNotOwner = errors.New("another process owns the expert maps")

const (
	// cycle is the time between two looks at the ranks.
	cycle clock.Millis = 100
	// ownerSilence is how long an owner is not heard before another process
	// takes over; a stalled change stops the whole group.
	ownerSilence clock.Millis = 700
	// claimSpread keeps processes from taking over at the same moment.
	claimSpread clock.Millis = 300
	// startTime is how long a process listens for an owner after its start.
	startTime clock.Millis = 700
	// claimPause is the time between two tries to take over.
	claimPause clock.Millis = 450
	// callTime bounds a call that carries no order.
	callTime clock.Millis = 500
	// directPause is the time between two looks past agents.
	directPause clock.Millis = 400
	// switchTime bounds a call with an order while a pass is held.
	switchTime clock.Millis = 700
	// orderTime bounds a call with an order, which the agent repeats until the
	// rank has answered.
	orderTime = 8 * clock.Second
	// demandHalfLife is how fast earlier counts lose their weight.
	demandHalfLife clock.Millis = 900
	// leastTokens is the number of choices a layer needs before a plan.
	leastTokens = 2000
	// jumpTokens is the number of choices that show a jump in demand.
	jumpTokens = 15000
	// leastJump and jumpRatio are the skew, and its ratio to that expected, from
	// which on a jump is assumed.
	leastJump = 1.6
	jumpRatio = 1.4
)

// Member is a rank of the group.
type Member struct {
	// Upstream is the id of the replica.
	Upstream string
	// Agent is the address of the process beside it.
	Agent string
	// Address is that of the replica itself.
	Address string
}

// Ranks reaches the ranks of a group.
type Ranks interface {
	// Call asks the agent beside a rank.
	Call(ctx context.Context, m Member, c *group.Call, limit clock.Millis) (*group.Reply, error)
	// Direct asks the rank itself, for when its agent is gone; it costs more.
	Direct(ctx context.Context, m Member, c *group.Call, limit clock.Millis) (*group.Reply, error)
}

// Claimer takes ownership by a conditional write.
type Claimer interface {
	// Claim makes the process the owner if no other claims at the same moment, and
	// returns the new term.
	Claim(ctx context.Context, service string) (int64, error)
}

// Owner owns the maps of one service, or waits until it may. Exported fields
// are set before Run.
type Owner struct {
	Clock   *clock.Clock
	Log     *event.Log
	Self    string
	Service string
	Ranks   Ranks
	Claimer Claimer
	// Members returns the replicas of the service.
	Members func() []Member
	// Engine returns the shape of the service's engine, nil when unknown.
	Engine func() *config.Engine
	// Heard returns the highest known term, the time since its owner was heard
	// and the number of agents that say so.
	Heard func() (int64, clock.Millis, int)

	term    atomic.Int64
	started clock.Millis
	claimAt clock.Millis
	// directAt is when ranks may be asked past their agents again.
	directAt clock.Millis
	state    state
}

// state is what an owner knows of the group.
type state struct {
	epoch   int64
	known   bool
	current placement.Map
	version int64
	// settled is set while no change of this or an earlier owner can be
	// unfinished.
	settled bool
	// switchAt is the pass at which the map of the last change is used.
	switchAt int64
	demand   placement.Estimator
	last     map[string]counted
	lastStep int64
	lastAt   clock.Millis
	pass     clock.Millis
}

// counted are the cumulative counts of one incarnation of a rank.
type counted struct {
	born   int64
	counts []int64
}

// Term returns the term of this process's ownership, 0 for none.
func (o *Owner) Term() int64 { return o.term.Load() }

// Run owns or waits until ctx is done.
func (o *Owner) Run(ctx context.Context) {
	o.started = o.Clock.Now()
	clock.Every(ctx, cycle, func() { o.cycle(ctx) })
}

func (o *Owner) cycle(ctx context.Context) {
	engine := o.Engine()
	if engine == nil || engine.Layers == 0 {
		return
	}
	if !o.owns(ctx) {
		return
	}
	if err := o.tend(ctx, engine); err != nil {
		o.Log.Error(event.MapAbandoned, err, event.Fields{"service": o.Service})
	}
}

// owns tells whether this process owns the maps, and claims them when their
// owner has fallen silent.
func (o *Owner) owns(ctx context.Context) bool {
	term, age, agents := o.Heard()
	own := o.term.Load()
	if own > 0 && term > own {
		o.term.Store(0)
		o.state = state{}
		o.Log.Emit(event.MapOwnerLost, event.Fields{"service": o.Service, "term": own, "newer": term})
		return false
	}
	if own > 0 {
		return true
	}
	silence := ownerSilence + o.delay()
	now := o.Clock.Now()
	if agents == 0 || now-o.started < startTime+o.delay() || now < o.claimAt || (term > 0 && age < silence) {
		return false
	}
	o.claimAt = now + claimPause
	claimed, err := o.Claimer.Claim(ctx, o.Service)
	if err != nil {
		o.Log.Error(event.MapOwnerLost, err, event.Fields{"service": o.Service, "term": term, "ownerAgeMs": age})
		return false
	}
	o.state = state{}
	o.term.Store(claimed)
	o.Log.Emit(event.MapOwner, event.Fields{"service": o.Service, "term": claimed, "before": term, "ownerAgeMs": age})
	return true
}

// delay differs between processes.
func (o *Owner) delay() clock.Millis {
	h := fnv.New32a()
	_, _ = h.Write([]byte(o.Self)) // a hash never fails
	return clock.Millis(h.Sum32()) % claimSpread
}

// rank is a member with its latest report.
type rank struct {
	Member
	report group.Report
	reply  *group.Reply
}

// all asks every member and returns the replies in the order of ranks, with
// whether the whole group has answered in one epoch.
func (o *Owner) all(ctx context.Context, call func(Member) *group.Call, limit clock.Millis) ([]*rank, bool) {
	members := o.Members()
	answered := make([]*rank, len(members))
	var running sync.WaitGroup
	for i, m := range members {
		running.Go(func() { answered[i] = o.look(ctx, o.Ranks.Call, m, call(m), limit) })
	}
	running.Wait()
	ranks, whole := arrange(answered)
	if whole || !(pending(ranks) || o.unsettled()) {
		return ranks, whole
	}
	// A change that was begun must be ended although an agent is gone.
	for i, m := range members {
		if answered[i] == nil {
			running.Go(func() { answered[i] = o.look(ctx, o.Ranks.Direct, m, call(m), limit) })
		}
	}
	running.Wait()
	return arrange(answered)
}

// asker is a way to a rank.
type asker func(ctx context.Context, m Member, c *group.Call, limit clock.Millis) (*group.Reply, error)

// look returns what a rank says, nil when it does not answer.
func (o *Owner) look(ctx context.Context, ask asker, m Member, c *group.Call, limit clock.Millis) *rank {
	reply, err := ask(ctx, m, c, limit)
	if err != nil {
		o.Log.Error(event.RankUnreached, err, event.Fields{"upstream": m.Upstream})
		return nil
	}
	if reply.Failure != "" {
		o.Log.Emit(event.RankUnreached, event.Fields{"upstream": m.Upstream, "error": reply.Failure})
		return nil
	}
	return &rank{m, reply.Report, reply}
}

// unsettled tells whether a change may have been left unfinished, at most once
// in a pause, since ranks are asked past their agents then.
func (o *Owner) unsettled() bool {
	now := o.Clock.Now()
	if o.state.settled || now < o.directAt {
		return false
	}
	o.directAt = now + directPause
	return true
}

// arrange orders replies by rank and tells whether they are a whole group.
func arrange(answered []*rank) ([]*rank, bool) {
	var ranks []*rank
	for _, r := range answered {
		if r == nil {
			continue
		}
		for len(ranks) <= r.report.Rank {
			ranks = append(ranks, nil)
		}
		ranks[r.report.Rank] = r
	}
	if len(ranks) == 0 || ranks[0] == nil || len(ranks) != ranks[0].report.Size {
		return ranks, false
	}
	for _, r := range ranks {
		if r == nil || r.report.Epoch != ranks[0].report.Epoch || r.report.Group != ranks[0].report.Group || !r.report.Open {
			return ranks, false
		}
	}
	return ranks, true
}

// tend looks at the ranks once and changes the map when that pays.
func (o *Owner) tend(ctx context.Context, engine *config.Engine) error {
	term := o.term.Load()
	ranks, whole := o.all(ctx, func(Member) *group.Call {
		return &group.Call{Term: term, WantCounts: true, WantMap: !o.state.known}
	}, callTime)
	if !whole {
		o.state.known = false
		return nil
	}
	if ranks[0].report.Epoch != o.state.epoch {
		o.state = state{epoch: ranks[0].report.Epoch, settled: o.state.settled, last: o.state.last, demand: o.state.demand}
	}
	o.observe(ranks, engine)
	if o.switching(ranks) {
		return nil
	}
	if pending(ranks) {
		return o.settle(ctx, ranks)
	}
	o.state.settled = true
	if !o.state.known {
		return o.learnMap(ranks)
	}
	return o.improve(ctx, ranks, engine)
}

// pending tells whether a change has been begun and not ended.
func pending(ranks []*rank) bool {
	for _, r := range ranks {
		if r == nil {
			continue
		}
		if r.report.ArmedVersion != group.None || r.report.HeldStep != group.None {
			return true
		}
	}
	return false
}

// switching tells whether all ranks wait for the pass at which they use the map
// of the last change.
func (o *Owner) switching(ranks []*rank) bool {
	version, step, all := armedFor(ranks)
	if !all || version != o.state.version || step != o.state.switchAt {
		return false
	}
	for _, r := range ranks {
		if r.report.HeldStep != group.None {
			return false
		}
	}
	return true
}

// observe adds the counts since the last look to the demand.
func (o *Owner) observe(ranks []*rank, engine *config.Engine) {
	s := &o.state
	now := o.Clock.Now()
	s.demand.HalfLife = demandHalfLife
	if s.last == nil {
		s.last = make(map[string]counted)
	}
	sum := make(placement.Loads, engine.Layers)
	for layer := range sum {
		sum[layer] = make([]float64, engine.Experts)
	}
	for _, r := range ranks {
		counts := r.reply.Counts
		before := s.last[r.Upstream]
		s.last[r.Upstream] = counted{r.report.Born, counts}
		if before.born != r.report.Born || len(counts) != engine.Layers*engine.Experts || len(before.counts) != len(counts) {
			continue
		}
		for i, n := range counts {
			sum[i/engine.Experts][i%engine.Experts] += float64(max(n-before.counts[i], 0))
		}
	}
	if jumped(s, sum) {
		s.demand.Replace(now, sum)
	} else {
		s.demand.Add(now, sum)
	}
	step := ranks[0].report.Step
	if step > s.lastStep && s.lastAt > 0 {
		s.pass = (now - s.lastAt) / clock.Millis(step-s.lastStep)
	}
	s.lastStep, s.lastAt = step, now
}

// jumped tells whether the counts since the last look fit the map in use so
// much worse than the earlier ones that the demand must have changed.
func jumped(s *state, sum placement.Loads) bool {
	if !s.known || s.demand.Loads() == nil || total(sum) < jumpTokens {
		return false
	}
	now, before := placement.Skew(s.current, sum), placement.Skew(s.current, s.demand.Loads())
	return now > leastJump && now > jumpRatio*before
}

func total(sum placement.Loads) float64 {
	out := 0.0
	for _, n := range sum[0] {
		out += n
	}
	return out
}

// learnMap takes the map in use from the ranks.
func (o *Owner) learnMap(ranks []*rank) error {
	layers := len(ranks[0].reply.Experts)
	current := make(placement.Map, layers)
	version := int64(0)
	for layer := range current {
		current[layer] = make([][]int, len(ranks))
	}
	for i, r := range ranks {
		if len(r.reply.Experts) != layers {
			return nil // asked again in the next cycle
		}
		for layer := range current {
			current[layer][i] = r.reply.Experts[layer]
		}
		version = max(version, r.report.Map, r.report.Prepared)
	}
	o.state.current, o.state.version, o.state.known = current, version, layers > 0
	return nil
}
