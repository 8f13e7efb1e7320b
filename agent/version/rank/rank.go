package rank

import (
	"slices"

	"goldcrestshore/core/process/clock"
)

// Limits of a Rank.
const (
	// askEvery is the time between repeated questions. It is several round
	// trips within a region, so that a late answer is not asked for twice.
	askEvery clock.Millis = 20
	// undecidedAfter bounds the wait for a peer's answer. It equals the time
	// after which a silent connection is replaced, plus one attempt on the
	// new connection.
	undecidedAfter clock.Millis = 3 * clock.Second
	// pastChanges is how many decided changes a rank can still tell peers
	// about. A peer that needs the answer is at most one step behind.
	pastChanges = 4
)

// phase is how far a rank's agent has recovered after its start.
type phase byte

const (
	// phaseEngine waits for the engine's state; the rank does not vote,
	// since it may have voted yes before the restart.
	phaseEngine phase = iota
	// phasePeers waits for every peer's fencing token.
	phasePeers
	phaseRunning
)

// preparation is the map that the rank loads or has loaded.
type preparation struct {
	to     MapID
	base   MapID
	owner  Member
	loaded bool
}

// verdict is the outcome of a change that this rank voted on.
type verdict struct {
	change Change
	commit bool
}

// Rank decides for the agent beside one rank. Set the exported fields before
// Start.
type Rank struct {
	// Self is this rank's number.
	Self Member
	// Members are all members of the group, Self included, ascending.
	Members []Member
	// Epoch is the formation of the group.
	Epoch uint64
	// Incarnation is drawn at the start of the agent.
	Incarnation uint64

	now       clock.Millis
	phase     phase
	heard     []bool
	fence     uint64
	floor     MapID
	step      int64
	current   MapID
	scheduled Change
	prep      preparation
	open      ballot
	early     ballot
	past      []verdict
	waiting   bool
	since     clock.Millis
	lastAsk   clock.Millis
}

// Start returns the first actions of a started or restarted agent. Its rank
// stops at the next boundary as soon as the engine has told the fencing token
// that its orders need, until the peers have answered.
func (r *Rank) Start(now clock.Millis) []Action {
	r.now = now
	r.since = now
	r.lastAsk = now
	r.phase = phaseEngine
	r.heard = make([]bool, r.size())
	return []Action{QueryEngine{}}
}

// Current returns the map in use and the last step entered, as far as known.
func (r *Rank) Current() (MapID, int64) { return r.current, r.step }

// Fence returns the highest fencing token seen.
func (r *Rank) Fence() uint64 { return r.fence }

// Running reports whether the agent has recovered after its start.
func (r *Rank) Running() bool { return r.phase == phaseRunning }

// Settled reports whether no vote on c and no outcome of c can change this
// rank's state any more.
func (r *Rank) Settled(c Change) bool { return !c.to.After(r.floor) && r.open.change != c }

// Handle returns the actions that follow from e.
func (r *Rank) Handle(e Event) []Action {
	switch e := e.(type) {
	case Received:
		return r.received(e.From, e.Message)
	case EngineState:
		return r.engineState(e)
	case HoldPlaced:
		return r.holdPlaced(e)
	case Loaded:
		return r.loaded(e.To)
	case AtBoundary:
		return r.atBoundary(e.Change)
	case Entered:
		return r.entered(e.Step)
	case Tick:
		return r.tick(e.Now)
	case Reformed:
		return r.reformed(e)
	}
	return nil
}

func (r *Rank) received(from Member, m Message) []Action {
	if !slices.Contains(r.Members, from) {
		return nil
	}
	switch m := m.(type) {
	case Prepare:
		return r.prepare(from, m)
	case Arm:
		return r.arm(from, m)
	case Armed:
		return r.vote(from, m.change, voteYes)
	case Refuse:
		return r.refusal(from, m)
	case Ask:
		return r.ask(from, m)
	case Decide:
		return r.decided(m.change, m.commit)
	}
	return nil
}

