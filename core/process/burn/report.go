package burn

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"goldcrestshore/core/process/clock"
)

// ErrMalformed is returned by Parse for a malformed report.
var ErrMalformed = errors.New("burn report is malformed")

// Report contains the counts of one entry, as stored in the platform.
type Report struct {
	entry string
	at    clock.Millis
	rows  map[key]*row
}

// Entry returns the name of the entry that counted the requests.
func (r Report) Entry() string { return r.entry }

// At returns the time of the report.
func (r Report) At() clock.Millis { return r.at }

type reportJSON struct {
	Entry string    `json:"entry"`
	AtMs  int64     `json:"atMs"`
	Rows  []rowJSON `json:"rows"`
}

type rowJSON struct {
	Service   string        `json:"service"`
	Objective Objective     `json:"objective"`
	Buckets   [][][3]uint64 `json:"buckets"` // per window: index, good, bad
}

// Encode returns the report as JSON. Equal reports have equal encodings.
func (r Report) Encode() []byte {
	encoded := reportJSON{Entry: r.entry, AtMs: int64(r.at), Rows: []rowJSON{}}
	for k, counted := range r.rows {
		encoded.Rows = append(encoded.Rows, rowJSON{k.service, k.objective, encodeRow(counted)})
	}
	slices.SortFunc(encoded.Rows, func(a, b rowJSON) int {
		if c := strings.Compare(a.Service, b.Service); c != 0 {
			return c
		}
		return strings.Compare(string(a.Objective), string(b.Objective))
	})
	raw, err := json.Marshal(encoded)
	if err != nil {
		panic(err) // marshaling these types cannot fail
	}
	return raw
}

func encodeRow(r *row) [][][3]uint64 {
	encoded := make([][][3]uint64, windowCount)
	for w := range r {
		encoded[w] = make([][3]uint64, 0, len(r[w]))
		for _, b := range r[w] {
			encoded[w] = append(encoded[w], [3]uint64{uint64(b.index), b.good, b.bad})
		}
	}
	return encoded
}

// Parse decodes a report encoded by Encode.
func Parse(raw []byte) (Report, error) {
	var decoded reportJSON
	if err := json.Unmarshal(raw, &decoded); err != nil {
		return Report{}, errors.Wrapf(ErrMalformed, "%v", err)
	}
	r := Report{decoded.Entry, clock.Millis(decoded.AtMs), map[key]*row{}}
	for _, decodedRow := range decoded.Rows {
		if len(decodedRow.Buckets) != int(windowCount) || len(r.rows) >= maxRows {
			return Report{}, errors.Wrapf(ErrMalformed, "row of service %q", decodedRow.Service)
		}
		parsed := new(row)
		for w := range decodedRow.Buckets {
			for _, counts := range decodedRow.Buckets[w] {
				parsed.add(w, bucket{int64(counts[0]), counts[1], counts[2]})
			}
		}
		r.rows[key{decodedRow.Service, decodedRow.Objective}] = parsed
	}
	return r, nil
}

// Total is the number of requests of one window.
type Total struct {
	good uint64
	bad  uint64
}

// Good returns the number of requests that met the objective.
func (t Total) Good() uint64 { return t.good }

// Bad returns the number of requests that missed the objective.
func (t Total) Bad() uint64 { return t.bad }

// Summary contains the counts of one service and objective over all entries.
type Summary struct {
	service   string
	objective Objective
	totals    [windowCount]Total
}

// Service returns the name of the service.
func (s Summary) Service() string { return s.service }

// Objective returns the objective.
func (s Summary) Objective() Objective { return s.objective }

// Total returns the counts of a window.
func (s Summary) Total(w Window) Total { return s.totals[w] }

// Sum adds up the reports of all entries over the windows that end at now. The
// summaries are sorted by service and objective.
func Sum(now clock.Millis, reports []Report) []Summary {
	summaries := map[key]*Summary{}
	for _, r := range reports {
		for k, counted := range r.rows {
			s := summaries[k]
			if s == nil {
				s = &Summary{service: k.service, objective: k.objective}
				summaries[k] = s
			}
			s.add(now, counted)
		}
	}
	return sortedSummaries(summaries)
}

func (s *Summary) add(now clock.Millis, counted *row) {
	for w := range counted {
		for _, b := range counted[w] {
			if clock.Millis(b.index+1)*windowSpecs[w].bucket > now-windowSpecs[w].length {
				s.totals[w].good += b.good
				s.totals[w].bad += b.bad
			}
		}
	}
}

func sortedSummaries(summaries map[key]*Summary) []Summary {
	list := make([]Summary, 0, len(summaries))
	for _, s := range summaries {
		list = append(list, *s)
	}
	slices.SortFunc(list, func(a, b Summary) int {
		if c := strings.Compare(a.service, b.service); c != 0 {
			return c
		}
		return strings.Compare(string(a.objective), string(b.objective))
	})
	return list
}

// BurnRate returns the ratio of the missed requests of a window to those that the
// error budget allows; a rate of 1 uses up the budget exactly. targetPercent is the
// share of requests that must meet the objective.
func (s Summary) BurnRate(w Window, targetPercent float64) float64 {
	t := s.totals[w]
	requests := t.good + t.bad
	if requests == 0 || t.bad == 0 {
		return 0
	}
	allowed := (100 - targetPercent) / 100 * float64(requests)
	if allowed <= 0 {
		// A target of 100% has no error budget: any miss exceeds it.
		return float64(requests)
	}
	return float64(t.bad) / allowed
}

// Exhaustion is the time until the error budget is used up.
type Exhaustion struct {
	never    bool
	timeLeft clock.Millis
}

// Never reports whether the budget lasts indefinitely at the current burn rate.
func (e Exhaustion) Never() bool { return e.never }

// TimeLeft returns the time left, 0 if the budget is exhausted.
func (e Exhaustion) TimeLeft() clock.Millis { return e.timeLeft }

// Exhaustion returns how long the error budget of the last 6 hours lasts if the
// request and miss rates of the last 5 minutes continue. New requests also add to
// the budget, so a service whose burn rate is at most 1 never exhausts it.
func (s Summary) Exhaustion(targetPercent float64) Exhaustion {
	allowedFraction := (100 - targetPercent) / 100
	longWindow, shortWindow := s.totals[SixHours], s.totals[FiveMinutes]
	remaining := allowedFraction*float64(longWindow.good+longWindow.bad) - float64(longWindow.bad)
	if remaining <= 0 && longWindow.bad > 0 {
		return Exhaustion{}
	}
	netBurn := float64(shortWindow.bad) - allowedFraction*float64(shortWindow.good+shortWindow.bad)
	if netBurn <= 0 {
		return Exhaustion{never: true}
	}
	return Exhaustion{timeLeft: clock.Millis(remaining / netBurn * float64(FiveMinutes.Length()))}
}
