package main

import (
	"fmt"
	"sync"
	"time"
)

// coldInOutage makes one replica cold again while the store is down.
func coldInOutage(w *world, tmp string) {
	const warmupPerSecond, warmup = 8, 3 * time.Second
	const outage = 4500 * time.Millisecond
	w.store.put("config", "main", configuration(7, []map[string]any{
		{"name": "ledger", "health_path": "/healthz", "max_connections": 110, "protocol": "h1", "tls": false, "warmup_s": warmup.Seconds(), "warmup_per_s": warmupPerSecond},
	},
		route("r-lookup", "/lookup/", "idempotent", "ledger", map[string]any{"timeout_ms": 1500, "target_latency_ms": 150}),
		route("r-record", "/record/", "non_idempotent", "ledger", map[string]any{"timeout_ms": 1500, "target_latency_ms": 150, "max_attempts": 1})))
	var replicas []*replica
	for i := range 3 {
		r := &replica{world: w, service: "ledger", zone: []string{"a", "b", "c"}[i], slots: 6, workTime: 60 * time.Millisecond, coldCrashPerSecond: 3 * warmupPerSecond}
		r.start("")
		replicas = append(replicas, r)
	}
	w.startEntries(tmp, 2)
	stop, running := make(chan struct{}), &sync.WaitGroup{}
	w.load(stop, running, 60, func(i int) { w.send(w.entryFor(i), "GET", "/lookup/who", "", 1500*time.Millisecond) })
	var lostMu sync.Mutex
	lost := 0
	w.load(stop, running, 60, func(i int) {
		if r := w.send(w.entryFor(i), "POST", "/record/cycle", fmt.Sprint("record ", i), 1500*time.Millisecond); r.status == 502 || r.status == 0 {
			lostMu.Lock()
			lost++
			lostMu.Unlock()
		}
	})
	time.Sleep(6 * time.Second)
	if w.trouble {
		w.record("the store is silent from now on")
		w.store.setSilent(true)
	}
	time.Sleep(time.Second)
	replicas[0].mu.Lock()
	id := replicas[0].id
	replicas[0].mu.Unlock()
	replicas[0].becomeCold(warmup)
	time.Sleep(outage - time.Second)
	w.store.setSilent(false)
	w.record("the store answers")
	time.Sleep(3 * time.Second)
	close(stop)
	running.Wait()
	w.mu.Lock()
	most, crashes := w.mostWhileCold(), len(w.crashes)
	health := w.health[id]
	w.mu.Unlock()
	bound := warmupPerSecond*coldOvershoot + coldSlack
	w.finish(float64(most) > bound, fmt.Sprintf("the cold replica got %d requests in one second (at most %g are allowed), and %d health checks; %d crashes; %d non-idempotent requests were lost", most, bound, health, crashes, lost))
}
