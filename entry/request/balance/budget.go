package balance

import "goldcrestshore/core/process/clock"

const (
	// bucketsPerWindow is the number of buckets in the window of a budget.
	bucketsPerWindow = 10
	// keptBuckets is the number of buckets for which counts are kept. The oldest one
	// may have left the window in part.
	keptBuckets = bucketsPerWindow + 1
)

// Budget bounds the retries of a service in a sliding window to a share of the
// first sends plus a fixed allowance.
type Budget struct {
	ratio  float64
	window clock.Millis
	// firstSends and retries are counts by bucket, indexed by the bucket number
	// modulo keptBuckets.
	firstSends [keptBuckets]int
	retries    [keptBuckets]int
	// bucket is the number of the current bucket since time 0.
	bucket int64
	// reserved is the number of retries that are allowed and not sent yet.
	reserved int
}

// NewBudget returns an unused budget.
func NewBudget(ratio float64, window clock.Millis) *Budget {
	return &Budget{ratio: ratio, window: window}
}

// advance clears the buckets that are too old.
func (b *Budget) advance(now clock.Millis) {
	bucket := int64(now / (b.window / bucketsPerWindow))
	if bucket-b.bucket >= keptBuckets {
		b.firstSends, b.retries, b.bucket = [keptBuckets]int{}, [keptBuckets]int{}, bucket
		return
	}
	for b.bucket < bucket {
		b.bucket++
		b.firstSends[b.bucket%keptBuckets] = 0
		b.retries[b.bucket%keptBuckets] = 0
	}
}

// RecordFirstSend counts the first send of a request.
func (b *Budget) RecordFirstSend(now clock.Millis) {
	b.advance(now)
	b.firstSends[b.bucket%keptBuckets]++
}

// Reserve reports whether a request may be retried, and reserves the retry if so. Each
// reservation ends with Use or Release. allowance is this entry's share of the fixed number
// of retries in a window.
func (b *Budget) Reserve(now clock.Millis, allowance float64) bool {
	used, allowed := b.usage(now, allowance)
	if used+1 > allowed {
		return false
	}
	b.reserved++
	return true
}

// Use counts a reserved retry that is sent now.
func (b *Budget) Use(now clock.Millis) {
	b.advance(now)
	b.reserved--
	b.retries[b.bucket%keptBuckets]++
}

// Release gives back a reserved retry that is not sent.
func (b *Budget) Release() { b.reserved-- }

// usage returns how many retries were made in the window or are reserved, and how many are
// allowed. The oldest bucket counts as used and earns nothing, so that no window exceeds the
// bound.
func (b *Budget) usage(now clock.Millis, allowance float64) (used, allowed float64) {
	b.advance(now)
	oldest := int((b.bucket + 1) % keptBuckets)
	firstSends, retries := 0, b.reserved
	for i := range keptBuckets {
		retries += b.retries[i]
		if i != oldest {
			firstSends += b.firstSends[i]
		}
	}
	return float64(retries), b.ratio*float64(firstSends) + allowance
}

// slidingSecond counts events in the last second.
type slidingSecond struct {
	times []clock.Millis
}

func (s *slidingSecond) add(now clock.Millis) {
	s.count(now) // removes older events
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
