package supervise

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/event"
)

// supervised is a duty that panics in some of its runs.
type supervised struct {
	supervisor Supervisor
	log        bytes.Buffer
	runs       []time.Duration
	counted    int
	start      time.Time
}

func newSupervised(t *testing.T) *supervised {
	t.Helper()
	s := &supervised{start: time.Now()}
	log, err := event.NewLog(&s.log, "info", "test", "t")
	check.NoError(t, "NewLog", err)
	s.supervisor = Supervisor{Clock: clock.System(), Log: log, Count: func(string) { s.counted++ }}
	return s
}

// run runs a duty that calls f with the number of the run, from 1.
func (s *supervised) run(ctx context.Context, f func(n int)) {
	s.supervisor.Run(ctx, "maps", func(context.Context) {
		s.runs = append(s.runs, time.Since(s.start))
		f(len(s.runs))
	})
}

func TestRun(t *testing.T) {
	// Guards against a process that ends because one of its duties panics, or that goes on
	// without it, and against panics that leave no trace in the log.
	t.Run("restarts a duty", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := newSupervised(t)
			s.run(t.Context(), func(n int) {
				if n < 3 {
					Each(2, func(i int) { _ = make([]int, i)[2] })
				}
			})
			check.Equal(t, "runs", len(s.runs), 3)
			check.Equal(t, "counted panics", s.counted, 2)
			check.Equal(t, "second run after ms", s.runs[1].Milliseconds(), 100)
			check.Equal(t, "third run after ms", s.runs[2].Milliseconds(), 300)
			check.Equal(t, "log lines", strings.Count(s.log.String(), `"event":1004`), 2)
			check.Equal(t, "stack of the panic", strings.Contains(s.log.String(), "TestRun"), true)
			check.Equal(t, "cause", strings.Contains(s.log.String(), "index out of range"), true)
		})
	})
	// Guards against a duty that panics again and again, which costs time that requests need.
	t.Run("gives up", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := newSupervised(t)
			s.run(t.Context(), func(int) { panic("always") })
			check.Equal(t, "runs", len(s.runs), 1+maxRestarts)
			check.Equal(t, "log lines", strings.Count(s.log.String(), `"event":1005`), 1)
		})
	})
	// Guards against a duty that stays down for panics of long ago.
	t.Run("old panics don't count", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := newSupervised(t)
			s.run(t.Context(), func(n int) {
				time.Sleep((restartWindow / 4).Duration())
				if n <= 3*maxRestarts {
					panic("at times")
				}
			})
			check.Equal(t, "runs", len(s.runs), 3*maxRestarts+1)
		})
	})
	// Guards against a duty that is restarted while the process stops.
	t.Run("stops", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s := newSupervised(t)
			ctx, cancel := context.WithCancel(t.Context())
			s.run(ctx, func(int) {
				cancel()
				panic("while it stops")
			})
			check.Equal(t, "runs", len(s.runs), 1)
		})
	})
}

// Guards against calls that are left running, or results that are missing, when one panics.
func TestEach(t *testing.T) {
	done := make([]bool, 3)
	p := call(func() {
		Each(len(done), func(i int) {
			if i == 1 {
				panic("one")
			}
			done[i] = true
		})
	})
	check.Equal(t, "panic", p != nil && p.Error() == "panic: one", true)
	check.Equal(t, "other calls", done[0] && done[2], true)
}
