package relay

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestshore/core/connection/platform"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/limiter"
	"goldcrestshore/core/version/mark"
)

const (
	// watchTimeout bounds a long poll, so that one on a connection that went
	// silent is given up and repeated within seconds.
	watchTimeout = 2 * clock.Second
	// pollInterval is the time between reads of the lagging list. The same read
	// of the marks repairs whatever a watch has missed.
	pollInterval = 1 * clock.Second
	// retryWait is the mean wait after a failed call.
	retryWait = 500 * clock.Millis(1)
	// limitWait is the wait for the limiter to allow a call.
	limitWait = 50 * clock.Millis(1)
)

// source reads the platform and passes on what it finds.
type source struct {
	platform *platform.Client
	clock    *clock.Clock
	limits   limits
	put      func(input) bool
}

// first reads everything once, so that a new process need not wait for relays.
func (s *source) first(ctx context.Context) error {
	for ctx.Err() == nil {
		err := s.readAll(ctx)
		if err == nil {
			return nil
		}
		s.pause(ctx, err)
	}
	return nil
}

func (s *source) readAll(ctx context.Context) error {
	s.wait(ctx, s.limits.start)
	o, err := s.platform.Get(ctx, platform.KindConfiguration, platform.NameRoot)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return err
	}
	if err == nil {
		s.put(offered{"", o.Version(), o.Value()})
	}
	return s.readInstances(ctx, s.limits.start)
}

// watchConfiguration long-polls the operators' text.
func (s *source) watchConfiguration(ctx context.Context) {
	var after uint64
	for ctx.Err() == nil {
		s.wait(ctx, s.limits.configuration)
		l, err := s.platform.Watch(ctx, platform.KindConfiguration, after, watchTimeout)
		if err != nil {
			s.pause(ctx, err)
			continue
		}
		for _, o := range l.Objects() {
			after = max(after, o.Version())
			if o.Name() == platform.NameRoot && !o.Deleted() {
				s.put(offered{"", o.Version(), o.Value()})
			}
		}
	}
}

// watchMarks long-polls the out marks and reads the whole set after a change.
func (s *source) watchMarks(ctx context.Context) {
	var after uint64
	for ctx.Err() == nil {
		s.wait(ctx, s.limits.configuration)
		l, err := s.platform.Watch(ctx, platform.KindOut, after, watchTimeout)
		if err == nil && len(l.Objects()) > 0 {
			l, err = s.readMarks(ctx)
		}
		if err != nil {
			s.pause(ctx, err)
			continue
		}
		after = max(after, l.Version())
	}
}

func (s *source) readMarks(ctx context.Context) (platform.Listing, error) {
	l, err := s.platform.List(ctx, platform.KindOut, "")
	if err != nil {
		return l, err
	}
	names := make([]string, 0, len(l.Objects()))
	for _, o := range l.Objects() {
		names = append(names, o.Name())
	}
	s.put(marked{l.Version(), mark.NewSet(names...), false})
	return l, nil
}

// pollInstances reads the lagging list and the marks at regular times.
func (s *source) pollInstances(ctx context.Context) {
	ticker := time.NewTicker(pollInterval.Duration())
	defer ticker.Stop()
	for {
		if err := s.readInstances(ctx, s.limits.instances); err != nil {
			s.pause(ctx, err)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (s *source) readInstances(ctx context.Context, limit *limiter.Limiter) error {
	s.wait(ctx, limit)
	l, err := s.readMarks(ctx)
	if err != nil {
		return err
	}
	s.wait(ctx, limit)
	list, err := s.platform.Instances(ctx)
	if err != nil {
		return err
	}
	s.put(listed{l.Version(), list, false})
	return nil
}

// wait returns when the limiter allows a read or ctx is done.
func (s *source) wait(ctx context.Context, limit *limiter.Limiter) {
	for !limit.Read(s.clock.Now()) {
		if !sleep(ctx, limitWait) {
			return
		}
	}
}

// pause reports a failed call and waits, with jitter so that processes do not
// come back to the platform at one moment.
func (s *source) pause(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	s.put(failed{err})
	sleep(ctx, retryWait/2+clock.Millis(rand.Int64N(int64(retryWait))))
}

// sleep reports whether the time passed before ctx was done.
func sleep(ctx context.Context, d clock.Millis) bool {
	timer := time.NewTimer(d.Duration())
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
