package burn

import (
	"testing"

	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/clock"
)

const start = 1000 * clock.Hour

// count adds n requests with the same outcome.
func count(c *Counter, at clock.Millis, n int, good bool) {
	for range n {
		c.Count(at, "redactor", FirstToken, good)
	}
}

func assertTotal(t *testing.T, what string, got Total, good, bad uint64) {
	t.Helper()
	check.Equal(t, what, got, Total{good, bad})
}

// Guards against requests that are counted in a window for too long or too short.
func TestWindows(t *testing.T) {
	var c Counter
	count(&c, start, 3, false)
	sum := func(now clock.Millis) Summary { return Sum(now, []Report{c.Report("e", now)})[0] }
	for _, w := range Windows() {
		assertTotal(t, w.Name()+" immediately", sum(start).Total(w), 0, 3)
		assertTotal(t, w.Name()+" at the end of the window", sum(start+w.Length()).Total(w), 0, 3)
		assertTotal(t, w.Name()+" one bucket later", sum(start+w.Length()+windowSpecs[w].bucket).Total(w), 0, 0)
	}
}

// Guards against a counter that grows without bound over time or with the number
// of services.
func TestCounterIsBounded(t *testing.T) {
	var c Counter
	for at := start; at < start+24*clock.Hour; at += clock.Minute {
		count(&c, at, 1, true)
	}
	r := c.Report("e", start+24*clock.Hour)
	for w := range r.rows[key{"redactor", FirstToken}] {
		check.Equal(t, "buckets", len(r.rows[key{"redactor", FirstToken}][w]), windowSpecs[w].buckets)
	}
	check.AtMost(t, "bytes of a row", len(r.Encode()), 1024)
	for i := range 2 * maxRows {
		c.Count(start, string(rune(i)), Answered, true)
	}
	check.Equal(t, "rows", len(c.rows), maxRows)
}

// Guards against counts that are lost when an entry restarts, or when the reports
// of several entries are added up.
func TestSumOfReports(t *testing.T) {
	var before, after, otherEntry Counter
	count(&before, start, 5, true)
	written, err := Parse(before.Report("e1", start).Encode())
	check.NoError(t, "parse", err)
	after.Merge(written)
	count(&after, start+clock.Minute, 2, false)
	count(&otherEntry, start, 10, true)
	summaries := Sum(start+clock.Minute, []Report{after.Report("e1", 0), otherEntry.Report("e2", 0)})
	check.Equal(t, "summaries", len(summaries), 1)
	assertTotal(t, "total", summaries[0].Total(Hour), 15, 2)
	_, err = Parse([]byte(`{"rows":[{"service":"x"}]}`))
	check.Is(t, "malformed", err, ErrMalformed)
}

// Guards against a report that shares its buckets with the counter and changes with
// later requests.
func TestReportIsACopy(t *testing.T) {
	var c Counter
	count(&c, start, 1, true)
	r := c.Report("e", start)
	count(&c, start, 1, true)
	assertTotal(t, "total", Sum(start, []Report{r})[0].Total(Hour), 1, 0)
}

// Guards against a wrong estimate of when the error budget is exhausted.
func TestExhaustion(t *testing.T) {
	// 6 hours with 1,000 requests per half hour, then 5 minutes with misses.
	summary := func(misses int) Summary {
		var c Counter
		for at := start; at < start+6*clock.Hour; at += 30 * clock.Minute {
			count(&c, at, 1000, true)
		}
		now := start + 6*clock.Hour
		count(&c, now, 100-misses, true)
		count(&c, now, misses, false)
		return Sum(now, []Report{c.Report("e", now)})[0]
	}
	t.Run("within the objective", func(t *testing.T) {
		check.Equal(t, "never", summary(5).Exhaustion(95).Never(), true)
		check.Equal(t, "rate", summary(5).BurnRate(FiveMinutes, 95) < 1.001, true)
	})
	t.Run("beyond the objective", func(t *testing.T) {
		// 5% of 12,100 requests allow 605 misses; 505 remain after 100 misses.
		// Each 5 minutes use 100 and add 5.
		got := summary(100).Exhaustion(95)
		check.Equal(t, "never", got.Never(), false)
		check.Equal(t, "minutes", got.TimeLeft()/clock.Minute, 26)
		check.Equal(t, "rate", int(summary(100).BurnRate(FiveMinutes, 95)+0.5), 20)
	})
	t.Run("exhausted", func(t *testing.T) {
		check.Equal(t, "time left", summary(100).Exhaustion(99.9), Exhaustion{})
	})
	t.Run("target without a budget", func(t *testing.T) {
		check.Equal(t, "time left", summary(1).Exhaustion(100), Exhaustion{})
		check.Equal(t, "rate", summary(1).BurnRate(FiveMinutes, 100), 100.0)
	})
	t.Run("no requests", func(t *testing.T) {
		check.Equal(t, "never", Summary{}.Exhaustion(95).Never(), true)
		check.Equal(t, "rate", Summary{}.BurnRate(Hour, 95), 0.0)
	})
}
