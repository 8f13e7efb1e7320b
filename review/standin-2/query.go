package main

import (
	"fmt"
	"sync"
	"time"
)

// queryCrash sends a request again and again that crashes each replica which begins to run it, with the
// same path, caller and body and another query each time. It begins soon after the traffic.
func queryCrash(w *world, tmp string) {
	const interval, length = 500 * time.Millisecond, 20 * time.Second
	w.store.put("config", "main", configuration(7, []map[string]any{
		{"name": "ledger", "health_path": "/healthz", "max_connections": 110, "protocol": "h1", "tls": false, "warmup_s": 0, "warmup_per_s": 0},
	},
		route("r-lookup", "/lookup/", "idempotent", "ledger", map[string]any{"timeout_ms": 1500, "target_latency_ms": 150}),
		route("r-record", "/record/", "non_idempotent", "ledger", map[string]any{"timeout_ms": 1500, "target_latency_ms": 150, "max_attempts": 1})))
	for i := range 6 {
		r := &replica{world: w, service: "ledger", zone: []string{"a", "b", "c"}[i%3], slots: 6, workTime: 60 * time.Millisecond}
		r.start("")
	}
	w.startEntries(tmp, 2)
	time.Sleep(4 * time.Second) // longer than contactMs
	stop, running := make(chan struct{}), &sync.WaitGroup{}
	w.load(stop, running, 40, func(i int) { w.send(w.entryFor(i), "GET", "/lookup/who", "", 1500*time.Millisecond) })
	var mu sync.Mutex
	lost := 0
	w.load(stop, running, 40, func(i int) {
		if r := w.send(w.entryFor(i), "POST", "/record/cycle", fmt.Sprint("record ", i), 1500*time.Millisecond); r.status == 502 || r.status == 0 {
			mu.Lock()
			lost++
			mu.Unlock()
		}
	})
	time.Sleep(500 * time.Millisecond)
	crashing := map[string]bool{}
	ticker := time.NewTicker(interval)
	for n, end := 0, time.Now().Add(length); time.Now().Before(end); n++ {
		<-ticker.C
		running.Add(1)
		go func() {
			defer running.Done()
			r := w.send(w.entryFor(n), "GET", fmt.Sprintf("%s?cycle=%d", crashPath, n), "", 1500*time.Millisecond)
			mu.Lock()
			crashing[r.id] = true
			mu.Unlock()
		}()
	}
	close(stop)
	running.Wait()
	crashes, late := w.lateRetries(crashing)
	w.finish(late > 3, fmt.Sprintf("the request crashed %d replicas; %d retries reached replicas later than %d ms after the third crash (3 are allowed); %d non-idempotent requests of others were lost", crashes, late, contactMs, lost))
}

// lateRetries returns the number of crashes, and how many of the requests reached a replica later than
// contactMs after the third one.
func (w *world) lateRetries(crashing map[string]bool) (crashes, late int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.crashes) < 3 {
		return len(w.crashes), 0
	}
	bound := w.crashes[2].at.Add(contactMs * time.Millisecond)
	seen := map[string]bool{}
	for _, a := range w.arrivals {
		if crashing[a.request] && a.at.After(bound) {
			seen[a.request] = true
		}
	}
	return len(w.crashes), len(seen)
}
