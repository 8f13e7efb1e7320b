package balance

import "goldcrestshore/core/process/clock"

const (
	// bucketsPerWindow is the number of buckets in the window of a budget.
	bucketsPerWindow = 10
	// keptBuckets is the number of buckets for which counts are kept. The oldest one
	// may have left the window in part.
	keptBuckets = bucketsPerWindow + 1
)

// othersAllowance is the part of the fixed allowance that one customer leaves to the others while they send,
// too.
const othersAllowance = 0.5

// Budget bounds the retries of a service in a sliding window to a share of the
// first sends plus a fixed allowance. A customer's retries are bounded besides, to the share of its own first
// sends plus what othersAllowance leaves of the allowance, so that requests of one customer that fail
// do not use up the retries of the others.
type Budget struct {
	ratio  float64
	window clock.Millis
	all    sends
	// customers holds the counts of those that have sent in the window.
	customers map[string]*sends
	// bucket is the number of the current bucket since time 0.
	bucket int64
}

// sends are the sends of one customer, or of all.
type sends struct {
	// first and retries are counts by bucket, indexed by the bucket number modulo keptBuckets.
	first, retries [keptBuckets]int
	// reserved is the number of retries that are allowed and not sent yet.
	reserved int
}

// NewBudget returns an unused budget.
func NewBudget(ratio float64, window clock.Millis) *Budget {
	return &Budget{ratio: ratio, window: window, customers: make(map[string]*sends)}
}

// advance clears the buckets that are too old, and removes the customers without sends.
func (b *Budget) advance(now clock.Millis) {
	bucket := int64(now / (b.window / bucketsPerWindow))
	if bucket <= b.bucket {
		return
	}
	first := max(b.bucket+1, bucket-keptBuckets+1)
	b.bucket = bucket
	b.all.clear(first, bucket)
	for customer, s := range b.customers {
		s.clear(first, bucket)
		if *s == (sends{}) {
			delete(b.customers, customer)
		}
	}
}

// clear clears the buckets with the numbers from first to last.
func (s *sends) clear(first, last int64) {
	for bucket := first; bucket <= last; bucket++ {
		s.first[bucket%keptBuckets] = 0
		s.retries[bucket%keptBuckets] = 0
	}
}

// customer returns the counts of a customer.
func (b *Budget) customer(name string) *sends {
	s := b.customers[name]
	if s == nil {
		s = &sends{}
		b.customers[name] = s
	}
	return s
}

// RecordFirstSend counts the first send of a customer's request.
func (b *Budget) RecordFirstSend(now clock.Millis, customer string) {
	b.advance(now)
	b.all.first[b.bucket%keptBuckets]++
	b.customer(customer).first[b.bucket%keptBuckets]++
}

// Reserve reports whether a customer's request may be retried, and reserves the retry if so. Each
// reservation ends with Use or Release. allowance is this entry's share of the fixed number
// of retries in a window.
func (b *Budget) Reserve(now clock.Millis, customer string, allowance float64) bool {
	if !b.usage(now, allowance).allowsOneMore() || !b.usageOf(now, customer, allowance).allowsOneMore() {
		return false
	}
	b.all.reserved++
	b.customer(customer).reserved++
	return true
}

// Use counts a reserved retry that is sent now.
func (b *Budget) Use(now clock.Millis, customer string) {
	b.advance(now)
	for _, s := range []*sends{&b.all, b.customer(customer)} {
		s.reserved--
		s.retries[b.bucket%keptBuckets]++
	}
}

// Release gives back a reserved retry that is not sent.
func (b *Budget) Release(customer string) {
	b.all.reserved--
	b.customer(customer).reserved--
}

// Usage tells how many retries were made in the window or are reserved, and how many are allowed.
type Usage struct{ Used, Allowed float64 }

func (u Usage) allowsOneMore() bool { return u.Used+1 <= u.Allowed }

// usage returns the usage by all customers.
func (b *Budget) usage(now clock.Millis, allowance float64) Usage {
	b.advance(now)
	first, retries := b.count(&b.all)
	return Usage{Used: float64(retries), Allowed: b.ratio*float64(first) + allowance}
}

// usageOf returns the usage by a customer. One that sends alone may use the whole allowance.
func (b *Budget) usageOf(now clock.Millis, customer string, allowance float64) Usage {
	b.advance(now)
	s := b.customers[customer]
	if s == nil {
		s = &sends{}
	}
	first, retries := b.count(s)
	if all, _ := b.count(&b.all); all > first {
		allowance *= 1 - othersAllowance
	}
	return Usage{Used: float64(retries), Allowed: b.ratio*float64(first) + allowance}
}

// count returns the first sends and the retries in the window. The oldest bucket may have left the window
// in part: it counts as used and earns nothing, so that no window exceeds the bound.
func (b *Budget) count(s *sends) (first, retries int) {
	oldest := int((b.bucket + 1) % keptBuckets)
	retries = s.reserved
	for i := range keptBuckets {
		retries += s.retries[i]
		if i != oldest {
			first += s.first[i]
		}
	}
	return first, retries
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
