package load

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"goldcrestshore/core/request/outcome"
)

// Histograms hold microseconds up to ten minutes.
const (
	lowestMicros  = 1
	highestMicros = 600_000_000
	digits        = 3
)

// maxDetails bounds the printed descriptions of each verdict.
const maxDetails = 10

// times are the distributions of one window or of the run.
type times struct {
	firstToken *hdrhistogram.Histogram
	between    *hdrhistogram.Histogram
	whole      *hdrhistogram.Histogram
}

func newTimes() *times {
	fresh := func() *hdrhistogram.Histogram { return hdrhistogram.New(lowestMicros, highestMicros, digits) }
	return &times{fresh(), fresh(), fresh()}
}

func (t *times) add(n timing) {
	if n.firstToken > 0 {
		_ = t.firstToken.RecordValue(n.firstToken)
	}
	for _, b := range n.between {
		_ = t.between.RecordValue(b)
	}
	_ = t.whole.RecordValue(n.whole)
}

func (t *times) reset() {
	t.firstToken.Reset()
	t.between.Reset()
	t.whole.Reset()
}

// String lists percentiles in milliseconds.
func (t *times) String() string {
	return "firstTokenMs " + percentiles(t.firstToken) + " betweenTokensMs " + percentiles(t.between) +
		" wholeMs " + percentiles(t.whole)
}

func percentiles(h *hdrhistogram.Histogram) string {
	return fmt.Sprintf("p50=%.1f p95=%.1f p99=%.1f", millis(h, 50), millis(h, 95), millis(h, 99))
}

func millis(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtPercentile(percentile)) / 1000
}

// tally collects the results of a run.
type tally struct {
	mu       sync.Mutex
	out      io.Writer
	start    time.Time
	counts   [verdicts]int
	window   [verdicts]int
	skipped  int
	retried  int
	codes    map[outcome.Code]int
	details  [verdicts]int
	total    *times
	recent   *times
	customer map[string]*times
}

func newTally(out io.Writer) *tally {
	return &tally{
		out: out, start: time.Now(), codes: map[outcome.Code]int{},
		total: newTimes(), recent: newTimes(), customer: map[string]*times{},
	}
}

// add counts the final result of a request.
func (t *tally) add(r *request, last result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.count(last)
	t.describe(r, last)
	if last.verdict != OK && last.verdict != Late {
		return
	}
	t.total.add(last.timing)
	t.recent.add(last.timing)
	if t.customer[r.customer.Name] == nil {
		t.customer[r.customer.Name] = newTimes()
	}
	t.customer[r.customer.Name].add(last.timing)
}

func (t *tally) count(last result) {
	t.counts[last.verdict]++
	t.window[last.verdict]++
	if last.code != "" {
		t.codes[last.code]++
	}
}

// describe prints the first cases of each verdict that is not a plain refusal.
func (t *tally) describe(r *request, last result) {
	if last.verdict == OK || last.verdict == Late || last.verdict == NotRun || t.details[last.verdict] == maxDetails {
		return
	}
	t.details[last.verdict]++
	fmt.Fprintf(t.out, "%s %s request %d of %s: %s\n", last.verdict, r.kind, r.number, r.customer.Name, last.detail)
}

func (t *tally) skip() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.skipped++
}

func (t *tally) retry() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.retried++
}

// printWindow prints the results since the previous call.
func (t *tally) printWindow() {
	t.mu.Lock()
	defer t.mu.Unlock()
	fmt.Fprintf(t.out, "window atMs=%d %s %s\n", time.Since(t.start).Milliseconds(), verdictCounts(t.window), t.recent)
	t.window = [verdicts]int{}
	t.recent.reset()
}

func verdictCounts(counts [verdicts]int) string {
	parts := make([]string, 0, verdicts)
	for v, n := range counts {
		parts = append(parts, fmt.Sprintf("%s=%d", Verdict(v), n))
	}
	return strings.Join(parts, " ")
}

// printDetails prints the times of each customer and the refusal codes.
func (t *tally) printDetails() {
	t.mu.Lock()
	defer t.mu.Unlock()
	names := make([]string, 0, len(t.customer))
	for name := range t.customer {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		fmt.Fprintf(t.out, "customer %s answered=%d %s\n", name, t.customer[name].whole.TotalCount(), t.customer[name])
	}
	codes := make([]string, 0, len(t.codes))
	for code := range t.codes {
		codes = append(codes, string(code))
	}
	sort.Strings(codes)
	for _, code := range codes {
		fmt.Fprintf(t.out, "refused code=%s count=%d\n", code, t.codes[outcome.Code(code)])
	}
	fmt.Fprintf(t.out, "all skipped=%d retried=%d %s\n", t.skipped, t.retried, t.total)
}

// requests returns the number of requests that ended.
func (t *tally) requests() int {
	n := 0
	for _, c := range t.counts {
		n += c
	}
	return n
}
