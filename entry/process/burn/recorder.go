// Package burn keeps an entry's counts of kept and missed objectives and writes
// them to the platform, where goldcrestctl report burn reads them.
package burn

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestshore/core/connection/platform"
	"goldcrestshore/core/process/burn"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/event"
	"goldcrestshore/core/process/limiter"
)

const (
	// DefaultInterval is the time between two writes. 350 entries write 23 times a
	// second, within the part that the limiter's table gives to this duty.
	DefaultInterval = 15 * clock.Second
	// MaxEntries is the number of entries that share the duty's rate.
	MaxEntries = 350
	// cleanupInterval is the time between two searches for reports of entries that
	// are gone.
	cleanupInterval = 30 * clock.Minute
	// reportExpiry is the age at which a report has no bucket in the longest window.
	reportExpiry = 7 * clock.Hour
	// finalWriteTimeout bounds the write of a stopping entry.
	finalWriteTimeout = 2 * time.Second
)

// Recorder counts for one entry. Exported fields are set before Run.
type Recorder struct {
	Platform *platform.Client
	Clock    *clock.Clock
	Log      *event.Log
	Instance string
	// Interval is the time between two writes.
	Interval clock.Millis
	// Limit keeps the writes within this entry's share of the platform's rates.
	Limit *limiter.Limiter
	// Elected tells whether this entry removes the reports of entries that are
	// gone; nil means never.
	Elected func() bool

	mu      sync.Mutex
	counter burn.Counter
	changed bool
	loaded  bool
}

// Count adds one request.
func (r *Recorder) Count(service string, objective burn.Objective, good bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counter.Count(r.Clock.Now(), service, objective, good)
	r.changed = true
}

// Run writes the counts until ctx is done, and once more then.
func (r *Recorder) Run(ctx context.Context) {
	writes := time.NewTicker(r.Interval.Duration())
	defer writes.Stop()
	cleanups := time.NewTicker(cleanupInterval.Duration())
	defer cleanups.Stop()
	for {
		select {
		case <-ctx.Done():
			writeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finalWriteTimeout)
			defer cancel()
			r.logError(r.write(writeCtx))
			return
		case <-writes.C:
			r.logError(r.write(ctx))
		case <-cleanups.C:
			r.logError(r.removeExpired(ctx))
		}
	}
}

func (r *Recorder) logError(err error) {
	if err != nil {
		r.Log.Error(event.PlatformFailed, err, nil)
	}
}

// write replaces this entry's report. The counts of its time before a restart
// are read first, so that they are not overwritten.
func (r *Recorder) write(ctx context.Context) error {
	if err := r.load(ctx); err != nil {
		return err
	}
	if !r.Limit.Write(r.Clock.Now()) {
		return nil // the next interval will do
	}
	value, pending := r.takeReport()
	if !pending {
		return nil
	}
	_, err := r.Platform.Put(ctx, platform.KindBurn, r.Instance, value)
	if err != nil {
		r.mu.Lock()
		r.changed = true
		r.mu.Unlock()
	}
	return err
}

// takeReport returns the report to write, if counts were added since the last one.
func (r *Recorder) takeReport() ([]byte, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.changed {
		return nil, false
	}
	r.changed = false
	return r.counter.Report(r.Instance, r.Clock.Now()).Encode(), true
}

func (r *Recorder) load(ctx context.Context) error {
	if r.loaded {
		return nil
	}
	o, err := r.Platform.Get(ctx, platform.KindBurn, r.Instance)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return err
	}
	r.loaded = true
	if err != nil {
		return nil
	}
	previous, err := burn.Parse(o.Value())
	if err != nil {
		return nil // written by another version of this program
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counter.Merge(previous)
	return nil
}

// removeExpired removes reports that no window reaches any more.
func (r *Recorder) removeExpired(ctx context.Context) error {
	if r.Elected == nil || !r.Elected() {
		return nil
	}
	l, err := r.Platform.List(ctx, platform.KindBurn, "")
	if err != nil {
		return err
	}
	for _, o := range l.Objects() {
		report, err := burn.Parse(o.Value())
		if err != nil || r.Clock.Now()-report.At() < reportExpiry {
			continue
		}
		err = r.Platform.Delete(ctx, platform.KindBurn, o.Name(), o.Version())
		if errors.Is(err, platform.ErrUnavailable) {
			return err
		}
	}
	return nil
}
