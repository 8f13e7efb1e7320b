package customer

import (
	"container/heap"
	"math"

	"goldcrestshore/core/process/clock"
)

const (
	// drainWindow is the time over which the rate of dispatched work is measured.
	drainWindow = 2 * clock.Second
	// runWeight is the weight of a new sample in the smoothed run time.
	runWeight = 0.05
	// spreads is how many mean deviations above the mean a long run takes; 2 of
	// them cover about 95% of the run times.
	spreads = 2
)

// drain is how fast the upstreams take queued work.
type drain struct {
	from    clock.Millis
	cost    int64
	idle    bool // the queue was empty at some time in the window
	perMs   float64
	known   bool
	run     float64 // smoothed time in ms from dispatch to the end
	spread  float64 // smoothed deviation from it
	started bool
}

func (d *drain) note(now clock.Millis, cost int64) {
	if !d.started {
		d.started = true
		d.from = now
	}
	d.cost += cost
}

// roll closes the measuring window when it is over. Work dispatched while the
// queue was empty at times shows only the least that the upstreams can take.
func (d *drain) roll(now clock.Millis, empty bool) {
	d.idle = d.idle || empty
	span := now - d.from
	if !d.started || span < drainWindow {
		return
	}
	perMs := float64(d.cost) / float64(span)
	if d.idle {
		perMs = max(perMs, d.perMs)
	}
	d.perMs = perMs
	d.known = true
	d.cost = 0
	d.from = now
	d.idle = empty
}

func (d *drain) noteRun(took clock.Millis) {
	if d.run == 0 {
		d.run = float64(took)
		return
	}
	off := float64(took) - d.run
	d.run += runWeight * off
	d.spread += runWeight * (math.Abs(off) - d.spread)
}

// longRun is the time within which nearly all dispatched requests end.
func (d *drain) longRun() float64 { return d.run + spreads*d.spread }

// late returns the requests to shed so that the others are expected to be
// answered before their deadlines. In order of service, as soon as a request
// would be late, the least important one up to it goes, the latest first among
// equals. Work of customers held back by their own limit delays nobody and goes
// only when its own deadline is near.
func (s *service) late(now clock.Millis, mayRun func(*account) bool) []*item {
	s.drain.roll(now, s.empty())
	ahead := backlog{byPriority: make(map[int]int64)}
	var shed []*item
	for _, i := range s.inOrder() {
		if !s.inTime(now, 0, i.deadline) || i.deadline <= now {
			shed = append(shed, i)
			continue
		}
		if !mayRun(i.customer) {
			continue
		}
		if !s.inTime(now, ahead.atLeast(i.priority)+i.cost, i.deadline) {
			shed = append(shed, i)
			continue
		}
		ahead.push(i)
		for !s.inTime(now, ahead.cost, i.deadline) {
			shed = append(shed, ahead.pop())
		}
	}
	return shed
}

// inTime reports whether a request that is served after cost, its own
// included, is expected to be answered by its deadline.
func (s *service) inTime(now clock.Millis, cost int64, deadline clock.Millis) bool {
	wait := 0.0
	if s.drain.known && s.drain.perMs > 0 {
		wait = float64(cost) / s.drain.perMs
	}
	return float64(now)+wait+s.drain.longRun() <= float64(deadline)
}

// backlog is the work that stays queued ahead of a request.
type backlog struct {
	items      shedHeap
	cost       int64
	byPriority map[int]int64
}

// atLeast returns the work that is not shed for a request of this priority.
func (b *backlog) atLeast(priority int) int64 {
	var cost int64
	for p, c := range b.byPriority {
		if p >= priority {
			cost += c
		}
	}
	return cost
}

func (b *backlog) push(i *item) {
	heap.Push(&b.items, i)
	b.cost += i.cost
	b.byPriority[i.priority] += i.cost
}

func (b *backlog) pop() *item {
	least := heap.Pop(&b.items).(*item)
	b.cost -= least.cost
	b.byPriority[least.priority] -= least.cost
	return least
}

// shedHeap has the request to shed first on top.
type shedHeap []*item

// Len returns the number of requests.
func (h shedHeap) Len() int { return len(h) }

// Less orders by priority, lowest first, then by order of service, last first.
func (h shedHeap) Less(i, j int) bool {
	if h[i].priority != h[j].priority {
		return h[i].priority < h[j].priority
	}
	return order(h[i], h[j]) > 0
}

// Swap exchanges two requests.
func (h shedHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push appends a request.
func (h *shedHeap) Push(x any) { *h = append(*h, x.(*item)) }

// Pop removes the last request.
func (h *shedHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
