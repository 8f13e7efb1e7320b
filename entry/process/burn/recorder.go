// Package burn counts the met and missed objectives of an entry and writes the
// counts to the platform, where goldcrestctl report burn reads them.
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
	// DefaultInterval is the interval between writes. 350 entries write 23 times per
	// second in total, which is within the quota that package limiter gives to this
	// duty.
	DefaultInterval = 15 * clock.Second
	// MaxEntries is the number of entries that share the duty's quota.
	MaxEntries = 350
	// cleanupInterval is the interval between searches for expired reports of
	// terminated entries.
	cleanupInterval = 30 * clock.Minute
	// reportExpiry is the age at which a report has no bucket left in the longest
	// window.
	reportExpiry = 7 * clock.Hour
	// finalWriteTimeout bounds the last write of an entry that shuts down.
	finalWriteTimeout = 2 * time.Second
)

// Recorder counts the objectives of one entry. Exported fields must be set before
// use.
type Recorder struct {
	Platform *platform.Client
	Clock    *clock.Clock
	Log      *event.Log
	Instance string
	// Interval is the interval between writes.
	Interval clock.Millis
	// Limit keeps the writes within this entry's share of the duty's quota.
	Limit *limiter.Limiter
	// Elected reports whether this entry removes expired reports of terminated
	// entries; nil means never.
	Elected func() bool

	mu      sync.Mutex
	counter burn.Counter
	changed bool
	loaded  bool
}

// Count records whether one request met an objective.
func (r *Recorder) Count(service string, objective burn.Objective, good bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counter.Count(r.Clock.Now(), service, objective, good)
	r.changed = true
}

// Run writes the counts periodically until ctx is done, and once more after that.
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

// write replaces this entry's report. It first loads the counts from before a
// restart, so that they are not overwritten.
func (r *Recorder) write(ctx context.Context) error {
	if err := r.load(ctx); err != nil {
		return err
	}
	if !r.Limit.Write(r.Clock.Now()) {
		return nil // retried at the next interval
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

// takeReport returns the report to write, or false if no counts were added since
// the last one.
func (r *Recorder) takeReport() ([]byte, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.changed {
		return nil, false
	}
	r.changed = false
	return r.counter.Report(r.Instance, r.Clock.Now()).Encode(), true
}

// load adds the counts that this entry wrote before a restart, once.
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
		return nil // written in the format of another version
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counter.Merge(previous)
	return nil
}

// removeExpired removes reports that no window covers any more, if this entry is
// elected to do so.
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
