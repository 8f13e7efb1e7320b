package relay

import (
	"context"
	"math/rand/v2"

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
	// minPollInterval is the least time between reads of the lagging list. The same read
	// of the marks repairs whatever a watch has missed.
	minPollInterval = 1 * clock.Second
	// maxPollInterval bounds the age of the list in a large fleet.
	maxPollInterval = 30 * clock.Second
	// instanceBytes is the usual size of an instance in the list, and pollBytes
	// the rate in bytes per second that a source spends on reading it.
	instanceBytes      = 200
	pollBytesPerSecond = 4000
	// retryInterval is the mean wait after a failed call.
	retryInterval = 500 * clock.Millis(1)
	// limiterPollInterval is the wait for the limiter to allow a call.
	limiterPollInterval = 50 * clock.Millis(1)
)

// source reads the platform and passes on what it finds.
type source struct {
	platform *platform.Client
	clock    *clock.Clock
	limits   limits
	put      func(input) bool
}

// readInitial reads everything once, so that a new process need not wait for relays.
func (s *source) readInitial(ctx context.Context) error {
	for ctx.Err() == nil {
		err := s.readAll(ctx)
		if err == nil {
			return nil
		}
		s.backOff(ctx, err)
	}
	return nil
}

func (s *source) readAll(ctx context.Context) error {
	s.waitForLimit(ctx, s.limits.start)
	o, err := s.platform.Get(ctx, platform.KindConfiguration, platform.NameRoot)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return err
	}
	if err == nil {
		s.put(configReceived{"", o.Version(), o.Value()})
	}
	_, err = s.readInstances(ctx, s.limits.start)
	return err
}

// watchConfiguration long-polls the operators' text.
func (s *source) watchConfiguration(ctx context.Context) {
	var after uint64
	for ctx.Err() == nil {
		s.waitForLimit(ctx, s.limits.configuration)
		l, err := s.platform.Watch(ctx, platform.KindConfiguration, after, watchTimeout)
		if err != nil {
			s.backOff(ctx, err)
			continue
		}
		for _, o := range l.Objects() {
			after = max(after, o.Version())
			if o.Name() == platform.NameRoot && !o.Deleted() {
				s.put(configReceived{"", o.Version(), o.Value()})
			}
		}
	}
}

// watchDrainFlags long-polls the out marks and reads the whole set after a change.
func (s *source) watchDrainFlags(ctx context.Context) {
	var after uint64
	for ctx.Err() == nil {
		s.waitForLimit(ctx, s.limits.configuration)
		l, err := s.platform.Watch(ctx, platform.KindOut, after, watchTimeout)
		if err == nil && len(l.Objects()) > 0 {
			l, err = s.readDrainFlags(ctx)
		}
		if err != nil {
			s.backOff(ctx, err)
			continue
		}
		after = max(after, l.Version())
	}
}

func (s *source) readDrainFlags(ctx context.Context) (platform.Listing, error) {
	l, err := s.platform.List(ctx, platform.KindOut, "")
	if err != nil {
		return l, err
	}
	names := make([]string, 0, len(l.Objects()))
	for _, o := range l.Objects() {
		names = append(names, o.Name())
	}
	s.put(drainFlagsReceived{l.Version(), mark.NewSet(names...), false})
	return l, nil
}

// pollInstances reads the lagging list and the marks at times that depend on
// the length of the list. The sources of a data centre do so at different times
// and tell each other what has changed.
func (s *source) pollInstances(ctx context.Context) {
	for ctx.Err() == nil {
		n, err := s.readInstances(ctx, s.limits.instances)
		if err != nil {
			s.backOff(ctx, err)
			continue
		}
		clock.Sleep(ctx, pollInterval(n)/2+clock.Millis(rand.Int64N(int64(pollInterval(n)))))
	}
}

// pollInterval returns the mean time between two reads of a list.
func pollInterval(instances int) clock.Millis {
	return min(max(clock.Millis(instances)*instanceBytes*clock.Second/pollBytesPerSecond, minPollInterval), maxPollInterval)
}

// readInstances returns the length of the list.
func (s *source) readInstances(ctx context.Context, limit *limiter.Limiter) (int, error) {
	s.waitForLimit(ctx, limit)
	l, err := s.readDrainFlags(ctx)
	if err != nil {
		return 0, err
	}
	s.waitForLimit(ctx, limit)
	instances, err := s.platform.Instances(ctx)
	if err != nil {
		return 0, err
	}
	s.put(instancesReceived{l.Version(), instances, false})
	return len(instances), nil
}

// waitForLimit returns when the limiter allows a read or ctx is done.
func (s *source) waitForLimit(ctx context.Context, limit *limiter.Limiter) {
	for !limit.Read(s.clock.Now()) {
		if !clock.Sleep(ctx, limiterPollInterval) {
			return
		}
	}
}

// backOff reports a failed call and waits, with jitter so that processes do not
// come back to the platform at one moment.
func (s *source) backOff(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	s.put(platformCallFailed{err})
	clock.Sleep(ctx, retryInterval/2+clock.Millis(rand.Int64N(int64(retryInterval))))
}