// size is the length of a table with one entry per member number.
func (r *Rank) size() int { return int(slices.Max(r.Members)) + 1 }

func (r *Rank) raiseFence(fence uint64) { r.fence = max(r.fence, fence) }

func (r *Rank) raiseFloor(id MapID) {
	if id.After(r.floor) {
		r.floor = id
	}
}

// prepare starts loading a map. A rank with a change under way refuses, since
// the plan starts from a map that is about to be replaced.
func (r *Rank) prepare(from Member, m Prepare) []Action {
	if m.epoch != r.Epoch || r.phase == phaseEngine {
		return nil
	}
	refuse := []Action{Send{from, Refuse{Change{r.Epoch, m.to, 0}, max(r.fence, m.to.fence)}}}
	if m.to.fence < r.fence {
		return refuse
	}
	r.raiseFence(m.to.fence)
	switch {
	case r.phase != phaseRunning, r.open.isOpen(), !r.scheduled.IsZero():
		return refuse
	case m.base != r.current, !m.to.After(r.floor):
		return refuse
	case r.prep.to == m.to && r.prep.loaded:
		return []Action{Send{from, r.prepared()}}
	case r.prep.to == m.to:
		return nil
	}
	r.prep = preparation{to: m.to, base: m.base, owner: from}
	return []Action{LoadExperts{m.to, m.experts, m.content, r.fence}}
}

func (r *Rank) prepared() Prepared {
	return Prepared{r.Epoch, r.prep.to, r.Incarnation, r.step}
}

func (r *Rank) loaded(to MapID) []Action {
	if r.prep.to != to || r.prep.loaded {
		return nil
	}
	r.prep.loaded = true
	return []Action{Send{r.prep.owner, r.prepared()}}
}

// arm votes on a change. A yes is sent only after the engine has stored the
// hold, so that neither a crash of the agent nor a late message lets the rank
// into the change's step before the outcome is known.
func (r *Rank) arm(from Member, m Arm) []Action {
	c := m.change
	if c.epoch != r.Epoch || r.phase == phaseEngine {
		return nil
	}
	if r.open.change == c {
		if r.open.votes[r.Self] == voteYes {
			return []Action{Send{from, Armed{c}}}
		}
		return nil
	}
	if !c.to.After(r.floor) {
		return r.answer(from, c)
	}
	r.raiseFence(c.to.fence)
	if !r.acceptable(m) {
		return r.refuse(c)
	}
	r.raiseFloor(c.to)
	r.open = newBallot(c, r.size())
	if r.early.change == c {
		r.open.votes = r.early.votes
	}
	r.early = ballot{}
	return []Action{Hold{c, r.fence}}
}

func (r *Rank) acceptable(m Arm) bool {
	c := m.change
	switch {
	case r.phase != phaseRunning, r.open.isOpen(), !r.scheduled.IsZero():
		return false
	case c.to.fence < r.fence, m.incarnation != r.Incarnation:
		return false
	case r.prep.to != c.to, !r.prep.loaded, r.prep.base != r.current:
		return false
	}
	return c.step > r.step
}

// refuse votes no for good and tells every member, so that armed ranks learn
// the outcome before they reach the change's step.
func (r *Rank) refuse(c Change) []Action {
	r.raiseFloor(c.to)
	return []Action{Broadcast{Refuse{c, r.fence}}}
}

func (r *Rank) holdPlaced(e HoldPlaced) []Action {
	if r.open.change != e.Change || r.open.votes[r.Self] != voteMissing {
		return nil
	}
	if !e.OK {
		c := r.open.change
		r.remember(c, false)
		r.open = ballot{}
		return []Action{Broadcast{Refuse{c, r.fence}}}
	}
	r.open.votes[r.Self] = voteYes
	return append([]Action{Broadcast{Armed{e.Change}}}, r.tally()...)
}

