package balance

import "goldcrestshore/core/process/clock"

// bucketsPerWindow divides the window of a budget; a request counts for at most
// one bucket longer than the window.
const bucketsPerWindow = 10

// Budget bounds how often requests of a service are sent again, as a share of
// the first sends in a sliding window and a fixed allowance.
type Budget struct {
	ratio      float64
	window     clock.Millis
	firstSends [bucketsPerWindow]int
	retries    [bucketsPerWindow]int
	bucket     int64
}

// NewBudget returns a budget with no use so far.
func NewBudget(ratio float64, window clock.Millis) *Budget {
	return &Budget{ratio: ratio, window: window}
}

func (b *Budget) advance(now clock.Millis) {
	bucket := int64(now / (b.window / bucketsPerWindow))
	if bucket-b.bucket >= bucketsPerWindow {
		b.firstSends, b.retries, b.bucket = [bucketsPerWindow]int{}, [bucketsPerWindow]int{}, bucket
		return
	}
	for b.bucket < bucket {
		b.bucket++
		b.firstSends[b.bucket%bucketsPerWindow] = 0
		b.retries[b.bucket%bucketsPerWindow] = 0
	}
}

// RecordFirstSend counts the first send of a request.
func (b *Budget) RecordFirstSend(now clock.Millis) {
	b.advance(now)
	b.firstSends[b.bucket%bucketsPerWindow]++
}

// Take reports whether a request may be sent again, and counts it. The
// allowance is this entry's part of the fixed number of repeats in a window.
func (b *Budget) Take(now clock.Millis, allowance float64) bool {
	used, allowed := b.usage(now, allowance)
	if used+1 > allowed {
		return false
	}
	b.retries[b.bucket%bucketsPerWindow]++
	return true
}

// usage returns how many requests were sent again in the window, and how many may be.
func (b *Budget) usage(now clock.Millis, allowance float64) (used, allowed float64) {
	b.advance(now)
	firstSends, retries := 0, 0
	for i := range b.firstSends {
		firstSends += b.firstSends[i]
		retries += b.retries[i]
	}
	return float64(retries), b.ratio*float64(firstSends) + allowance
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
