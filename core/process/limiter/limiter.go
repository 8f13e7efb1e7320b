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

// Quota is what one duty may use over the whole fleet, in calls per second. A
// waiting watch counts as one read.
type Quota struct {
	duty   Duty
	reads  float64
	writes float64
}

// Duty returns the user.
func (q Quota) Duty() Duty { return q.duty }

// Reads returns the reads and watches per second.
func (q Quota) Reads() float64 { return q.reads }

// Writes returns the writes per second.
func (q Quota) Writes() float64 { return q.writes }

// quotas divides the platform's rates.
var quotas = []Quota{
	{Configuration, 800, 0},
	{Instances, 400, 0},
	{Start, 300, 20},
	{Claims, 200, 175},
	{Holders, 150, 20},
	{Status, 0, 45},
	{Burn, 50, 30},
	{Operators, 100, 10},
}

// Quotas returns the division of the platform's rates.
func Quotas() []Quota { return append([]Quota(nil), quotas...) }

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

// Instrument counts the calls from now on in counters that carry the duty.
func (l *Limiter) Instrument(scope tally.Scope) {
	tagged := scope.Tagged(map[string]string{"duty": string(l.duty)})
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads.counter = tagged.Counter("platform_reads")
	l.writes.counter = tagged.Counter("platform_writes")
	delayed := tagged.Counter("platform_calls_delayed")
	l.reads.refusals, l.writes.refusals = delayed, delayed
}

// bucket limits and counts one class of calls.
type bucket struct {
	limiter   *rate.Limiter
	fleetRate float64
	allowed   uint64
	refused   uint64

	counter  tally.Counter
	refusals tally.Counter
}

// New returns the limiter of a duty that a number of processes share evenly.
func New(duty Duty, holders int) *Limiter {
	l := &Limiter{duty: duty}
	defer l.Instrument(tally.NoopScope)
	for _, q := range quotas {
		if q.duty == duty {
			l.reads, l.writes = newBucket(q.reads, holders), newBucket(q.writes, holders)
		}
	}
	return l
}

func newBucket(fleetRate float64, holders int) bucket {
	perSecond, burst := holderRate(fleetRate, holders)
	return bucket{limiter: rate.NewLimiter(perSecond, burst), fleetRate: fleetRate}
}

// holderRate returns one holder's rate and burst. A process that has a part at all
// may make at least a single call.
func holderRate(fleetRate float64, holders int) (rate.Limit, int) {
	perSecond := fleetRate / float64(max(holders, 1))
	burst := int(perSecond * burstSeconds)
	if perSecond > 0 {
		burst = max(burst, 1)
	}
	return rate.Limit(perSecond), burst
}

// SetHolders divides the duty's part among another number of processes.
func (l *Limiter) SetHolders(now clock.Millis, holders int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, b := range []*bucket{&l.reads, &l.writes} {
		if b.limiter != nil {
			perSecond, burst := holderRate(b.fleetRate, holders)
			b.limiter.SetLimitAt(toTime(now), perSecond)
			b.limiter.SetBurstAt(toTime(now), burst)
		}
	}
}

// AllowRead reports whether a read may be made now, and counts it.
func (l *Limiter) AllowRead(now clock.Millis) bool { return l.allow(&l.reads, now) }

// AllowWrite reports whether a write may be made now, and counts it.
func (l *Limiter) AllowWrite(now clock.Millis) bool { return l.allow(&l.writes, now) }

func (l *Limiter) allow(b *bucket, now clock.Millis) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b.limiter == nil || !b.limiter.AllowN(toTime(now), 1) {
		b.refused++
		b.refusals.Inc(1)
		return false
	}
	b.allowed++
	b.counter.Inc(1)
	return true
}

func toTime(at clock.Millis) time.Time { return time.UnixMilli(int64(at)) }

// Usage counts the calls of a duty in one process.
type Usage struct {
	Duty          Duty
	Reads, Writes uint64
	Refused       uint64
}

// Usage returns the counts so far.
func (l *Limiter) Usage() Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Usage{l.duty, l.reads.allowed, l.writes.allowed, l.reads.refused + l.writes.refused}
}