// vote records a peer's vote. Votes can overtake the Arm that they answer;
// those on the latest change are kept until it arrives.
func (r *Rank) vote(from Member, c Change, v vote) []Action {
	if c.epoch != r.Epoch {
		return nil
	}
	if r.open.change == c {
		r.open.set(from, v)
		return r.tally()
	}
	if !c.to.After(r.floor) || r.phase == phaseEngine {
		return nil
	}
	if !r.early.isOpen() || c.to.After(r.early.change.to) {
		r.early = newBallot(c, r.size())
	}
	if r.early.change == c {
		r.early.set(from, v)
	}
	return nil
}

func (r *Rank) refusal(from Member, m Refuse) []Action {
	r.raiseFence(m.fence)
	if m.change.step != 0 {
		return r.vote(from, m.change, voteNo)
	}
	if !m.change.IsZero() || r.phase != phasePeers {
		return nil
	}
	r.heard[from] = true
	return r.recovered()
}

func (r *Rank) tally() []Action {
	switch r.open.outcome(r.Members) {
	case voteYes:
		return r.settle(true)
	case voteNo:
		return r.settle(false)
	}
	return nil
}

// settle applies the outcome of the open change.
func (r *Rank) settle(commit bool) []Action {
	c := r.open.change
	r.open = ballot{}
	r.waiting = false
	r.remember(c, commit)
	if !commit {
		return []Action{Release{c, r.fence}}
	}
	r.scheduled = c
	return []Action{Activate{c, r.fence}}
}

func (r *Rank) remember(c Change, commit bool) {
	r.past = append(r.past, verdict{c, commit})
	if len(r.past) > pastChanges {
		r.past = slices.Delete(r.past, 0, 1)
	}
}

func (r *Rank) decided(c Change, commit bool) []Action {
	if c.epoch != r.Epoch || r.open.change != c {
		return nil
	}
	if commit && r.open.votes[r.Self] != voteYes {
		return nil
	}
	return r.settle(commit)
}

// ask answers a peer that needs this rank's vote.
func (r *Rank) ask(from Member, m Ask) []Action {
	if m.epoch != r.Epoch {
		return nil
	}
	if m.change.IsZero() {
		return []Action{Send{from, Refuse{Change{}, r.fence}}}
	}
	if r.phase == phaseEngine {
		return nil
	}
	return r.answer(from, m.change)
}

// answer tells the outcome of c if known, else this rank's vote, and votes no
// if it has not voted. A restarted agent finds a yes in its engine, as a hold,
// a scheduled change or the map in use, so that what is not found there was
// never voted yes or is already known as refused.
func (r *Rank) answer(from Member, c Change) []Action {
	if r.open.change == c {
		if r.open.votes[r.Self] == voteYes {
			return []Action{Send{from, Armed{c}}}
		}
		return nil
	}
	for _, p := range r.past {
		if p.change == c {
			return []Action{Send{from, Decide{c, p.commit}}}
		}
	}
	if r.scheduled == c || r.current == c.to {
		return []Action{Send{from, Decide{c, true}}}
	}
	if c.to.After(r.floor) {
		return r.refuse(c)
	}
	return []Action{Send{from, Refuse{c, r.fence}}}
}

// engineState resumes from what the engine has stored.
func (r *Rank) engineState(e EngineState) []Action {
	if r.phase != phaseEngine {
		return nil
	}
	r.phase = phasePeers
	r.step = e.Step
	r.current = e.Current
	r.scheduled = e.Scheduled
	r.raiseFence(e.Fence)
	for _, id := range []MapID{e.Current, e.Held.to, e.Scheduled.to} {
		r.raiseFence(id.fence)
		r.raiseFloor(id)
	}
	actions := []Action{Pause{r.fence}, Broadcast{Ask{r.Epoch, Change{}}}}
	if !e.Held.IsZero() {
		r.open = newBallot(e.Held, r.size())
		r.open.votes[r.Self] = voteYes
		actions = append(actions, Broadcast{Armed{e.Held}})
		actions = append(actions, r.askMissing()...)
	}
	return append(actions, r.recovered()...)
}

