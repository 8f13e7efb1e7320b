// Package limiter keeps each duty within its part of the platform's rates and
// counts its calls. The parts are explained in docs/decisions/configuration.md.
package limiter

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"

	"goldcrestshore/core/process/clock"
)

// Rates of the platform, per second, that all duties together stay within. The
// platform takes several hundred writes and about 2,000 reads.
const (
	PlatformReads  = 2000
	PlatformWrites = 300
)

// Duty names one user of the platform.
type Duty string

// Duties that call the platform.
const (
	Configuration Duty = "configuration" // watches of text and marks by relays
	Instances     Duty = "instances"     // reads of the instance list by relays
	Start         Duty = "start"         // first reads and registration of a new process
	Claims        Duty = "claims"        // claim logs
	Holders       Duty = "holders"       // duty records
	Status        Duty = "status"        // reports on processes by relays
	Burn          Duty = "burn"          // burn counts by entries
	Operators     Duty = "operators"     // goldcrestctl
)

// Part is what one duty may use over the whole fleet, in calls per second. A
// waiting watch counts as one read.
type Part struct {
	duty   Duty
	reads  float64
	writes float64
}

// Duty returns the user.
func (p Part) Duty() Duty { return p.duty }

// Reads returns the reads and watches per second.
func (p Part) Reads() float64 { return p.reads }

// Writes returns the writes per second.
func (p Part) Writes() float64 { return p.writes }

// parts divides the platform's rates.
var parts = []Part{
	{Configuration, 800, 0},
	{Instances, 400, 0},
	{Start, 300, 20},
	{Claims, 200, 175},
	{Holders, 150, 20},
	{Status, 0, 45},
	{Burn, 50, 30},
	{Operators, 100, 10},
}

// Parts returns the division of the platform's rates.
func Parts() []Part { return append([]Part(nil), parts...) }

// burstSeconds is how many seconds of its rate a duty may use at once. A
// change wakes the watches of text and marks together.
const burstSeconds = 2

// Limiter is one process's share of one duty's part. It is safe for use by
// several goroutines.
type Limiter struct {
	mu     sync.Mutex
	duty   Duty
	reads  bucket
	writes bucket
}

// Observe counts the calls from now on in counters that carry the duty.
func (l *Limiter) Observe(scope tally.Scope) {
	tagged := scope.Tagged(map[string]string{"duty": string(l.duty)})
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads.counter = tagged.Counter("platform_reads")
	l.writes.counter = tagged.Counter("platform_writes")
	refused := tagged.Counter("platform_calls_delayed")
	l.reads.refusals, l.writes.refusals = refused, refused
}

// bucket limits and counts one class of calls.
type bucket struct {
	limit   *rate.Limiter
	perDuty float64
	used    uint64
	refused uint64

	counter  tally.Counter
	refusals tally.Counter
}

// New returns the limiter of a duty that a number of processes share evenly.
func New(duty Duty, holders int) *Limiter {
	l := &Limiter{duty: duty}
	defer l.Observe(tally.NoopScope)
	for _, p := range parts {
		if p.duty == duty {
			l.reads, l.writes = newBucket(p.reads, holders), newBucket(p.writes, holders)
		}
	}
	return l
}

func newBucket(perDuty float64, holders int) bucket {
	perSecond, burst := share(perDuty, holders)
	return bucket{limit: rate.NewLimiter(perSecond, burst), perDuty: perDuty}
}

// share returns one holder's rate and burst. A process that has a part at all
// may make at least a single call.
func share(perDuty float64, holders int) (rate.Limit, int) {
	perSecond := perDuty / float64(max(holders, 1))
	burst := int(perSecond * burstSeconds)
	if perSecond > 0 {
		burst = max(burst, 1)
	}
	return rate.Limit(perSecond), burst
}

// Share divides the duty's part among another number of processes.
func (l *Limiter) Share(now clock.Millis, holders int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, b := range []*bucket{&l.reads, &l.writes} {
		if b.limit != nil {
			perSecond, burst := share(b.perDuty, holders)
			b.limit.SetLimitAt(instant(now), perSecond)
			b.limit.SetBurstAt(instant(now), burst)
		}
	}
}

// Read reports whether a read may be made now, and counts it.
func (l *Limiter) Read(now clock.Millis) bool { return l.take(&l.reads, now) }

// Write reports whether a write may be made now, and counts it.
func (l *Limiter) Write(now clock.Millis) bool { return l.take(&l.writes, now) }

func (l *Limiter) take(b *bucket, now clock.Millis) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b.limit == nil || !b.limit.AllowN(instant(now), 1) {
		b.refused++
		b.refusals.Inc(1)
		return false
	}
	b.used++
	b.counter.Inc(1)
	return true
}

func instant(at clock.Millis) time.Time { return time.UnixMilli(int64(at)) }

// Use counts the calls of a duty in one process.
type Use struct {
	Duty          Duty
	Reads, Writes uint64
	Refused       uint64
}

// Use returns the counts so far.
func (l *Limiter) Use() Use {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Use{l.duty, l.reads.used, l.writes.used, l.reads.refused + l.writes.refused}
}
