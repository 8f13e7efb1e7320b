package customer

import (
	"container/heap"
	"math"

	"goldcrestshore/core/process/clock"
)

const (
	// throughputWindow is the time over which the rate of dispatched work is measured.
	throughputWindow = 2 * clock.Second
	// runSmoothing is the weight of a new sample in the smoothed run time.
	runSmoothing = 0.05
	// longRunDeviations is how many mean deviations above the mean a long run takes; 2 of
	// them cover about 95% of the run times.
	longRunDeviations = 2
)

// throughput is how fast the upstreams take queued work.
type throughput struct {
	windowStart    clock.Millis
	cost           int64
	wasEmpty       bool // the queue was empty at some time in the window
	costPerMs      float64
	measured       bool
	meanRunMs      float64 // smoothed time in ms from dispatch to the end
	runDeviationMs float64 // smoothed deviation from it
	started        bool
}

func (d *throughput) recordDispatch(now clock.Millis, cost int64) {
	if !d.started {
		d.started = true
		d.windowStart = now
	}
	d.cost += cost
}

// closeWindow closes the measuring window when it is over. Work dispatched while the
// queue was empty at times shows only the least that the upstreams can take.
func (d *throughput) closeWindow(now clock.Millis, empty bool) {
	d.wasEmpty = d.wasEmpty || empty
	elapsed := now - d.windowStart
	if !d.started || elapsed < throughputWindow {
		return
	}
	costPerMs := float64(d.cost) / float64(elapsed)
	if d.wasEmpty {
		costPerMs = max(costPerMs, d.costPerMs)
	}
	d.costPerMs = costPerMs
	d.measured = true
	d.cost = 0
	d.windowStart = now
	d.wasEmpty = empty
}

func (d *throughput) recordRun(duration clock.Millis) {
	if d.meanRunMs == 0 {
		d.meanRunMs = float64(duration)
		return
	}
	deviation := float64(duration) - d.meanRunMs
	d.meanRunMs += runSmoothing * deviation
	d.runDeviationMs += runSmoothing * (math.Abs(deviation) - d.runDeviationMs)
}

// longRunMs is the time within which nearly all dispatched requests end.
func (d *throughput) longRunMs() float64 { return d.meanRunMs + longRunDeviations*d.runDeviationMs }

// selectShed returns the requests to shed so that the others are expected to be
// answered before their deadlines. In order of service, as soon as a request
// would be selectShed, the least important one up to it goes, the latest first among
// equals. Work of customers held back by their own limit delays nobody and goes
// only when its own deadline is near.
func (s *service) selectShed(now clock.Millis, mayRun func(*account) bool) []*item {
	s.throughput.closeWindow(now, s.empty())
	ahead := backlog{byPriority: make(map[int]int64)}
	var shed []*item
	for _, i := range s.inServiceOrder() {
		if !s.meetsDeadline(now, 0, i.deadline) || i.deadline <= now {
			shed = append(shed, i)
			continue
		}
		if !mayRun(i.customer) {
			continue
		}
		if !s.meetsDeadline(now, ahead.costAtOrAbove(i.priority)+i.cost, i.deadline) {
			shed = append(shed, i)
			continue
		}
		ahead.push(i)
		for !s.meetsDeadline(now, ahead.cost, i.deadline) {
			shed = append(shed, ahead.pop())
		}
	}
	return shed
}

// meetsDeadline reports whether a request that is served after cost, its own
// included, is expected to be answered by its deadline.
func (s *service) meetsDeadline(now clock.Millis, cost int64, deadline clock.Millis) bool {
	waitMs := 0.0
	if s.throughput.measured && s.throughput.costPerMs > 0 {
		waitMs = float64(cost) / s.throughput.costPerMs
	}
	return float64(now)+waitMs+s.throughput.longRunMs() <= float64(deadline)
}

// backlog is the work that stays queued ahead of a request.
type backlog struct {
	items      shedHeap
	cost       int64
	byPriority map[int]int64
}

// costAtOrAbove returns the work that is not shed for a request of this priority.
func (b *backlog) costAtOrAbove(priority int) int64 {
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
	lowest := heap.Pop(&b.items).(*item)
	b.cost -= lowest.cost
	b.byPriority[lowest.priority] -= lowest.cost
	return lowest
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
	return compareItems(h[i], h[j]) > 0
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
