package main

import (
	"fmt"
	"sync"
	"time"
)

// releaseCrash replaces all replicas by ones of a new version, in two releases, which a certain request
// crashes. The replicas of before ran it well.
func releaseCrash(w *world, tmp string) {
	const interval, length = 500 * time.Millisecond, 25 * time.Second
	const count, drain = 6, 3 * time.Second
	w.store.put("config", "main", configuration(7, []map[string]any{
		{"name": "ledger", "health_path": "/healthz", "max_connections": 110, "protocol": "h1", "tls": false, "warmup_s": 0, "warmup_per_s": 0},
	},
		route("r-lookup", "/lookup/", "idempotent", "ledger", map[string]any{"timeout_ms": 1500, "target_latency_ms": 150}),
		route("r-record", "/record/", "non_idempotent", "ledger", map[string]any{"timeout_ms": 1500, "target_latency_ms": 150, "max_attempts": 1})))
	start := func(i int, version string) *replica {
		r := &replica{world: w, service: "ledger", zone: []string{"a", "b", "c"}[i%3], slots: 6, workTime: 60 * time.Millisecond, version: version}
		r.start("")
		return r
	}
	var replicas []*replica
	for i := range count {
		replicas = append(replicas, start(i, "v1"))
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
	time.Sleep(time.Second)
	for i := range 4 {
		w.send(w.entryFor(i), "GET", crashPath, "", 1500*time.Millisecond)
	}
	for release := range 2 {
		w.record("release %d begins", release+1)
		for i := release * count / 2; i < (release+1)*count/2; i++ {
			start(i, "v2")
			replicas[i].leave(drain)
			time.Sleep(time.Second)
		}
		time.Sleep(drain)
	}
	w.record("all replicas have the new version")
	crashing := map[string]bool{}
	ticker := time.NewTicker(interval)
	for n, end := 0, time.Now().Add(length); time.Now().Before(end); n++ {
		<-ticker.C
		running.Add(1)
		go func() {
			defer running.Done()
			r := w.send(w.entryFor(n), "GET", crashPath, "", 1500*time.Millisecond)
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
