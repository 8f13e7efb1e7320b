package main

import (
	"fmt"
	"os"
	"strconv"
	"sync"
	"time"
)

// lateCrash sends a request again and again that crashes each replica which runs it, after it has
// written some events.
func lateCrash(w *world, tmp string) {
	const interval, length = 2500 * time.Millisecond, 36 * time.Second
	events := 3
	if n, err := strconv.Atoi(os.Getenv("EVENTS")); err == nil {
		events = n
	}
	stream := map[string]any{"session_affinity": true, "target_gap_ms": 120}
	resumed := map[string]any{"session_affinity": true, "target_gap_ms": 120, "stream_resume": true}
	w.store.put("config", "main", configuration(7, []map[string]any{
		{"name": "writer", "health_path": "/healthz", "max_connections": 200, "protocol": "h1", "tls": false, "warmup_s": 0, "warmup_per_s": 0},
	}, route("r-draft", "/draft/", "stream", "writer", resumed), route("r-letter", "/letter/", "stream", "writer", stream)))
	for i := range 6 {
		r := &replica{world: w, service: "writer", zone: []string{"a", "b", "c"}[i%3], slots: 12, crashEvents: events}
		r.start("")
	}
	w.startEntries(tmp, 2)
	stop, running := make(chan struct{}), &sync.WaitGroup{}
	w.load(stop, running, 20, func(i int) {
		w.send(w.entryFor(i), "POST", "/draft/d", fmt.Sprint("draft ", i), 8*time.Second)
	})
	var lettersMu sync.Mutex
	lost := 0
	w.load(stop, running, 8, func(i int) {
		if r := w.send(w.entryFor(i), "POST", "/letter/l", fmt.Sprint("letter ", i), 8*time.Second); r.status != 503 && !r.whole || r.status == 502 {
			lettersMu.Lock()
			lost++
			lettersMu.Unlock()
		}
	})
	time.Sleep(14 * time.Second) // the entries know by then which requests are sound
	crashing := map[string]bool{}
	var crashingMu sync.Mutex
	ticker := time.NewTicker(interval)
	for end := time.Now().Add(length); time.Now().Before(end); <-ticker.C {
		running.Add(1)
		go func() {
			defer running.Done()
			r := w.send(w.entryFor(len(crashing)), "POST", "/draft/d", crashBody, 8*time.Second)
			crashingMu.Lock()
			crashing[r.id] = true
			crashingMu.Unlock()
		}()
	}
	close(stop)
	running.Wait()
	w.mu.Lock()
	var third time.Time
	if len(w.crashes) >= 3 {
		third = w.crashes[2].at
	}
	late := map[string]bool{}
	for _, a := range w.arrivals {
		if crashing[a.request] && !third.IsZero() && a.at.After(third.Add(contactMs*time.Millisecond)) {
			late[a.request] = true
		}
	}
	crashes := len(w.crashes)
	w.mu.Unlock()
	w.finish(len(late) > 3, fmt.Sprintf("the request crashed %d replicas; %d retries reached replicas later than %d ms after the third crash (3 are allowed); %d non-idempotent streams of others were broken off", crashes, len(late), contactMs, lost))
}
