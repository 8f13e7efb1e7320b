package load

import (
	"goldcrestshore/core/request/outcome"
)

// Verdict classifies the result of a request.
type Verdict int

// Verdicts in the order of the result line.
const (
	OK        Verdict = iota // complete and correct
	Wrong                    // appears complete, but is not the correct response to the request
	Cut                      // truncated after the response header, visibly to the caller
	NotRun                   // refused with the outcome not-run
	Unknown                  // refused with the outcome unknown, or no response at all
	Late                     // complete and correct, but slower than LateMs
	Unreached                // connecting to the entry failed; nothing was sent
	Hung                     // not finished within the drain timeout
	numVerdicts
)

var verdictNames = [numVerdicts]string{"ok", "wrong", "cut", "notRun", "unknown", "late", "unreached", "hung"}

// String returns the key of v in the result line.
func (v Verdict) String() string { return verdictNames[v] }

// result is the result of one attempt.
type result struct {
	verdict Verdict
	// detail describes the failure if the verdict is not OK.
	detail string
	code   outcome.Code
	timing timing
	// echo is the response of a plain service.
	echo echo
	// retryable reports whether a retry with the same key may return the response.
	retryable bool
}

// echo is the response body of a plain service.
type echo struct {
	Method    string `json:"method"`
	Path      string `json:"path"`
	BodyHash  string `json:"bodyHash"`
	Execution uint64 `json:"execution"`
}

// timing holds the latencies of one response in microseconds.
type timing struct {
	firstToken    int64
	betweenTokens []int64
	whole         int64
}
