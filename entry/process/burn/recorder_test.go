package burn

import (
	"context"
	"io"
	"testing"

	"goldcrestshore/core/connection/platform"
	"goldcrestshore/core/connection/platform/fake"
	"goldcrestshore/core/process/burn"
	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/event"
	"goldcrestshore/core/process/limiter"
)

const start = 1000 * clock.Hour

func newRecorder(t *testing.T, p *platform.Client, c *clock.Clock, instance string) *Recorder {
	t.Helper()
	log, err := event.NewLog(io.Discard, "error", "entry", instance)
	check.NoError(t, "log", err)
	return &Recorder{Platform: p, Clock: c, Log: log, Instance: instance, Interval: DefaultInterval, Limit: limiter.New(limiter.Burn, 1)}
}

func checkBadCount(t *testing.T, f *fake.Platform, instance string, now clock.Millis, want uint64) {
	t.Helper()
	report, err := burn.Parse([]byte(f.Value(platform.KindBurn, instance)))
	check.NoError(t, "parse", err)
	check.Equal(t, "bad", burn.Sum(now, []burn.Report{report})[0].Total(burn.Hour).Bad(), want)
}

// Guards against counts that are lost or counted twice by an outage of the platform
// or a restart of the entry.
func TestCountsSurviveOutageAndRestart(t *testing.T) {
	f, p := fake.New(t)
	c, ctx := clock.NewManual(start), context.Background()
	first := newRecorder(t, p, c, "e")
	first.Count("s", burn.Answered, false)
	f.SetDown(true)
	check.Is(t, "write while down", first.write(ctx), platform.ErrUnavailable)
	f.SetDown(false)
	check.NoError(t, "write", first.write(ctx))
	checkBadCount(t, f, "e", start, 1)
	first.Count("s", burn.Answered, false)
	f.DropWriteResponses(1)
	check.Is(t, "lost response", first.write(ctx), platform.ErrUnavailable)
	check.NoError(t, "retried write", first.write(ctx))
	checkBadCount(t, f, "e", start, 2)
	second := newRecorder(t, p, c, "e")
	second.Count("s", burn.Answered, false)
	stopped, cancel := context.WithCancel(ctx)
	cancel()
	second.Run(stopped)
	checkBadCount(t, f, "e", start, 3)
}

// Guards against reports of replaced entries that accumulate at the platform, and
// against the removal of counts that a window still covers.
func TestRemoveExpired(t *testing.T) {
	f, p := fake.New(t)
	c, ctx := clock.NewManual(start), context.Background()
	old := newRecorder(t, p, c, "old")
	old.Count("s", burn.Answered, false)
	check.NoError(t, "write", old.write(ctx))
	remover := newRecorder(t, p, c, "remover")
	c.Advance(reportExpiry - 1)
	check.NoError(t, "remove without election", remover.removeExpired(ctx))
	remover.Elected = func() bool { return true }
	check.NoError(t, "remove before expiry", remover.removeExpired(ctx))
	check.Equal(t, "kept", f.Value(platform.KindBurn, "old") != "", true)
	c.Advance(1)
	check.NoError(t, "remove after expiry", remover.removeExpired(ctx))
	check.Equal(t, "removed", f.Value(platform.KindBurn, "old"), "")
}
