package forward

import (
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/uber-go/tally/v4"

	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/metric"
	"goldcrestshore/entry/request/balance"
)

// scrape returns the metrics that r serves, parsed by the Prometheus text parser.
func scrape(t *testing.T, r *metric.Registry) map[string]float64 {
	t.Helper()
	w := httptest.NewRecorder()
	r.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	body, err := io.ReadAll(w.Body)
	check.NoError(t, "read body", err)
	parser := expfmt.NewTextParser(model.LegacyValidation)
	families, err := parser.TextToMetricFamilies(strings.NewReader(string(body)))
	check.NoError(t, "parse", err)
	out := make(map[string]float64)
	for name, family := range families {
		for _, m := range family.GetMetric() {
			key := name
			for _, l := range m.GetLabel() {
				if l.GetName() != "role" && l.GetName() != "instance" {
					key += "," + l.GetName() + "=" + l.GetValue()
				}
			}
			out[key] = m.GetGauge().GetValue() + m.GetCounter().GetValue() + float64(m.GetHistogram().GetSampleCount())
		}
	}
	return out
}

// Guards against metrics that Prometheus cannot parse and against missing metrics,
// which operators on call need.
func TestScrapedMetricsAreComplete(t *testing.T) {
	r := metric.New("entry", "e")
	m := NewMetrics(r.Scope())
	m.countOutcome("answered")
	m.countRetry("stalled")
	m.recordFirstEvent(120)
	m.recordEventGap(40)
	m.recordQueueWait(12, 30)
	m.Report(balance.Status{
		Service: "s", Queued: map[int]int{2: 5}, Upstreams: map[balance.State]int{balance.Usable: 3}, MaxInactivity: 1500, Lapsed: 2,
		InFlight: 7, Limit: 9, Connections: 2, ConnectionLimit: 4, ColdSent: 1, ColdLimit: 6, Retries: balance.RetryBudget{Usage: balance.Usage{Used: 8, Allowed: 11}, Entries: 3},
	})
	check.NoError(t, "Close", r.Close())
	time.Sleep(10 * time.Millisecond) // waits for the reporter's last values
	got := scrape(t, r)
	for name, want := range map[string]float64{
		"goldcrest_requests,outcome=answered":          1,
		"goldcrest_repeats,cause=stalled":              1,
		"goldcrest_first_event_seconds":                1,
		"goldcrest_event_gap_seconds":                  1,
		"goldcrest_queue_seconds,priority=9":           1,
		"goldcrest_queue_length,priority=2,service=s":  5,
		"goldcrest_upstreams,service=s,state=usable":   3,
		"goldcrest_upstreams,service=s,state=silent":   0,
		"goldcrest_upstreams_lapsed,service=s":         2,
		"goldcrest_upstream_silence_seconds,service=s": 1.5,
		"goldcrest_held,service=s":                     7,
		"goldcrest_held_limit,service=s":               9,
		"goldcrest_connections,service=s":              2,
		"goldcrest_connections_limit,service=s":        4,
		"goldcrest_cold_sent,service=s":                1,
		"goldcrest_cold_limit,service=s":               6,
		"goldcrest_repeats_in_window,service=s":        8,
		"goldcrest_repeats_limit,service=s":            11,
		"goldcrest_entries,service=s":                  3,
	} {
		value, found := got[name]
		check.Equal(t, name+" is present", found, true)
		check.Equal(t, name, value, want)
	}
}

// Guards against requests of low priorities that wait and are not shown, and against queues that are
// shown as long as they once were.
func TestQueueLengths(t *testing.T) {
	for _, tc := range []struct {
		name   string
		queued []map[int]int
		want   map[string]float64
	}{
		{"low priorities count together", []map[int]int{{2: 5, 9: 1, 12: 3, 5000: 4}}, map[string]float64{"2": 5, "9": 8}},
		{"queue that has emptied", []map[int]int{{2: 5}, {}}, map[string]float64{"0": 0, "2": 0}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			scope := tally.NewTestScope("", nil)
			m := NewMetrics(scope)
			for _, queued := range tc.queued {
				m.Report(balance.Status{Service: "s", Queued: queued})
			}
			got := make(map[string]float64)
			for _, g := range scope.Snapshot().Gauges() {
				if g.Name() == "queue_length" {
					got[g.Tags()["priority"]] = g.Value()
				}
			}
			for priority, want := range tc.want {
				check.Equal(t, "priority "+priority, got[priority], want)
			}
		})
	}
}
