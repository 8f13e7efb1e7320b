package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Figures of the cases in which the configuration changes.
const (
	// changeBound is config_ms, and changeMargin what the cases wait beyond it.
	changeBound  = 2 * time.Second
	changeMargin = 2 * time.Second
	// requestsEach is the number of requests of each kind.
	requestsEach = 10
)

// answer is the status of a request and how often the replica has run it.
type answer struct{ status, runs int }

// startPlain starts a replica of a plain service and an entry with a configuration.
func startPlain(l *lab, config map[string]any) (*replica, *entry, error) {
	r := &replica{id: "i-1", service: "ledger", record: l.record, run: func(w http.ResponseWriter, q *http.Request) {
		l.record.add("i-1: %s has Tenant %q", q.Header.Get("Request-Id"), q.Header.Get("Tenant"))
		_, _ = io.WriteString(w, "done") // an error shows at the client
	}}
	if err := l.startReplica(r); err != nil {
		return nil, nil, err
	}
	l.store.set("config", "main", config)
	e, err := l.startEntry("front-1")
	return r, e, err
}

// ask sends requests and returns their answers.
func ask(l *lab, r *replica, e *entry, name, host, key string) ([]answer, error) {
	var answers []answer
	for n := range requestsEach {
		id := fmt.Sprintf("%s-%d", name, n)
		status, err := askOnce(l, e, id, host, key)
		if err != nil {
			return nil, err
		}
		answers = append(answers, answer{status, r.ran(id)})
		l.record.add("client: %s with host %s and key %s is answered %d; runs: %d", id, host, key, status, r.ran(id))
	}
	return answers, nil
}

func askOnce(l *lab, e *entry, id, host, key string) (status int, err error) {
	c, err := l.dial(e.callers())
	if err != nil {
		return 0, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	fmt.Fprintf(c, "POST /award/x HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 4000\r\nKey: %s\r\nContent-Length: 2\r\n\r\nhi", host, id, key)
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: http.MethodPost})
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, resp.Body.Close()
}

// countRuns returns how many of the requests ran.
func countRuns(answers []answer) int {
	n := 0
	for _, a := range answers {
		if a.runs > 0 {
			n++
		}
	}
	return n
}

// countStatus returns how many requests were answered with a status.
func countStatus(answers []answer, status int) int {
	n := 0
	for _, a := range answers {
		if a.status == status {
			n++
		}
	}
	return n
}

// withdrawn withdraws the keys of the only tenant. The disruption is that its entry goes with them;
// without it the tenant stays in the list, without keys.
func withdrawn(l *lab) (broken bool, err error) {
	routes := []any{route("award", "non_idempotent", "ledger", nil)}
	r, e, err := startPlain(l, configuration(3, routes, "ledger"))
	if err != nil {
		return false, err
	}
	before, err := ask(l, r, e, "held", "h.example", "key-1")
	if err != nil {
		return false, err
	}
	if countStatus(before, http.StatusOK) != requestsEach {
		return false, fmt.Errorf("requests with a key of the configuration are not served")
	}
	refused, err := ask(l, r, e, "unheld-before", "h.example", "key-of-nobody")
	if err != nil {
		return false, err
	}
	next := configuration(7, routes, "ledger")
	next["tenants"] = []any{map[string]any{"name": "tenant-1", "api_keys": []string{}, "priority": 1}}
	if l.trouble {
		next["tenants"] = []any{}
	}
	l.store.set("config", "main", next)
	l.record.add("version 7 withdraws the keys: tenants %v", next["tenants"])
	time.Sleep(changeBound + changeMargin)
	late, err := ask(l, r, e, "withdrawn", "h.example", "key-1")
	if err != nil {
		return false, err
	}
	unheld, err := ask(l, r, e, "unheld", "h.example", "key-of-nobody")
	if err != nil {
		return false, err
	}
	l.record.add("ran: %d of %d requests with a withdrawn key, %d of %d with a key that no configuration held (before the change: %d)",
		countRuns(late), requestsEach, countRuns(unheld), requestsEach, countRuns(refused))
	return countRuns(unheld) > 0, nil
}

