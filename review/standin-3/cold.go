package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// Figures of the case "cold".
const (
	// coldPerSecond is warmup_per_s, and coldBound what the rule allows in one second:
	// warmup_per_s x cold_overshoot + cold_slack.
	coldPerSecond = 38
	coldBound     = coldPerSecond*1.5 + 5
	coldRemaining = 8 * time.Second
	// coldWork is how long the replica works on a request, and coldClients the number of clients, which
	// send one request after another.
	coldWork    = 5 * time.Millisecond
	coldClients = 120
	// coldPause is the time between two requests of a client.
	coldPause = 300 * time.Millisecond
	// coldSilence is how long no heartbeat of the replica reaches the store before its record expires:
	// three intervals of 1.2 s.
	coldSilence = 3650 * time.Millisecond
	// coldGap is how long the record of the replica is missing.
	coldGap = 200 * time.Millisecond
	// coldAfter is how long after a request the record expires.
	coldAfter = 100 * time.Millisecond
	// coldMargin keeps what arrives about the end of the cold time out of the count.
	coldMargin = 500 * time.Millisecond
)

// coldReplica records when requests reach a replica that is cold.
type coldReplica struct {
	mu       sync.Mutex
	arrivals []time.Time
}

func (c *coldReplica) serve(w http.ResponseWriter, _ *http.Request) {
	c.mu.Lock()
	c.arrivals = append(c.arrivals, time.Now())
	c.mu.Unlock()
	time.Sleep(coldWork)
	_, _ = io.WriteString(w, "done") // an error shows at the client
}

// last returns when the last request arrived, zero for none.
func (c *coldReplica) last() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.arrivals) == 0 {
		return time.Time{}
	}
	return c.arrivals[len(c.arrivals)-1]
}

// most returns the largest number of arrivals in one second that ends before a time, and when that
// second began.
func (c *coldReplica) most(end time.Time) (count int, begin time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for first, i := 0, 0; i < len(c.arrivals) && c.arrivals[i].Before(end); i++ {
		for c.arrivals[i].Sub(c.arrivals[first]) >= time.Second {
			first++
		}
		if n := i - first + 1; n > count {
			count, begin = n, c.arrivals[first]
		}
	}
	return count, begin
}

// cold lets the record of a cold replica expire. It is back soon after.
func cold(l *lab) (broken bool, err error) {
	count := &coldReplica{}
	r := &replica{id: "i-1", service: "ledger", record: l.record, run: count.serve}
	if err := r.start(loopback(8) + ":0"); err != nil {
		return false, err
	}
	l.replicas++
	if err := l.startAgent("side-1"); err != nil {
		return false, err
	}
	config := configuration(3, []any{route("award", "non_idempotent", "ledger", nil)}, "ledger")
	service := config["services"].([]any)[0].(map[string]any)
	service["warmup_s"], service["warmup_per_s"] = 8.0, float64(coldPerSecond)
	config["services"] = append(config["services"].([]any), modelService("scribe"))
	l.store.set("config", "main", config)
	e, err := l.startEntry("front-1")
	if err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second) // the entry is in touch, and agents have told it the number of entries
	cold := func(remaining time.Duration, sequence int) map[string]any {
		out := registration(r.service, r.address, "ready", r.born, sequence)
		out["cold_remaining_ms"] = remaining.Milliseconds()
		return out
	}
	coldUntil := time.Now().Add(coldRemaining)
	l.store.set("servers", r.id, cold(coldRemaining, 2))
	l.record.add("i-1 is cold for %v: %d requests a second, at most %v in one", coldRemaining, coldPerSecond, coldBound)
	stopClients := pressSteadily(l, e.callers())
	time.Sleep(coldSilence)
	if l.trouble {
		for time.Since(count.last()) > 10*time.Millisecond {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(coldAfter)
		l.store.remove("servers", r.id)
		l.record.add("the record of i-1 has expired")
		time.Sleep(coldGap)
		l.store.set("servers", r.id, cold(time.Until(coldUntil), 4))
		l.record.add("the record is back; i-1 is cold for %v more", time.Until(coldUntil).Round(time.Millisecond))
	}
	time.Sleep(time.Until(coldUntil) - 2*coldMargin)
	stopClients()
	most, begin := count.most(coldUntil.Add(-coldMargin))
	l.record.add("at most %d requests reached i-1 in one second, from %.3f s on; the rule allows %v", most, begin.Sub(l.record.start).Seconds(), coldBound)
	return float64(most) > coldBound, nil
}

// pressSteadily keeps clients sending one request after another until stop is called.
func pressSteadily(l *lab, address string) (stop func()) {
	ended := make(chan struct{})
	var clients sync.WaitGroup
	for n := range coldClients {
		clients.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-ended:
					return
				case <-time.After(coldPause):
				}
				sendOne(l, address, fmt.Sprintf("request-%d-%d", n, i))
			}
		})
	}
	return func() {
		close(ended)
		clients.Wait()
	}
}
