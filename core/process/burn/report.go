package burn

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"goldcrestshore/core/process/clock"
)

// ErrMalformed reports a report that Parse cannot read.
var ErrMalformed = errors.New("burn report is malformed")

// Report is the counts of one entry as the platform keeps them.
type Report struct {
	entry string
	at    clock.Millis
	rows  map[key]*row
}

// Entry returns the entry that counted.
func (r Report) Entry() string { return r.entry }

// At returns when the report was made.
func (r Report) At() clock.Millis { return r.at }

type reportBody struct {
	Entry string    `json:"entry"`
	AtMs  int64     `json:"atMs"`
	Rows  []rowBody `json:"rows"`
}

type rowBody struct {
	Service   string        `json:"service"`
	Objective Objective     `json:"objective"`
	Buckets   [][][3]uint64 `json:"buckets"` // per window: index, good, bad
}

// Encode returns the value of the object. Equal reports have equal encodings.
func (r Report) Encode() []byte {
	body := reportBody{Entry: r.entry, AtMs: int64(r.at), Rows: []rowBody{}}
	for k, own := range r.rows {
		body.Rows = append(body.Rows, rowBody{k.service, k.objective, encodeRow(own)})
	}
	slices.SortFunc(body.Rows, func(a, b rowBody) int {
		if c := strings.Compare(a.Service, b.Service); c != 0 {
			return c
		}
		return strings.Compare(string(a.Objective), string(b.Objective))
	})
	raw, err := json.Marshal(body)
	if err != nil {
		panic(err) // these types always have an encoding
	}
	return raw
}

func encodeRow(r *row) [][][3]uint64 {
	all := make([][][3]uint64, windows)
	for w := range r {
		all[w] = make([][3]uint64, 0, len(r[w]))
		for _, b := range r[w] {
			all[w] = append(all[w], [3]uint64{uint64(b.index), b.good, b.bad})
		}
	}
	return all
}

// Parse reads what Encode wrote.
func Parse(raw []byte) (Report, error) {
	var body reportBody
	if err := json.Unmarshal(raw, &body); err != nil {
		return Report{}, errors.Wrapf(ErrMalformed, "%v", err)
	}
	r := Report{body.Entry, clock.Millis(body.AtMs), map[key]*row{}}
	for _, b := range body.Rows {
		if len(b.Buckets) != int(windows) || len(r.rows) >= maxRows {
			return Report{}, errors.Wrapf(ErrMalformed, "row of service %q", b.Service)
		}
		own := new(row)
		for w := range b.Buckets {
			for _, counts := range b.Buckets[w] {
				own.add(w, bucket{int64(counts[0]), counts[1], counts[2]})
			}
		}
		r.rows[key{b.Service, b.Objective}] = own
	}
	return r, nil
}

// Total is the requests of one window.
type Total struct {
	good uint64
	bad  uint64
}

// Good returns the requests that kept the objective.
func (t Total) Good() uint64 { return t.good }

// Bad returns the requests that missed it.
func (t Total) Bad() uint64 { return t.bad }

// Line is the counts of one service and objective over all entries.
type Line struct {
	service   string
	objective Objective
	totals    [windows]Total
}

// Service returns the service.
func (l Line) Service() string { return l.service }

// Objective returns the promise.
func (l Line) Objective() Objective { return l.objective }

// Total returns the counts of a window.
func (l Line) Total(w Window) Total { return l.totals[w] }

// Sum adds the reports of all entries up to now, sorted by service and objective.
func Sum(now clock.Millis, reports []Report) []Line {
	lines := map[key]*Line{}
	for _, r := range reports {
		for k, own := range r.rows {
			l := lines[k]
			if l == nil {
				l = &Line{service: k.service, objective: k.objective}
				lines[k] = l
			}
			l.add(now, own)
		}
	}
	return sorted(lines)
}

func (l *Line) add(now clock.Millis, own *row) {
	for w := range own {
		for _, b := range own[w] {
			if clock.Millis(b.index+1)*tiers[w].bucket > now-tiers[w].span {
				l.totals[w].good += b.good
				l.totals[w].bad += b.bad
			}
		}
	}
}

func sorted(lines map[key]*Line) []Line {
	all := make([]Line, 0, len(lines))
	for _, l := range lines {
		all = append(all, *l)
	}
	slices.SortFunc(all, func(a, b Line) int {
		if c := strings.Compare(a.service, b.service); c != 0 {
			return c
		}
		return strings.Compare(string(a.objective), string(b.objective))
	})
	return all
}

// Rate returns how many times faster than allowed a window misses the
// objective; 1 uses the budget up exactly. Percent is the share that must keep it.
func (l Line) Rate(w Window, percent float64) float64 {
	t := l.totals[w]
	all := t.good + t.bad
	if all == 0 || t.bad == 0 {
		return 0
	}
	allowed := (100 - percent) / 100 * float64(all)
	if allowed <= 0 {
		// A promise of 100% has no budget: any miss is beyond it.
		return float64(all)
	}
	return float64(t.bad) / allowed
}

// Exhaustion tells how long the error budget lasts.
type Exhaustion struct {
	never bool
	after clock.Millis
}

// Never tells that the current rate does not use the budget up.
func (e Exhaustion) Never() bool { return e.never }

// After returns the time left, 0 when the budget is exhausted.
func (e Exhaustion) After() clock.Millis { return e.after }

// Exhaustion returns how long the budget of the last 6 hours lasts if requests
// go on as in the last 5 minutes. New requests add to the budget as well, so a
// service that misses no more than it may never exhausts it.
func (l Line) Exhaustion(percent float64) Exhaustion {
	allowedShare := (100 - percent) / 100
	long, short := l.totals[SixHours], l.totals[FiveMinutes]
	left := allowedShare*float64(long.good+long.bad) - float64(long.bad)
	if left <= 0 && long.bad > 0 {
		return Exhaustion{}
	}
	net := float64(short.bad) - allowedShare*float64(short.good+short.bad)
	if net <= 0 {
		return Exhaustion{never: true}
	}
	return Exhaustion{after: clock.Millis(left / net * float64(FiveMinutes.Span()))}
}
