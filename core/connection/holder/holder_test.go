package holder

import (
	"context"
	"fmt"
	"io"
	"testing"

	"goldcrestshore/core/connection/platform"
	"goldcrestshore/core/connection/platform/fake"
	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/duty"
	"goldcrestshore/core/process/event"
	"goldcrestshore/core/process/limiter"
)

const shard = "claim.0"

// startHolder runs a holder of one duty. It returns the holder's acquisitions and
// losses in order, and a function that stops it.
func startHolder(t *testing.T, p *platform.Client, name string) (<-chan string, func()) {
	t.Helper()
	log, err := event.NewLog(io.Discard, "error", "entry", name)
	check.NoError(t, "log", err)
	transitions := make(chan string, 16)
	h := &Holder{
		Platform:   p,
		Clock:      clock.System(),
		Log:        log,
		Limit:      limiter.New(limiter.Holders, 1),
		Keeper:     duty.NewKeeper(name, 1, []string{shard}),
		Eligible:   func() []string { return []string{name} },
		OnAcquired: func(d string, fencingToken uint64) { transitions <- fmt.Sprint("acquired ", d, " ", fencingToken) },
		OnLost:     func(d string) { transitions <- "lost " + d },
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { h.Run(ctx); close(done) }()
	return transitions, func() { cancel(); <-done }
}

// Guards against a duty that two processes keep, that has no holder after the
// response to a write was lost, or that a stopping process does not release.
func TestDutyChangesHolder(t *testing.T) {
	f, p := fake.New(t)
	f.DropWriteResponses(1)
	first, stopFirst := startHolder(t, p, "a")
	check.Equal(t, "first", <-first, "acquired claim.0 1")
	second, stopSecond := startHolder(t, p, "b")
	check.Equal(t, "second", <-second, "acquired claim.0 2")
	check.Equal(t, "first after the second", <-first, "lost claim.0")
	stopFirst()
	stopSecond()
	check.Equal(t, "second after its stop", <-second, "lost claim.0")
	check.Equal(t, "record", f.Value(platform.KindDuty, shard), string(duty.Record{}.Encode()))
}

// Guards against a malformed record that prevents every process from acquiring
// the duty.
func TestMalformedRecordIsReplaced(t *testing.T) {
	f, p := fake.New(t)
	f.Set(platform.KindDuty, shard, "{")
	transitions, stop := startHolder(t, p, "a")
	defer stop()
	check.Equal(t, "transition", <-transitions, "acquired claim.0 2")
}
