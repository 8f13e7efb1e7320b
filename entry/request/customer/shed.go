package customer

import (
	"container/heap"
	"math"

	"goldcrestshore/core/process/clock"
)

const (
	// throughputWindow is the time over which the rate of dispatched work is
	// measured.
	throughputWindow = 2 * clock.Second
	// runSmoothing is the weight of a new sample in the smoothed run time and its
	// deviation.
	runSmoothing = 0.05
	// longRunDeviations is the number of mean deviations by which a long run
	// exceeds the mean; 2 cover about 95% of the run times.
	longRunDeviations = 2
)

// throughput estimates how fast the upstreams of a service take queued work and
// how long they run a request.
type throughput struct {
	windowStart    clock.Millis
	cost           int64
	wasEmpty       bool // the queue was empty at some time in the window
	costPerMs      float64
	measured       bool
	meanRunMs      float64 // smoothed time from dispatch to completion
	runDeviationMs float64 // smoothed absolute deviation from meanRunMs
	started        bool
}

func (t *throughput) recordDispatch(now clock.Millis, cost int64) {
	if !t.started {
		t.started = true
		t.windowStart = now
	}
	t.cost += cost
}

// closeWindow ends the measuring window once throughputWindow has elapsed. If the
// queue was empty at some time in the window, the dispatched work is only a lower
// bound of the throughput, so it never lowers the estimate.
func (t *throughput) closeWindow(now clock.Millis, empty bool) {
	t.wasEmpty = t.wasEmpty || empty
	elapsed := now - t.windowStart
	if !t.started || elapsed < throughputWindow {
		return
	}
	costPerMs := float64(t.cost) / float64(elapsed)
	if t.wasEmpty {
		costPerMs = max(costPerMs, t.costPerMs)
	}
	t.costPerMs = costPerMs
	t.measured = true
	t.cost = 0
	t.windowStart = now
	t.wasEmpty = empty
}

func (t *throughput) recordRun(duration clock.Millis) {
	if t.meanRunMs == 0 {
		t.meanRunMs = float64(duration)
		return
	}
	deviation := float64(duration) - t.meanRunMs
	t.meanRunMs += runSmoothing * deviation
	t.runDeviationMs += runSmoothing * (math.Abs(deviation) - t.runDeviationMs)
}

// longRunMs returns the time within which nearly all dispatched requests complete.
func (t *throughput) longRunMs() float64 { return t.meanRunMs + longRunDeviations*t.runDeviationMs }

// selectShed returns the requests to shed so that the others are expected to
// complete before their deadlines. It goes through the queue in order of service.
// When a request would miss its deadline, it sheds requests ahead of it until the
// deadline is met: those of the lowest priority first, and among equals the one
// served last. If shedding all requests of lower priority would not be enough, it
// sheds only the late request itself. Requests of customers at their own
// concurrency limit delay no others and are shed only when their own deadline is
// too close.
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

// meetsDeadline reports whether a request is expected to complete by its deadline
// if cost, which includes its own, is dispatched before it runs.
func (s *service) meetsDeadline(now clock.Millis, cost int64, deadline clock.Millis) bool {
	waitMs := 0.0
	if s.throughput.measured && s.throughput.costPerMs > 0 {
		waitMs = float64(cost) / s.throughput.costPerMs
	}
	return float64(now)+waitMs+s.throughput.longRunMs() <= float64(deadline)
}

// backlog holds the requests that stay queued ahead of a request.
type backlog struct {
	items      shedHeap
	cost       int64
	byPriority map[int]int64
}

// costAtOrAbove returns the cost of the requests that are not shed in favor of a
// request of this priority.
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

// shedHeap implements heap.Interface with the request to shed first at the root.
type shedHeap []*item

// Len returns the number of requests.
func (h shedHeap) Len() int { return len(h) }

// Less orders by ascending priority, then by descending order of service.
func (h shedHeap) Less(i, j int) bool {
	if h[i].priority != h[j].priority {
		return h[i].priority < h[j].priority
	}
	return compareItems(h[i], h[j]) > 0
}

// Swap swaps two requests.
func (h shedHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push appends a request.
func (h *shedHeap) Push(x any) { *h = append(*h, x.(*item)) }

// Pop removes and returns the last request of the slice.
func (h *shedHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
