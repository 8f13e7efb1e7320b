package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// garbleTime is how long faultyCount of the plain replicas spoil each garbleEvery-th answer.
	garbleTime      = 5500 * time.Millisecond
	garbleEvery     = 20
	faultyCount     = 3
	callersPerEntry = 4
)

// plainBody is the whole body of a plain answer to a request.
func plainBody(id string) string {
	return fmt.Sprintf(`{"record":%q,"text":%q}`, id, bytes.Repeat([]byte("x"), 700))
}

// secondAnswer plays a replica that hands out some answers without a length, which end with their
// connection, and writes a second answer behind them.
func secondAnswer(f *fleet, trouble bool) (bool, error) {
	routes := []any{route("record", "non_idempotent", plainService, 1, false), route("lookup", "idempotent", plainService, 2, false)}
	if err := f.start(routes); err != nil {
		return false, err
	}
	time.Sleep(calmTime)
	var stop atomic.Bool
	var callers sync.WaitGroup
	var spoiled, wrong atomic.Int64
	for e := range entryCount {
		for range callersPerEntry {
			callers.Go(func() { f.checkingCaller(e, &stop, &wrong) })
		}
	}
	time.Sleep(time.Second)
	faulty := f.replicas[rankCount:][:faultyCount]
	for _, r := range faulty {
		if trouble {
			f.rec.printf("%s begins to spoil one answer in %d", r.id, garbleEvery)
			r.setSpoil(func() bool { return r.answers.Add(1)%garbleEvery == 0 }, &spoiled)
		}
	}
	time.Sleep(garbleTime)
	for _, r := range faulty {
		r.setSpoil(nil, nil)
	}
	time.Sleep(time.Second)
	stop.Store(true)
	callers.Wait()
	f.rec.printf("MIXED: %d answers were spoiled; callers got %d signed successes with a body that is not the replica's", spoiled.Load(), wrong.Load())
	return wrong.Load() > 0, nil
}

func (r *replica) setSpoil(spoil func() bool, count *atomic.Int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.behave.spoil, r.behave.spoiled = spoil, count
}

// checkingCaller sends requests to an entry until stop is set, and compares their bodies with
// those that replicas have made.
func (f *fleet) checkingCaller(entry int, stop *atomic.Bool, wrong *atomic.Int64) {
	for n := 0; !stop.Load(); n++ {
		r := request{id: ids.next(), method: http.MethodGet, path: fmt.Sprint("/lookup/", n%20), deadline: callDeadline}
		if n%2 == 0 {
			r.method, r.path, r.body = http.MethodPost, "/record/2", "record of "+r.id
		}
		c, err := dial(f.front(entry))
		if err != nil {
			continue
		}
		status, signed, body, err := c.exchangeBody(r)
		_ = c.Close()
		f.rec.printf("caller at front-%d: %s %s %s got status %d, %d bytes, error %v", entry, r.id, r.method, r.path, status, len(body), err)
		if err == nil && status == http.StatusOK && body != plainBody(r.id) {
			wrong.Add(1)
			f.rec.printf("caller at front-%d: %s %s got status 200, signature %v, %d bytes in place of %d:\n%s", entry, r.method, r.id, signed, len(body), len(plainBody(r.id)), body)
		}
		time.Sleep(callerInterval / 2)
	}
}

// writeSpoiled writes an answer without a length, and a second answer behind it, and closes the
// connection.
func writeSpoiled(w http.ResponseWriter, id, signature string) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: %s\r\n", id, signature)
	body := plainBody(id)
	_, _ = io.WriteString(c, head+"Connection: close\r\n\r\n"+body+head+fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))+body)
}
