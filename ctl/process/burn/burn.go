// Package burn reports the burn rates of the services' error budgets, computed from
// the counts that entries write to the platform.
package burn

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"goldcrestshore/core/connection/platform"
	"goldcrestshore/core/process/burn"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/version/configuration"
)

// Report holds the burn rates of each service and objective that has counts.
type Report struct {
	entries   int
	malformed int
	rows      []row
}

type row struct {
	burn.Summary
	percent float64
}

// New returns the report as of now. Services that are no longer in the
// configuration, or have no objective, are omitted.
func New(now clock.Millis, t *configuration.Configuration, objects []platform.Object) *Report {
	r := &Report{}
	var reports []burn.Report
	for _, o := range objects {
		parsed, err := burn.Parse(o.Value())
		if err != nil {
			r.malformed++
			continue
		}
		reports = append(reports, parsed)
	}
	r.entries = len(reports)
	for _, summary := range burn.Sum(now, reports) {
		s, ok := t.Service(summary.Service())
		if ok && s.Objective().Percent() > 0 {
			r.rows = append(r.rows, row{summary, s.Objective().Percent()})
		}
	}
	return r
}

// neverExhausted is printed when the budget is not exhausted at the current rate.
const neverExhausted = "not at this rate"

// WriteText writes the report as a table for operators.
func (r *Report) WriteText(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprint(table, "service\tobjective\tpromise")
	for _, window := range burn.Windows() {
		fmt.Fprintf(table, "\t%[1]s good\t%[1]s bad\t%[1]s burn", window.Name())
	}
	fmt.Fprint(table, "\tbudget exhausted in\n")
	for _, row := range r.rows {
		fmt.Fprintf(table, "%s\t%s\t%g%%", row.Service(), row.Objective(), row.percent)
		for _, window := range burn.Windows() {
			t := row.Total(window)
			fmt.Fprintf(table, "\t%d\t%d\t%.2f", t.Good(), t.Bad(), row.BurnRate(window, row.percent))
		}
		fmt.Fprintf(table, "\t%s\n", row.timeLeftText())
	}
	fmt.Fprintf(table, "\ncounts of %d entries\n", r.entries)
	if r.malformed > 0 {
		fmt.Fprintf(table, "%d malformed reports left out\n", r.malformed)
	}
	return table.Flush()
}

func (r row) timeLeftText() string {
	e := r.Exhaustion(r.percent)
	if e.Never() {
		return neverExhausted
	}
	return e.TimeLeft().Duration().String()
}

type reportJSON struct {
	Entries   int       `json:"entries"`
	Malformed int       `json:"malformed"`
	Rows      []rowJSON `json:"rows"`
}

type rowJSON struct {
	Service     string         `json:"service"`
	Objective   burn.Objective `json:"objective"`
	Percent     float64        `json:"percent"`
	Windows     []windowJSON   `json:"windows"`
	ExhaustedMs *int64         `json:"exhaustedMs"` // null if not exhausted at the current rate
}

type windowJSON struct {
	Window string  `json:"window"`
	Good   uint64  `json:"good"`
	Bad    uint64  `json:"bad"`
	Burn   float64 `json:"burn"`
}

// WriteJSON writes the report as JSON for programs.
func (r *Report) WriteJSON(w io.Writer) error {
	encoded := reportJSON{r.entries, r.malformed, []rowJSON{}}
	for _, row := range r.rows {
		encoded.Rows = append(encoded.Rows, row.encoded())
	}
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(encoded)
}

func (r row) encoded() rowJSON {
	b := rowJSON{Service: r.Service(), Objective: r.Objective(), Percent: r.percent}
	for _, window := range burn.Windows() {
		t := r.Total(window)
		b.Windows = append(b.Windows, windowJSON{window.Name(), t.Good(), t.Bad(), r.BurnRate(window, r.percent)})
	}
	if e := r.Exhaustion(r.percent); !e.Never() {
		timeLeft := int64(e.TimeLeft())
		b.ExhaustedMs = &timeLeft
	}
	return b
}
