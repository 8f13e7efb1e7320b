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

// startHolder runs a holder of one duty and returns its beliefs in order.
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
		OnAcquired: func(d string, fencingToken uint64) { transitions <- fmt.Sprint("hold ", d, " ", fencingToken) },
		OnLost:     func(d string) { transitions <- "drop " + d },
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { h.Run(ctx); close(done) }()
	return transitions, func() { cancel(); <-done }
}

// Guards against a duty that two processes keep, that a lost answer leaves
// without a holder, or that a stopping process does not give back.
func TestDutyChangesHolder(t *testing.T) {
	f, p := fake.New(t)
	f.DropWriteResponses(1)
	first, stopFirst := startHolder(t, p, "a")
	check.Equal(t, "first", <-first, "hold claim.0 1")
	second, stopSecond := startHolder(t, p, "b")
	check.Equal(t, "second", <-second, "hold claim.0 2")
	check.Equal(t, "first after it", <-first, "drop claim.0")
	stopFirst()
	stopSecond()
	check.Equal(t, "second after its stop", <-second, "drop claim.0")
	check.Equal(t, "record", f.Value(platform.KindDuty, shard), string(duty.Record{}.Encode()))
}

// Guards against a record that no process can read and so nobody may hold.
func TestMalformedRecordIsReplaced(t *testing.T) {
	f, p := fake.New(t)
	f.Set(platform.KindDuty, shard, "{")
	transitions, stop := startHolder(t, p, "a")
	defer stop()
	check.Equal(t, "belief", <-transitions, "hold claim.0 2")
}
