// Package holder acquires, holds and releases duties by conditional updates of
// their records in the platform's object API. It performs the I/O for the state
// machine in core/process/duty.
package holder

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestshore/core/connection/platform"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/duty"
	"goldcrestshore/core/process/event"
	"goldcrestshore/core/process/limiter"
)

const (
	// tickInterval is the time between two steps of the keeper, and the delay
	// before a failed call is retried.
	tickInterval = 500 * clock.Millis(1)
	// releaseTimeout bounds the writes that release the duties when the process stops.
	releaseTimeout = 2 * time.Second
)

// Holder acquires, holds and releases the duties of one process. Exported fields
// are set before Run.
type Holder struct {
	Platform *platform.Client
	Clock    *clock.Clock
	Log      *event.Log
	Limit    *limiter.Limiter
	Keeper   *duty.Keeper
	// Eligible returns the instances that may hold these duties.
	Eligible func() []string
	// OnAcquired is called when a duty is acquired under a fencing token, and OnLost
	// when one is lost or released. Both are called from Run and must not block.
	OnAcquired func(name string, fencingToken uint64)
	OnLost     func(name string)
}

// Run acquires and holds duties until ctx is done, then releases them.
func (h *Holder) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval.Duration())
	defer ticker.Stop()
	for {
		h.performAll(ctx, h.Keeper.Step(duty.Listed{At: h.Clock.Now(), Eligible: h.Eligible()}))
		select {
		case <-ctx.Done():
			releaseCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
			defer cancel()
			h.performAll(releaseCtx, h.Keeper.Step(duty.Stopping{At: h.Clock.Now()}))
			return
		case <-ticker.C:
		}
	}
}

// performAll performs actions and the further actions that their results lead to.
func (h *Holder) performAll(ctx context.Context, actions []duty.Action) {
	for len(actions) > 0 {
		a := actions[0]
		actions = append(actions[1:], h.perform(ctx, a)...)
	}
}

func (h *Holder) perform(ctx context.Context, a duty.Action) []duty.Action {
	switch a := a.(type) {
	case duty.Fetch:
		return h.readWithRetry(ctx, a)
	case duty.Write:
		return h.write(ctx, a)
	case duty.Acquired:
		h.OnAcquired(a.Duty, a.FencingToken)
	case duty.Lost:
		h.OnLost(a.Duty)
	}
	return nil
}

// readWithRetry reads a record. The keeper receives no result of a failed call;
// the call is retried every tickInterval until it succeeds or ctx is done.
func (h *Holder) readWithRetry(ctx context.Context, a duty.Fetch) []duty.Action {
	for {
		r, err := h.read(ctx, a.Duty)
		if err == nil {
			return h.Keeper.Step(r)
		}
		h.Log.Error(event.PlatformFailed, err, event.Fields{"duty": a.Duty})
		if !clock.Sleep(ctx, tickInterval) {
			return nil
		}
	}
}

func (h *Holder) read(ctx context.Context, name string) (duty.Read, error) {
	if !h.Limit.Read(h.Clock.Now()) {
		return duty.Read{}, errors.Wrap(platform.ErrUnavailable, "read budget of the duty holder is exhausted")
	}
	o, err := h.Platform.Get(ctx, platform.KindDuty, name)
	if errors.Is(err, platform.ErrNotFound) {
		return duty.Read{At: h.Clock.Now(), Duty: name}, nil
	}
	if err != nil {
		return duty.Read{}, err
	}
	record, err := duty.ParseRecord(o.Value())
	if err != nil {
		// A malformed record counts as one without a holder and is overwritten.
		record = duty.Record{}
	}
	return duty.Read{At: h.Clock.Now(), Duty: name, Version: o.Version(), Record: record}, nil
}

// write makes a conditional update. After any failure the outcome is unresolved,
// and the keeper reads the record back.
func (h *Holder) write(ctx context.Context, a duty.Write) []duty.Action {
	if !h.Limit.Write(h.Clock.Now()) {
		return h.Keeper.Step(duty.WriteUnresolved{At: h.Clock.Now(), Duty: a.Duty})
	}
	version, err := h.put(ctx, a)
	if err == nil {
		return h.Keeper.Step(duty.WriteSucceeded{At: h.Clock.Now(), Duty: a.Duty, Version: version, Record: a.Record})
	}
	if !errors.Is(err, platform.ErrConflict) {
		h.Log.Error(event.PlatformFailed, err, event.Fields{"duty": a.Duty})
	}
	clock.Sleep(ctx, tickInterval)
	return h.Keeper.Step(duty.WriteUnresolved{At: h.Clock.Now(), Duty: a.Duty})
}

func (h *Holder) put(ctx context.Context, a duty.Write) (uint64, error) {
	if a.Version == 0 {
		return h.Platform.Create(ctx, platform.KindDuty, a.Duty, a.Record.Encode())
	}
	return h.Platform.Update(ctx, platform.KindDuty, a.Duty, a.Version, a.Record.Encode())
}
