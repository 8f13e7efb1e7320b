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

// Range of the latency histograms in microseconds, up to ten minutes, and their
// precision.
const (
	lowestMicros      = 1
	highestMicros     = 600_000_000
	significantDigits = 3
)

// maxDetails limits the failure descriptions printed for each verdict, by the slow
// readers and by the comparison with the ledgers.
const maxDetails = 10

// latencies holds the latency distributions of a window, a customer or the whole run.
type latencies struct {
	firstToken    *hdrhistogram.Histogram
	betweenTokens *hdrhistogram.Histogram
	whole         *hdrhistogram.Histogram
}

func newLatencies() *latencies {
	newHistogram := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(lowestMicros, highestMicros, significantDigits)
	}
	return &latencies{newHistogram(), newHistogram(), newHistogram()}
}

func (t *latencies) add(n timing) {
	if n.firstToken > 0 {
		_ = t.firstToken.RecordValue(n.firstToken)
	}
	for _, b := range n.betweenTokens {
		_ = t.betweenTokens.RecordValue(b)
	}
	_ = t.whole.RecordValue(n.whole)
}

func (t *latencies) reset() {
	t.firstToken.Reset()
	t.betweenTokens.Reset()
	t.whole.Reset()
}

// String returns the percentiles in milliseconds.
func (t *latencies) String() string {
	return "firstTokenMs " + percentiles(t.firstToken) + " betweenTokensMs " + percentiles(t.betweenTokens) +
		" wholeMs " + percentiles(t.whole)
}

func percentiles(h *hdrhistogram.Histogram) string {
	return fmt.Sprintf("p50=%.1f p95=%.1f p99=%.1f", millis(h, 50), millis(h, 95), millis(h, 99))
}

func millis(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtPercentile(percentile)) / 1000
}

// tally counts the results of a run.
type tally struct {
	mu              sync.Mutex
	out             io.Writer
	start           time.Time
	counts          [numVerdicts]int
	window          [numVerdicts]int
	skipped         int
	retried         int
	codes           map[outcome.Code]int
	detailsPrinted  [numVerdicts]int
	total           *latencies
	windowLatencies *latencies
	customer        map[string]*latencies
}

func newTally(out io.Writer) *tally {
	return &tally{
		out: out, start: time.Now(), codes: map[outcome.Code]int{},
		total: newLatencies(), windowLatencies: newLatencies(), customer: map[string]*latencies{},
	}
}

// add records the final result of a request.
func (t *tally) add(r *request, last result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.count(last)
	t.printDetail(r, last)
	if last.verdict != OK && last.verdict != Late {
		return
	}
	t.total.add(last.timing)
	t.windowLatencies.add(last.timing)
	if t.customer[r.customer.Name] == nil {
		t.customer[r.customer.Name] = newLatencies()
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

// printDetail prints the first maxDetails failures of each verdict. Refusals with
// the outcome not-run are not printed.
func (t *tally) printDetail(r *request, last result) {
	if last.verdict == OK || last.verdict == Late || last.verdict == NotRun || t.detailsPrinted[last.verdict] == maxDetails {
		return
	}
	t.detailsPrinted[last.verdict]++
	fmt.Fprintf(t.out, "%s %s request %d of %s: %s\n", last.verdict, r.kind, r.number, r.customer.Name, last.detail)
}

func (t *tally) countSkipped() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.skipped++
}

func (t *tally) countRetried() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.retried++
}

// printWindow prints the results since the previous call and resets the window.
func (t *tally) printWindow() {
	t.mu.Lock()
	defer t.mu.Unlock()
	fmt.Fprintf(t.out, "window atMs=%d %s %s\n", time.Since(t.start).Milliseconds(), verdictCounts(t.window), t.windowLatencies)
	t.window = [numVerdicts]int{}
	t.windowLatencies.reset()
}

func verdictCounts(counts [numVerdicts]int) string {
	parts := make([]string, 0, numVerdicts)
	for v, n := range counts {
		parts = append(parts, fmt.Sprintf("%s=%d", Verdict(v), n))
	}
	return strings.Join(parts, " ")
}

// printDetails prints the latencies of each customer, the refusal codes and the totals.
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

// requests returns the number of finished requests.
func (t *tally) requests() int {
	n := 0
	for _, c := range t.counts {
		n += c
	}
	return n
}
