package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// silentStream stops an entry with SIGTERM while replicas preempt streams, which may run at most once.
func silentStream(w *world, tmp string) {
	w.store.put("config", "main", configuration(7, []map[string]any{
		{"name": "writer", "health_path": "/healthz", "max_connections": 200, "protocol": "h1", "tls": false, "warmup_s": 0, "warmup_per_s": 0},
	}, route("r-letter", "/letter/", "stream", "writer", map[string]any{"session_affinity": true, "target_gap_ms": 120})))
	for i := range 6 {
		r := &replica{world: w, service: "writer", zone: []string{"a", "b", "c"}[i%3], slots: 12}
		r.start("")
	}
	w.startEntries(tmp, 2)
	var mu sync.Mutex
	stopped := map[string]result{} // the answers to the requests that the stopping entry took
	var sigterm time.Time
	stop, running := make(chan struct{}), &sync.WaitGroup{}
	w.load(stop, running, 10, func(i int) {
		e := w.entryFor(i)
		mu.Lock()
		at := sigterm
		mu.Unlock()
		if e == w.entries[0] && !at.IsZero() && time.Since(at) > 2*time.Second {
			e = w.entries[1] // the platform has taken the other one out of rotation
		}
		r := w.send(e, "POST", "/letter/l", fmt.Sprint("letter ", i), 8*time.Second)
		mu.Lock()
		defer mu.Unlock()
		if e == w.entries[0] && !sigterm.IsZero() {
			stopped[r.id] = r // its answer ended after the signal
		}
	})
	time.Sleep(5 * time.Second)
	w.setPreempting(true)
	time.Sleep(1 * time.Second)
	w.record("entry %s gets SIGTERM", w.entries[0].ip)
	mu.Lock()
	sigterm = time.Now()
	mu.Unlock()
	_ = w.entries[0].cmd.Process.Signal(syscall.SIGTERM)
	time.Sleep(2 * time.Second)
	w.setPreempting(false)
	time.Sleep(7 * time.Second)
	close(stop)
	running.Wait()
	w.mu.Lock()
	lost, other := 0, 0
	for id, after := range w.cuts {
		if r, found := stopped[id]; found && !r.whole && after < 2*time.Second {
			lost++
		} else {
			other++
		}
	}
	w.mu.Unlock()
	w.finish(lost > 0, fmt.Sprintf("the stopping entry broke off %d of %d streams whose replicas were silent for less than two seconds (%d at other times or the other entry)", lost, len(stopped), other))
}
