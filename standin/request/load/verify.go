package load

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"

	"goldcrestshore/standin/process/service"
)

// resultLog holds the results that callers received for the plain requests that
// must not run twice.
type resultLog struct {
	mu    sync.Mutex
	items []resultRecord
}

// resultRecord is a request with the results of all its attempts.
type resultRecord struct {
	request  *request
	attempts []result
}

func (r *resultLog) add(q *request, attempts []result) {
	if q.kind != Keyed && q.kind != Unkeyed {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.items = append(r.items, resultRecord{q, attempts})
}

// comparison counts the differences between the results that callers received and
// the ledgers.
type comparison struct {
	// duplicated is the number of requests that ran more than once.
	duplicated int
	// falseNotRun is the number of requests that ran although every attempt was
	// refused as not run or failed to connect.
	falseNotRun int
	// unrecorded is the number of responses whose execution is in no ledger. A
	// service that lost its ledger in a restart also causes them.
	unrecorded int
	// unknownRan is the number of requests without a response that ran, other than
	// those in falseNotRun.
	unknownRan int
	// examples describes the first maxDetails differences.
	examples []string
}

// compare compares the log with all executions of the plain services.
func (r *resultLog) compare(executions []service.Execution) comparison {
	byPath := map[string][]service.Execution{}
	for _, x := range executions {
		byPath[x.Path] = append(byPath[x.Path], x)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var j comparison
	for _, item := range r.items {
		j.add(item, matching(byPath[item.request.path], item.request))
	}
	return j
}

// matching returns the candidates with the method and body of q.
func matching(candidates []service.Execution, q *request) []service.Execution {
	var out []service.Execution
	for _, x := range candidates {
		if x.Method == q.method && x.BodyHash == service.Hash(q.body) {
			out = append(out, x)
		}
	}
	return out
}

func (j *comparison) add(item resultRecord, ran []service.Execution) {
	last := item.attempts[len(item.attempts)-1]
	answered := last.verdict == OK || last.verdict == Late
	if len(ran) > 1 {
		j.duplicated++
		j.addExample("ran more than once", item.request)
	}
	if len(ran) > 0 && neverRun(item.attempts) {
		j.falseNotRun++
		j.addExample("ran although refused as not run", item.request)
	}
	if answered && !containsExecution(ran, last.echo) {
		j.unrecorded++
		j.addExample("answered but missing in the ledgers", item.request)
	}
	if !answered && len(ran) > 0 && !neverRun(item.attempts) {
		j.unknownRan++
	}
}

func (j *comparison) addExample(what string, q *request) {
	if len(j.examples) < maxDetails {
		j.examples = append(j.examples, what+": "+q.path)
	}
}

// neverRun reports whether every attempt was refused as not run or failed to connect.
func neverRun(attempts []result) bool {
	for _, a := range attempts {
		if a.verdict != NotRun && a.verdict != Unreached {
			return false
		}
	}
	return true
}

func containsExecution(ran []service.Execution, e echo) bool {
	for _, x := range ran {
		if x.Execution == e.Execution {
			return true
		}
	}
	return false
}

// readLedgers returns the executions of all plain services.
func readLedgers(ctx context.Context, addresses []string) ([]service.Execution, error) {
	var all []service.Execution
	for _, address := range addresses {
		executions, err := readLedger(ctx, address)
		if err != nil {
			return nil, errors.Wrapf(err, "ledger of %s", address)
		}
		all = append(all, executions...)
	}
	return all, nil
}

func readLedger(ctx context.Context, address string) ([]service.Execution, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/ledger", nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	var report service.Report
	err = json.NewDecoder(response.Body).Decode(&report)
	return report.Executions, err
}
