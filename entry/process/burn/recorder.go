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
	// tidyInterval is the time between two searches for reports of entries that
	// are gone.
	tidyInterval = 30 * clock.Minute
	// expiry is the age at which a report has no bucket in the longest window.
	expiry = 7 * clock.Hour
	// lastWriteTimeout bounds the write of a stopping entry.
	lastWriteTimeout = 2 * time.Second
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
	tidies := time.NewTicker(tidyInterval.Duration())
	defer tidies.Stop()
	for {
		select {
		case <-ctx.Done():
			last, cancel := context.WithTimeout(context.WithoutCancel(ctx), lastWriteTimeout)
			defer cancel()
			r.report(r.write(last))
			return
		case <-writes.C:
			r.report(r.write(ctx))
		case <-tidies.C:
			r.report(r.tidy(ctx))
		}
	}
}

func (r *Recorder) report(err error) {
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
	value, due := r.take()
	if !due {
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

// take returns the report to write, if counts were added since the last one.
func (r *Recorder) take() ([]byte, bool) {
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
	before, err := burn.Parse(o.Value())
	if err != nil {
		return nil // written by another version of this program
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counter.Merge(before)
	return nil
}

// tidy removes reports that no window reaches any more.
func (r *Recorder) tidy(ctx context.Context) error {
	if r.Elected == nil || !r.Elected() {
		return nil
	}
	l, err := r.Platform.List(ctx, platform.KindBurn, "")
	if err != nil {
		return err
	}
	for _, o := range l.Objects() {
		report, err := burn.Parse(o.Value())
		if err != nil || r.Clock.Now()-report.At() < expiry {
			continue
		}
		err = r.Platform.Delete(ctx, platform.KindBurn, o.Name(), o.Version())
		if errors.Is(err, platform.ErrUnavailable) {
			return err
		}
	}
	return nil
}
