// Package burn counts requests that kept or missed a service's objectives, in
// buckets that cover the last 5 minutes, hour and 6 hours. It has no I/O and no
// clock of its own.
package burn

import (
	"cmp"
	"slices"

	"goldcrestshore/core/process/clock"
)

// Objective is one promise of a service.
type Objective string

// Objectives.
const (
	Answered      Objective = "answered"      // the whole answer arrived, right and in time
	FirstToken    Objective = "firstToken"    // the first token arrived in time
	BetweenTokens Objective = "betweenTokens" // the mean time between tokens of the answer was kept
)

// Window is the span that a report covers.
type Window int

// Windows, from the shortest.
const (
	FiveMinutes Window = iota
	Hour
	SixHours
	windowCount // the number of windows
)

// Windows returns all windows, the shortest first.
func Windows() []Window { return []Window{FiveMinutes, Hour, SixHours} }

// windowSpec is the buckets that one window is made of. A window takes in the whole
// of its oldest bucket, at most a fifth more than its span.
type windowSpec struct {
	name         string
	length       clock.Millis
	bucketLength clock.Millis
	bucketCount  int
}

// windowSpecs has fewer than 40 buckets in all, so that a row of an entry's report
// stays below 1 KB.
var windowSpecs = [windowCount]windowSpec{
	FiveMinutes: {"5m", 5 * clock.Minute, 1 * clock.Minute, 6},
	Hour:        {"1h", 1 * clock.Hour, 5 * clock.Minute, 13},
	SixHours:    {"6h", 6 * clock.Hour, 30 * clock.Minute, 13},
}

// Name returns the window's name in reports.
func (w Window) Name() string { return windowSpecs[w].name }

// Length returns the window's length.
func (w Window) Length() clock.Millis { return windowSpecs[w].length }

// maxRows bounds a counter. 13 services with 3 objectives each need 39.
const maxRows = 1024

// key names a row.
type key struct {
	service   string
	objective Objective
}

// bucket counts the requests of one span; index is the span's number since the
// epoch.
type bucket struct {
	index int64
	good  uint64
	bad   uint64
}

// row is the buckets of one service and objective.
type row [windowCount][]bucket

// Counter counts for one entry. The zero value is empty. It is not safe for use
// by several goroutines.
type Counter struct {
	rows map[key]*row
}

// Count adds one request.
func (c *Counter) Count(at clock.Millis, service string, objective Objective, good bool) {
	r := c.row(key{service, objective})
	if r == nil {
		return
	}
	counted := bucket{good: 1}
	if !good {
		counted = bucket{bad: 1}
	}
	for w := range windowSpecs {
		counted.index = int64(at / windowSpecs[w].bucketLength)
		r.add(w, counted)
	}
}

// row returns the row of a key, nil when there are too many.
func (c *Counter) row(k key) *row {
	if c.rows == nil {
		c.rows = map[key]*row{}
	}
	r := c.rows[k]
	if r == nil && len(c.rows) < maxRows {
		r = new(row)
		c.rows[k] = r
	}
	return r
}

// add merges a bucket and drops those that the tier no longer covers.
func (r *row) add(w int, b bucket) {
	buckets := r[w]
	i, found := slices.BinarySearchFunc(buckets, b.index, func(x bucket, index int64) int { return cmp.Compare(x.index, index) })
	if found {
		buckets[i].good += b.good
		buckets[i].bad += b.bad
		return
	}
	buckets = slices.Insert(buckets, i, b)
	if excess := len(buckets) - windowSpecs[w].bucketCount; excess > 0 {
		buckets = slices.Delete(buckets, 0, excess)
	}
	r[w] = buckets
}

// Merge adds the counts of another report, such as the one that this entry
// wrote before a restart.
func (c *Counter) Merge(other Report) {
	for k, counted := range other.rows {
		r := c.row(k)
		if r == nil {
			continue
		}
		for w := range counted {
			for _, b := range counted[w] {
				r.add(w, b)
			}
		}
	}
}

// Report returns a copy of the counts.
func (c *Counter) Report(entry string, at clock.Millis) Report {
	r := Report{entry: entry, at: at, rows: make(map[key]*row, len(c.rows))}
	for k, original := range c.rows {
		copied := new(row)
		for w := range original {
			copied[w] = slices.Clone(original[w])
		}
		r.rows[k] = copied
	}
	return r
}
