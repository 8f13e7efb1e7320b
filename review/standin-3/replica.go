package main

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// replica is a stand-in for a replica of a service. It rejects what is meant for another
// instance, answers health checks, and counts which requests it has run.
type replica struct {
	id, service, address string
	born                 int64
	// run answers a request that the replica runs.
	run    func(w http.ResponseWriter, q *http.Request)
	record *record

	mu   sync.Mutex
	runs map[string]int
}

// start serves the replica on an address.
func (r *replica) start(address string) error {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	r.address, r.born, r.runs = l.Addr().String(), time.Now().UnixMilli(), make(map[string]int)
	go func() { _ = http.Serve(l, r) }()
	return nil
}

// ran returns how often the replica has run a request.
func (r *replica) ran(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

// ServeHTTP implements http.Handler.
func (r *replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if q.URL.Path == "/healthz" {
		w.Header().Set("Instance-Id", r.id)
		return
	}
	id := q.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	switch {
	case q.Header.Get("Target-Instance") != "" && q.Header.Get("Target-Instance") != r.id:
		w.Header().Set("Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case id == "":
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	r.runs[id]++
	r.mu.Unlock()
	r.record.add("%s runs %s with Deadline-Ms %s", r.id, id, q.Header.Get("Deadline-Ms"))
	w.Header().Set("Response-Signature", "sig."+r.id+"."+id)
	r.run(w, q)
}
