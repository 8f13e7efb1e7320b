package fleet

import (
	"slices"

	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/request/outcome"
	"goldcrestshore/measure/engine"
)

// Result is the way in which a request ended.
type Result int

// Results.
const (
	Pending   Result = iota // no outcome yet
	Completed               // the whole response was delivered
	Refused                 // refused before it ran
	Broken                  // the response was interrupted
)

// Record is the history of one request.
type Record struct {
	Request      engine.Request
	Arrived      clock.Millis
	Deadline     clock.Millis
	FirstTokenAt clock.Millis // 0 for none
	Ended        clock.Millis
	Result       Result
	Code         outcome.Code
	Attempts     int
}

// InTime reports whether the request completed before its deadline.
func (r *Record) InTime() bool { return r.Result == Completed && r.Ended <= r.Deadline }

// FirstToken returns the time from arrival to the first token.
func (r *Record) FirstToken() clock.Millis { return r.FirstTokenAt - r.Arrived }

// Summary counts the results of a set of requests.
type Summary struct {
	Requests  int
	Completed int
	InTime    int
	Refused   int
	Broken    int
	Lost      int
	P50       clock.Millis
	P95       clock.Millis
	P99       clock.Millis
}

// Summarize counts the records for which keep returns true, or all if keep is nil.
// The percentiles are those of the first-token times of completed requests. A
// refused request never counts as completed in time.
func Summarize(records []*Record, keep func(*Record) bool) Summary {
	var s Summary
	var firstTokenTimes []clock.Millis
	for _, r := range records {
		if keep != nil && !keep(r) {
			continue
		}
		s.Requests++
		switch r.Result {
		case Completed:
			s.Completed++
			firstTokenTimes = append(firstTokenTimes, r.FirstToken())
		case Refused:
			s.Refused++
		case Broken:
			s.Broken++
		default:
			s.Lost++
		}
		if r.InTime() {
			s.InTime++
		}
	}
	slices.Sort(firstTokenTimes)
	s.P50 = percentile(firstTokenTimes, 50)
	s.P95 = percentile(firstTokenTimes, 95)
	s.P99 = percentile(firstTokenTimes, 99)
	return s
}

// percentile returns the p-th percentile of sorted times by the nearest-rank
// method.
func percentile(times []clock.Millis, p int) clock.Millis {
	if len(times) == 0 {
		return 0
	}
	rank := (len(times)*p + 99) / 100
	return times[max(rank, 1)-1]
}