// capitals adds a route for a host whose name has a capital letter; without the disruption its name is
// in small letters.
func capitals(l *lab) (broken bool, err error) {
	first := route("award", "non_idempotent", "ledger", nil)
	r, e, err := startPlain(l, configuration(3, []any{first}, "ledger"))
	if err != nil {
		return false, err
	}
	host := "desk.example"
	if l.trouble {
		host = "Desk.example"
	}
	added := route("award", "non_idempotent", "ledger", map[string]any{"name": "added", "hostname": host})
	l.store.set("config", "main", configuration(7, []any{first, added}, "ledger"))
	l.record.add("version 7 adds a route for host %s", host)
	time.Sleep(changeBound + changeMargin)
	old, err := ask(l, r, e, "old", "h.example", "key-1")
	if err != nil {
		return false, err
	}
	onAdded, err := ask(l, r, e, "added", host, "key-1")
	if err != nil {
		return false, err
	}
	l.record.add("answered 200: %d of %d requests of the first route, %d of the added one; answered 404: %d of the added one",
		countStatus(old, http.StatusOK), requestsEach, countStatus(onAdded, http.StatusOK), countStatus(onAdded, http.StatusNotFound))
	if countStatus(old, http.StatusOK) != requestsEach {
		return false, fmt.Errorf("requests of the first route are not served")
	}
	return countStatus(onAdded, http.StatusNotFound) > 0, nil
}

// lowRank is a priority of work that can wait, and usualRank one like those of the sites. The pages state
// no largest one.
const lowRank, usualRank = 5000, 5

// rank takes the only key of one tenant away and adds a route for work that can wait. The disruption is
// that its priority is a large number.
func rank(l *lab) (broken bool, err error) {
	first := route("award", "non_idempotent", "ledger", nil)
	config := func(version int, keys []string, routes ...any) map[string]any {
		out := configuration(version, routes, "ledger")
		out["tenants"] = []any{
			map[string]any{"name": "tenant-1", "api_keys": []string{"key-1"}, "priority": 1},
			map[string]any{"name": "tenant-2", "api_keys": keys, "priority": 1},
		}
		return out
	}
	r, e, err := startPlain(l, config(3, []string{"key-2"}, first))
	if err != nil {
		return false, err
	}
	before, err := ask(l, r, e, "before", "h.example", "key-2")
	if err != nil {
		return false, err
	}
	if countRuns(before) != requestsEach {
		return false, fmt.Errorf("requests with a key of the configuration do not run")
	}
	priority := usualRank
	if l.trouble {
		priority = lowRank
	}
	added := route("batch", "idempotent", "ledger", map[string]any{"hostname": "batch.example", "path_prefix": "/award/", "priority": priority})
	l.store.set("config", "main", config(7, []string{}, first, added))
	l.record.add("version 7 takes key-2 away and adds a route with priority %d", priority)
	time.Sleep(changeBound + changeMargin)
	withdrawn, err := ask(l, r, e, "withdrawn", "h.example", "key-2")
	if err != nil {
		return false, err
	}
	onAdded, err := ask(l, r, e, "added", "batch.example", "key-1")
	if err != nil {
		return false, err
	}
	l.store.set("config", "main", config(9, []string{}, first, added))
	l.record.add("version 9 changes nothing else")
	time.Sleep(changeBound + changeMargin)
	later, err := ask(l, r, e, "later", "h.example", "key-2")
	if err != nil {
		return false, err
	}
	l.record.add("ran: %d of %d requests with the withdrawn key, and %d of %d after version 9; the added route served %d of %d",
		countRuns(withdrawn), requestsEach, countRuns(later), requestsEach, countStatus(onAdded, http.StatusOK), requestsEach)
	return countRuns(withdrawn)+countRuns(later) > 0, nil
}
