package balance

import "goldcrestshore/core/process/clock"

// bucketsPerWindow divides the window of a budget; a request counts for at most
// one bucket longer than the window.
const bucketsPerWindow = 10

// Budget bounds how often requests of a service are sent again, as a share of
// the first sends in a sliding window and a fixed allowance.
type Budget struct {
	ratio  float64
	window clock.Millis
	first  [bucketsPerWindow]int
	again  [bucketsPerWindow]int
	at     int64
}

// NewBudget returns a budget with no use so far.
func NewBudget(ratio float64, window clock.Millis) *Budget {
	return &Budget{ratio: ratio, window: window}
}

func (b *Budget) advance(now clock.Millis) {
	at := int64(now / (b.window / bucketsPerWindow))
	if at-b.at >= bucketsPerWindow {
		b.first, b.again, b.at = [bucketsPerWindow]int{}, [bucketsPerWindow]int{}, at
		return
	}
	for b.at < at {
		b.at++
		b.first[b.at%bucketsPerWindow] = 0
		b.again[b.at%bucketsPerWindow] = 0
	}
}

// Sent counts the first send of a request.
func (b *Budget) Sent(now clock.Millis) {
	b.advance(now)
	b.first[b.at%bucketsPerWindow]++
}

// Take reports whether a request may be sent again, and counts it. The
// allowance is this entry's part of the fixed number of repeats in a window.
func (b *Budget) Take(now clock.Millis, allowance float64) bool {
	used, allowed := b.use(now, allowance)
	if used+1 > allowed {
		return false
	}
	b.again[b.at%bucketsPerWindow]++
	return true
}

// use returns how many requests were sent again in the window, and how many may be.
func (b *Budget) use(now clock.Millis, allowance float64) (used, allowed float64) {
	b.advance(now)
	first, again := 0, 0
	for i := range b.first {
		first += b.first[i]
		again += b.again[i]
	}
	return float64(again), b.ratio*float64(first) + allowance
}

// slidingSecond counts events of the last second.
type slidingSecond struct {
	times []clock.Millis
}

func (s *slidingSecond) add(now clock.Millis) {
	s.count(now) // forgets what is older
	s.times = append(s.times, now)
}

func (s *slidingSecond) allows(now clock.Millis, limit int) bool { return s.count(now) < limit }

func (s *slidingSecond) count(now clock.Millis) int {
	i := 0
	for i < len(s.times) && now-s.times[i] >= clock.Second {
		i++
	}
	s.times = s.times[i:]
	return len(s.times)
}
