package relay

import (
	"context"
	"math/rand/v2"

	"github.com/cockroachdb/errors"

	"goldcrestshore/core/connection/platform"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/limiter"
	"goldcrestshore/core/version/drainflag"
)

const (
	// watchTimeout bounds a long poll, so that one on an unresponsive connection is
	// abandoned and retried within seconds.
	watchTimeout = 2 * clock.Second
	// minPollInterval is the minimum of the mean interval between reads of the
	// lagging instance list. The drain flags are read along with the list, which
	// repairs whatever a watch has missed.
	minPollInterval = 1 * clock.Second
	// maxPollInterval bounds the age of the instance list in a large fleet.
	maxPollInterval = 30 * clock.Second
	// instanceBytes is the usual size of an instance in the list.
	instanceBytes = 200
	// pollBytesPerSecond is the rate at which a source reads the list.
	pollBytesPerSecond = 4000
	// retryInterval is the mean delay after a failed call.
	retryInterval = 500 * clock.Millis(1)
	// limiterPollInterval is the delay before the limiter is checked again.
	limiterPollInterval = 50 * clock.Millis(1)
)

// source reads the platform and passes the results to the main loop.
type source struct {
	platform *platform.Client
	clock    *clock.Clock
	limits   limits
	put      func(input) bool
}

// readInitial reads all values once, so that a new process need not wait for
// relays. It retries until it succeeds or ctx is done.
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

// watchConfiguration long-polls the configuration.
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

// watchDrainFlags long-polls the drain flags and reads the full set after a
// change.
func (s *source) watchDrainFlags(ctx context.Context) {
	var after uint64
	for ctx.Err() == nil {
		s.waitForLimit(ctx, s.limits.configuration)
		l, err := s.platform.Watch(ctx, platform.KindDrainFlag, after, watchTimeout)
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
	l, err := s.platform.List(ctx, platform.KindDrainFlag, "")
	if err != nil {
		return l, err
	}
	names := make([]string, 0, len(l.Objects()))
	for _, o := range l.Objects() {
		names = append(names, o.Name())
	}
	s.put(drainFlagsReceived{l.Version(), drainflag.NewSet(names...), false})
	return l, nil
}

// pollInstances reads the lagging instance list and the drain flags at intervals
// that depend on the length of the list. The sources of a data centre read at
// different times and push changes to each other.
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

// pollInterval returns the mean interval between reads of a list of the given
// length.
func pollInterval(instances int) clock.Millis {
	return min(max(clock.Millis(instances)*instanceBytes*clock.Second/pollBytesPerSecond, minPollInterval), maxPollInterval)
}

// readInstances reads the drain flags and the instance list, and returns the
// length of the list.
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

// waitForLimit blocks until the limiter allows a read or ctx is done.
func (s *source) waitForLimit(ctx context.Context, limit *limiter.Limiter) {
	for !limit.Read(s.clock.Now()) {
		if !clock.Sleep(ctx, limiterPollInterval) {
			return
		}
	}
}

// backOff reports a failed call and waits, with jitter so that processes do not
// retry at the same moment. A call without a response has taken long enough: it may be the
// only one that was lost, and is repeated at once.
func (s *source) backOff(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	s.put(platformCallFailed{err})
	if errors.Is(err, context.DeadlineExceeded) {
		return
	}
	clock.Sleep(ctx, retryInterval/2+clock.Millis(rand.Int64N(int64(retryInterval))))
}
