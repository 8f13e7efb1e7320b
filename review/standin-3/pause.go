package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Figures of the case "pause".
const (
	// pauseWork is how long the replicas wait and work on a request before the pressure.
	pauseWork = 1500 * time.Millisecond
	// pauseSeconds is the Retry-After of the replica under pressure, and pauseSlack the time from its
	// answer in which requests may still reach it.
	pauseSeconds = 6
	pauseSlack   = 500 * time.Millisecond
	// pauseAllowed is the number of requests that may reach it in the rest of that time.
	pauseAllowed = 2
	// pauseInterval is the time between two requests.
	pauseInterval = 100 * time.Millisecond
	// outageTime is how long the store answers 503, and lapseTime how long the records of the replicas
	// are missing after that. They expire in the outage.
	outageTime = 2500 * time.Millisecond
	lapseTime  = 1700 * time.Millisecond
	// pressureAt is when the replica turns requests away, after the end of the outage.
	pressureAt = 1200 * time.Millisecond
)

// pressedReplica asks for a pause once: with the requests that it holds when it comes under pressure.
type pressedReplica struct {
	mu sync.Mutex
	// since is when the pressure began, zero before.
	since time.Time
	// askedAt holds when it asked for a pause, and arrivals when requests reached it.
	askedAt, arrivals []time.Time
}

func (p *pressedReplica) serve(l *lab, w http.ResponseWriter, q *http.Request) {
	arrived := time.Now()
	p.mu.Lock()
	p.arrivals = append(p.arrivals, arrived)
	wasPressed := !p.since.IsZero()
	p.mu.Unlock()
	if wasPressed {
		_, _ = io.WriteString(w, "done") // an error shows at the client
		return
	}
	time.Sleep(pauseWork)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.since.IsZero() {
		_, _ = io.WriteString(w, "done")
		return
	}
	p.askedAt = append(p.askedAt, time.Now())
	l.record.add("i-1 answers %s: 503, Not-Executed, Retry-After %d", q.Header.Get("Request-Id"), pauseSeconds)
	w.Header().Del("Response-Signature")
	w.Header().Set("Not-Executed", "1")
	w.Header().Set("Retry-After", fmt.Sprint(pauseSeconds))
	w.WriteHeader(http.StatusServiceUnavailable)
}

// inPause returns how many requests reached the replica in the pause that it first asked for.
func (p *pressedReplica) inPause() (asked, arrived int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.askedAt) == 0 {
		return 0, 0
	}
	begin, end := p.askedAt[0].Add(pauseSlack), p.askedAt[0].Add(pauseSeconds*time.Second)
	for _, at := range p.arrivals {
		if at.After(begin) && at.Before(end) {
			arrived++
		}
	}
	return len(p.askedAt), arrived
}

// pause lets a replica ask for a pause while its record is missing after an outage of the store.
func pause(l *lab) (broken bool, err error) {
	pressed := &pressedReplica{}
	first := &replica{id: "i-1", service: "ledger", record: l.record}
	first.run = func(w http.ResponseWriter, q *http.Request) { pressed.serve(l, w, q) }
	second := &replica{id: "i-2", service: "ledger", record: l.record, run: func(w http.ResponseWriter, q *http.Request) {
		time.Sleep(pauseWork)
		_, _ = io.WriteString(w, "done") // an error shows at the client
	}}
	replicas := []*replica{first, second}
	for _, r := range replicas {
		if err := l.startReplica(r); err != nil {
			return false, err
		}
	}
	l.store.set("config", "main", configuration(3, []any{route("award", "non_idempotent", "ledger", nil)}, "ledger"))
	e, err := l.startEntry("front-1")
	if err != nil {
		return false, err
	}
	stopClients := sendSteadily(l, e.callers())
	defer stopClients()
	time.Sleep(4 * time.Second) // the entry is in touch
	if l.trouble {
		l.record.add("the store answers 503, and the records of the replicas expire")
		l.store.setBusy(true)
		time.Sleep(outageTime)
		for _, r := range replicas {
			l.store.remove("servers", r.id)
		}
		l.store.setBusy(false)
		l.record.add("the store serves again, the records are still missing")
	} else {
		time.Sleep(outageTime)
	}
	time.Sleep(pressureAt)
	pressed.mu.Lock()
	pressed.since = time.Now()
	pressed.mu.Unlock()
	time.Sleep(lapseTime - pressureAt)
	if l.trouble {
		for _, r := range replicas {
			l.store.set("servers", r.id, registration(r.service, r.address, "ready", r.born, 9))
		}
		l.record.add("the records are back")
	}
	time.Sleep((pauseSeconds + 1) * time.Second)
	asked, arrived := pressed.inPause()
	l.record.add("i-1 asked for a pause of %d s in %d answers; %d requests reached it from 0.5 s after the first one to the end of the pause", pauseSeconds, asked, arrived)
	if asked == 0 {
		return false, fmt.Errorf("no request was in flight when the replica came under pressure")
	}
	return arrived > pauseAllowed, nil
}

// sendSteadily sends requests to an entry until stop is called.
func sendSteadily(l *lab, address string) (stop func()) {
	ended := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-ended:
				return
			case <-time.After(pauseInterval):
			}
			clients.Go(func() { sendOne(l, address, fmt.Sprintf("request-%d", n)) })
		}
	})
	return func() {
		close(ended)
		clients.Wait()
	}
}

// sendOne sends one request on a connection of its own and records the answer.
func sendOne(l *lab, address, id string) {
	c, err := l.dial(address)
	if err != nil {
		l.record.add("client: %s has no connection: %v", id, err)
		return
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	fmt.Fprintf(c, "POST /award/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\nDeadline-Ms: 4000\r\nKey: key-1\r\nContent-Length: 2\r\n\r\nhi", id)
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: http.MethodPost})
	if err != nil {
		l.record.add("client: %s has no answer: %v", id, err)
		return
	}
	body, err := io.ReadAll(resp.Body)
	l.record.add("client: %s is answered %d %s%s", id, resp.StatusCode, strings.TrimSpace(string(body)), errorText(err))
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return ": " + err.Error()
}
