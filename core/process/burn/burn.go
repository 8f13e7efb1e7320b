// Package burn computes error budget burn rates. It counts the requests that met or
// missed a service's objectives, in buckets over windows of 5 minutes, 1 hour and
// 6 hours. It does no I/O and reads no clock.
package burn

import (
	"cmp"
	"slices"

	"goldcrestshore/core/process/clock"
)

// Objective is a service level objective.
type Objective string

const (
	Answered      Objective = "answered"      // the complete, correct response arrived in time
	FirstToken    Objective = "firstToken"    // the first token arrived in time
	BetweenTokens Objective = "betweenTokens" // the mean time between tokens of the response met its target
)

// Window is a sliding time window that reports cover.
type Window int

// Windows in ascending order of length.
const (
	FiveMinutes Window = iota
	Hour
	SixHours
	windowCount
)

// Windows returns all windows in ascending order of length.
func Windows() []Window { return []Window{FiveMinutes, Hour, SixHours} }

// windowSpec describes the buckets of one window. A window includes its oldest
// bucket as a whole, so it covers up to a fifth more than its length.
type windowSpec struct {
	name    string
	length  clock.Millis
	bucket  clock.Millis // length of a bucket
	buckets int          // number of buckets
}

// windowSpecs has fewer than 40 buckets in total, which keeps a row of an entry's
// report below 1 KB.
var windowSpecs = [windowCount]windowSpec{
	FiveMinutes: {"5m", 5 * clock.Minute, 1 * clock.Minute, 6},
	Hour:        {"1h", 1 * clock.Hour, 5 * clock.Minute, 13},
	SixHours:    {"6h", 6 * clock.Hour, 30 * clock.Minute, 13},
}

// Name returns the window's name in reports.
func (w Window) Name() string { return windowSpecs[w].name }

// Length returns the window's length.
func (w Window) Length() clock.Millis { return windowSpecs[w].length }

// maxRows limits the rows of a Counter. 13 services with 3 objectives each need 39.
const maxRows = 1024

// key identifies a row.
type key struct {
	service   string
	objective Objective
}

// bucket counts the requests of one interval. index is the start of the interval
// since the epoch, in bucket lengths.
type bucket struct {
	index int64
	good  uint64
	bad   uint64
}

// row holds the buckets of one service and objective, per window.
type row [windowCount][]bucket

// Counter counts the requests of one entry. The zero value is an empty counter.
// It is not safe for concurrent use.
type Counter struct {
	rows map[key]*row
}

// Count adds one request; good reports whether it met the objective.
func (c *Counter) Count(at clock.Millis, service string, objective Objective, good bool) {
	r := c.row(key{service, objective})
	if r == nil {
		return
	}
	add := bucket{good: 1}
	if !good {
		add = bucket{bad: 1}
	}
	for w := range windowSpecs {
		add.index = int64(at / windowSpecs[w].bucket)
		r.add(w, add)
	}
}

// row returns the row of k and creates it if necessary. It returns nil if the
// counter already has maxRows other rows.
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

// add merges a bucket into window w and removes the oldest buckets in excess of the
// window.
func (r *row) add(w int, b bucket) {
	buckets := r[w]
	i, found := slices.BinarySearchFunc(buckets, b.index, func(x bucket, index int64) int { return cmp.Compare(x.index, index) })
	if found {
		buckets[i].good += b.good
		buckets[i].bad += b.bad
		return
	}
	buckets = slices.Insert(buckets, i, b)
	if excess := len(buckets) - windowSpecs[w].buckets; excess > 0 {
		buckets = slices.Delete(buckets, 0, excess)
	}
	r[w] = buckets
}

// Merge adds the counts of a report, such as the one that this entry stored
// before a restart.
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

// Report returns a report with a copy of the counts.
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
