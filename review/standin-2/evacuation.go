package main

import (
	"fmt"
	"sync"
	"time"
)

// evacuation empties a zone and takes it back shortly after its replicas have become cold.
func evacuation(w *world, tmp string) {
	const warmupPerSecond, warmup = 3, 3 * time.Second
	w.store.put("config", "main", configuration(7, []map[string]any{
		{"name": "ledger", "health_path": "/healthz", "max_connections": 110, "protocol": "h1", "tls": false, "warmup_s": warmup.Seconds(), "warmup_per_s": warmupPerSecond},
	},
		route("r-lookup", "/lookup/", "idempotent", "ledger", map[string]any{"timeout_ms": 1500, "target_latency_ms": 150}),
		route("r-record", "/record/", "non_idempotent", "ledger", map[string]any{"timeout_ms": 1500, "target_latency_ms": 150, "max_attempts": 1})))
	var replicas []*replica
	for i := range 6 {
		r := &replica{world: w, service: "ledger", zone: []string{"a", "b", "c"}[i/2], slots: 6, workTime: 20 * time.Millisecond, coldCrashPerSecond: 4 * warmupPerSecond}
		r.start("")
		replicas = append(replicas, r)
	}
	w.startEntries(tmp, 2)
	stop, running := make(chan struct{}), &sync.WaitGroup{}
	w.load(stop, running, 200, func(i int) { w.send(w.entryFor(i), "GET", "/lookup/who", "", 1500*time.Millisecond) })
	var lostMu sync.Mutex
	lost := 0
	w.load(stop, running, 100, func(i int) {
		if r := w.send(w.entryFor(i), "POST", "/record/cycle", fmt.Sprint("record ", i), 1500*time.Millisecond); r.status == 502 || r.status == 0 {
			lostMu.Lock()
			lost++
			lostMu.Unlock()
		}
	})
	time.Sleep(4 * time.Second)
	w.record("zone a is evacuated")
	w.store.put("evacuations", "a", struct{}{})
	time.Sleep(4 * time.Second)
	if w.trouble {
		replicas[0].becomeCold(warmup)
		time.Sleep(20 * time.Millisecond)
		replicas[1].becomeCold(warmup)
		time.Sleep(40 * time.Millisecond)
	}
	w.record("zone a is taken back")
	w.store.delete("evacuations", "a")
	time.Sleep(4 * time.Second)
	close(stop)
	running.Wait()
	w.mu.Lock()
	most, crashes := w.mostWhileCold(), len(w.crashes)
	w.mu.Unlock()
	bound := warmupPerSecond*coldOvershoot + coldSlack
	w.finish(float64(most) > bound, fmt.Sprintf("a cold replica got %d requests in one second (at most %g are allowed); %d crashes; %d non-idempotent requests were lost", most, bound, crashes, lost))
}
