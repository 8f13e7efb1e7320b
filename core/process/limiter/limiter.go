// Package limiter keeps the calls of each duty within its quota of the platform's
// rates and counts them. The quotas are explained in docs/decisions/configuration.md.
package limiter

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"

	"goldcrestshore/core/process/clock"
)

// Limits of the calls per second of all duties together. The platform handles
// several hundred writes and about 2,000 reads per second.
const (
	PlatformReads  = 2000
	PlatformWrites = 300
)

// Duty identifies a kind of platform use.
type Duty string

// Duties that call the platform.
const (
	Configuration Duty = "configuration" // watches of the configuration and drain flags by relays
	Instances     Duty = "instances"     // reads of the instance list by relays
	Start         Duty = "start"         // initial reads and registration of a new process
	Claims        Duty = "claims"        // claim logs
	Holders       Duty = "holders"       // duty records
	Status        Duty = "status"        // process status reports by relays
	Burn          Duty = "burn"          // burn reports by entries
	Operators     Duty = "operators"     // goldcrestctl
)

// Quota is the number of calls per second that one duty may make over the whole
// fleet. A watch that is waiting counts as one read.
type Quota struct {
	duty   Duty
	reads  float64
	writes float64
}

// Duty returns the duty that the quota is for.
func (q Quota) Duty() Duty { return q.duty }

// Reads returns the reads and watches per second.
func (q Quota) Reads() float64 { return q.reads }

// Writes returns the writes per second.
func (q Quota) Writes() float64 { return q.writes }

// quotas divides the platform's rates among the duties.
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

// Quotas returns the quotas of all duties.
func Quotas() []Quota { return append([]Quota(nil), quotas...) }

// burstSeconds is the burst of a duty in seconds of its rate. A change completes
// all watches of the configuration and drain flags at the same time.
const burstSeconds = 2

// Limiter enforces one process's share of the quota of one duty. It is safe for
// concurrent use.
type Limiter struct {
	mu     sync.Mutex
	duty   Duty
	reads  bucket
	writes bucket
}

// Instrument counts the calls from now on in metrics of scope that are tagged with
// the duty.
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

// New returns the Limiter of a duty whose quota is shared evenly by a number of
// processes.
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

// holderRate returns the rate and burst of one holder. The burst allows at least one
// call if the duty has a quota at all.
func holderRate(fleetRate float64, holders int) (rate.Limit, int) {
	perSecond := fleetRate / float64(max(holders, 1))
	burst := int(perSecond * burstSeconds)
	if perSecond > 0 {
		burst = max(burst, 1)
	}
	return rate.Limit(perSecond), burst
}

// SetHolders changes the number of processes that share the duty's quota.
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

// Read reports whether a read is allowed at now, and counts it.
func (l *Limiter) Read(now clock.Millis) bool { return l.allow(&l.reads, now) }

// Write reports whether a write is allowed at now, and counts it.
func (l *Limiter) Write(now clock.Millis) bool { return l.allow(&l.writes, now) }

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

// Usage contains the numbers of calls of a duty in one process.
type Usage struct {
	Duty          Duty
	Reads, Writes uint64
	Refused       uint64
}

// Usage returns the numbers of calls so far.
func (l *Limiter) Usage() Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Usage{l.duty, l.reads.allowed, l.writes.allowed, l.reads.refused + l.writes.refused}
}