func (r *Rank) recovered() []Action {
	if len(r.unheard()) > 0 {
		return nil
	}
	r.phase = phaseRunning
	clear(r.heard)
	return []Action{Resume{r.fence}}
}

func (r *Rank) unheard() []Member {
	var missing []Member
	for _, m := range r.Members {
		if m != r.Self && !r.heard[m] {
			missing = append(missing, m)
		}
	}
	return missing
}

// atBoundary asks the peers for the outcome. A change that this rank does not
// hold open was placed by an order still under way when the agent restarted.
func (r *Rank) atBoundary(c Change) []Action {
	if r.phase == phaseEngine || c.epoch != r.Epoch {
		return nil
	}
	if r.open.change != c {
		return r.staleHold(c)
	}
	if !r.waiting {
		r.waiting = true
		r.since = r.now
	}
	r.lastAsk = r.now
	return r.askMissing()
}

func (r *Rank) staleHold(c Change) []Action {
	if r.scheduled == c {
		return []Action{Activate{c, r.fence}}
	}
	r.raiseFloor(c.to)
	return []Action{Release{c, r.fence}}
}

func (r *Rank) askMissing() []Action {
	var actions []Action
	for _, m := range r.open.missing(r.Members) {
		if m != r.Self {
			actions = append(actions, Send{m, Ask{r.Epoch, r.open.change}})
		}
	}
	return actions
}

// entered follows the engine's steps. An engine that has passed the open
// change's step carried out an order of the agent before its restart, which
// knew the outcome; the engine's state tells it.
func (r *Rank) entered(step int64) []Action {
	r.step = max(r.step, step)
	r.waiting = false
	if r.open.isOpen() && r.step >= r.open.change.step {
		r.open = ballot{}
		return r.Start(r.now)
	}
	if !r.scheduled.IsZero() && r.step >= r.scheduled.step {
		r.current = r.scheduled.to
		r.scheduled = Change{}
		r.prep = preparation{}
	}
	return nil
}

func (r *Rank) tick(now clock.Millis) []Action {
	r.now = now
	if now-r.lastAsk < askEvery {
		return nil
	}
	switch {
	case r.phase == phaseEngine:
		r.lastAsk = now
		return []Action{QueryEngine{}}
	case r.phase == phasePeers:
		return r.again(r.unheard(), Change{})
	case r.waiting:
		return r.again(r.open.missing(r.Members), r.open.change)
	}
	return nil
}

// again repeats a question to the members that have not answered it and
// reports them once the limit has passed.
func (r *Rank) again(missing []Member, c Change) []Action {
	r.lastAsk = r.now
	var actions []Action
	for _, m := range missing {
		actions = append(actions, Send{m, Ask{r.Epoch, c}})
	}
	if r.open.isOpen() && r.phase == phasePeers {
		actions = append(actions, r.askMissing()...)
	}
	if r.now-r.since >= undecidedAfter {
		actions = append(actions, Undecided{missing})
	}
	return actions
}

// reformed starts again from the recorded formation; votes of the former one
// have no effect in it, since every message names its epoch.
func (r *Rank) reformed(e Reformed) []Action {
	if e.Epoch <= r.Epoch {
		return nil
	}
	r.Epoch = e.Epoch
	r.Members = e.Members
	r.phase = phaseRunning
	r.heard = make([]bool, r.size())
	r.raiseFence(e.Current.fence)
	r.raiseFloor(e.Current)
	r.current = e.Current
	r.step = e.Step
	r.scheduled = Change{}
	r.prep = preparation{}
	r.open = ballot{}
	r.early = ballot{}
	r.past = nil
	r.waiting = false
	return nil
}
