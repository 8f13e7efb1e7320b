package load

import (
	"goldcrestshore/core/request/outcome"
)

// Verdict classifies one request.
type Verdict int

// Verdicts in the order of the result line.
const (
	OK        Verdict = iota // whole and correct
	Wrong                    // presented as whole, but not the answer to the request
	Cut                      // visibly broken off after the head
	NotRun                   // refused with the outcome not-run
	Unknown                  // refused with the outcome unknown, or no answer at all
	Late                     // whole and correct, but after the time limit
	Unreached                // no connection to the entry could be made; nothing was sent
	Hung                     // no end within the drain time
	numVerdicts
)

var verdictNames = [numVerdicts]string{"ok", "wrong", "cut", "notRun", "unknown", "late", "unreached", "hung"}

// String returns the name that stands in the result line.
func (v Verdict) String() string { return verdictNames[v] }

// result is how one attempt ended.
type result struct {
	verdict Verdict
	// detail says what was seen when the verdict is not OK.
	detail string
	code   outcome.Code
	timing timing
	// echo is the answer of a plain service.
	echo echo
	// retryable is true when a later attempt with the same key can bring the answer.
	retryable bool
}

// echo is what a plain service answers.
type echo struct {
	Method    string `json:"method"`
	Path      string `json:"path"`
	BodyHash  string `json:"bodyHash"`
	Execution uint64 `json:"execution"`
}

// timing holds the times of one answer in microseconds.
type timing struct {
	firstToken    int64
	betweenTokens []int64
	whole         int64
}
