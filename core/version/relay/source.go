package relay

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestshore/core/connection/platform"
	"goldcrestshore/core/process/clock"
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
)

// source reads the platform and passes on what it finds.
type source struct {
	platform *platform.Client
	put      func(input) bool
}

// watchConfiguration long-polls the operators' text.
func (s *source) watchConfiguration(ctx context.Context) error {
	var after uint64
	for ctx.Err() == nil {
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
	return ctx.Err()
}

// watchMarks long-polls the out marks and reads the whole set after a change.
func (s *source) watchMarks(ctx context.Context) error {
	var after uint64
	for ctx.Err() == nil {
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
	return ctx.Err()
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
	s.put(marked{l.Version(), mark.NewSet(names...)})
	return l, nil
}

// pollInstances reads the lagging list and the marks at regular times.
func (s *source) pollInstances(ctx context.Context) error {
	ticker := time.NewTicker(pollInterval.Duration())
	defer ticker.Stop()
	for {
		if err := s.readInstances(ctx); err != nil {
			s.pause(ctx, err)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

func (s *source) readInstances(ctx context.Context) error {
	l, err := s.readMarks(ctx)
	if err != nil {
		return err
	}
	list, err := s.platform.Instances(ctx)
	if err != nil {
		return err
	}
	s.put(listed{l.Version(), list})
	return nil
}

// pause reports a failed call and waits, with jitter so that processes do not
// come back to the platform at one moment.
func (s *source) pause(ctx context.Context, err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	s.put(failed{err})
	wait := retryWait/2 + clock.Millis(rand.Int64N(int64(retryWait)))
	timer := time.NewTimer(wait.Duration())
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
