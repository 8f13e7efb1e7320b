package main

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	streamPath       = "/stream/1"
	streamsPerEntry  = 4
	streamDeadline   = 8 * time.Second
	plannedWorkDelay = 500 * time.Millisecond
	calmTime         = contactTime + time.Second
)

// outcome is what a caller has seen of a stream.
type outcome struct {
	entry    int
	id       string
	status   int
	events   int
	complete bool
	ended    time.Time
	maxGap   time.Duration
	err      error
}

// silentReplica plays a replica that preempts a request in the middle of its stream around
// planned work.
func silentReplica(f *fleet, trouble bool) (bool, error) {
	b := behaviour{events: 40, eventBytes: 70, eventInterval: 50 * time.Millisecond}
	if trouble {
		b.preemptAt, b.preemptTime = 20, 1850*time.Millisecond
	}
	return aroundPlannedWork(f, b)
}

// aroundPlannedWork sends streams, which may not be resumed, to all entries. Meanwhile the first
// entry gets SIGTERM, the second SIGHUP and the third nothing. It reports whether the connection
// of a stream of the first two ended without a complete answer.
func aroundPlannedWork(f *fleet, b behaviour) (bool, error) {
	routes := []any{route("stream", "stream", modelService, 1, false), route("lookup", "idempotent", plainService, 2, false)}
	if err := f.start(routes); err != nil {
		return false, err
	}
	for _, r := range f.replicas {
		r.mu.Lock()
		if r.rank >= 0 {
			r.behave = b
		}
		r.mu.Unlock()
	}
	time.Sleep(calmTime)
	outcomes := make(chan outcome, entryCount*streamsPerEntry)
	var running sync.WaitGroup
	for e := range entryCount {
		for range streamsPerEntry {
			running.Go(func() { outcomes <- f.readStream(e) })
		}
	}
	time.Sleep(plannedWorkDelay)
	planned := time.Now()
	f.signal(f.entries[0], syscall.SIGTERM)
	f.signal(f.entries[1], syscall.SIGHUP)
	running.Wait()
	close(outcomes)
	broken := false
	for o := range outcomes {
		f.rec.printf("caller at front-%d: %s got status %d, %d of %d events, complete %v, longest wait for an event %d ms, error %v",
			o.entry, o.id, o.status, o.events, b.events, o.complete, o.maxGap.Milliseconds(), o.err)
		if o.complete && o.events != b.events {
			f.rec.printf("the stream ended as complete before its last event")
			broken = true
		}
		if !o.complete && o.entry < 2 && o.status == http.StatusOK && o.ended.Sub(planned) < graceTime+time.Second {
			f.rec.printf("LOST: planned work at front-%d, and the connection of %s ended without a complete answer", o.entry, o.id)
			broken = true
		}
	}
	return broken, nil
}

// readStream sends a plain request and a stream on one kept connection and reads the stream.
func (f *fleet) readStream(entry int) outcome {
	o := outcome{entry: entry, id: ids.next()}
	c, err := dial(f.front(entry))
	if err != nil {
		o.err = err
		return o
	}
	defer c.Close()
	if _, _, err := c.exchange(request{id: ids.next(), method: http.MethodGet, path: "/lookup/1", deadline: streamDeadline}); err != nil {
		o.err = err
		return o
	}
	r := request{
		id: o.id, method: http.MethodPost, path: streamPath, body: "draft " + o.id, deadline: streamDeadline,
		headers: []string{"Model: m", "Token-Usage: 674,1200", "Prompt-Prefix: 5c1e07a2:40," + o.id + ":634"},
	}
	sent := time.Now()
	_ = c.SetDeadline(sent.Add(streamDeadline))
	f.rec.printf("caller at front-%d sends %s", entry, o.id)
	if o.err = c.send(r); o.err != nil {
		return o
	}
	resp, err := c.receive(r)
	if err != nil {
		o.err = err
		return o
	}
	o.status = resp.StatusCode
	lines := bufio.NewReaderSize(resp.Body, 512)
	last := time.Now()
	for {
		line, err := lines.ReadString('\n')
		if strings.HasPrefix(line, "id:") {
			o.maxGap = max(o.maxGap, time.Since(last))
			last = time.Now()
			o.events++
		}
		if err != nil {
			o.complete, o.ended = errors.Is(err, io.EOF), time.Now()
			o.err = err
			return o
		}
	}
}
