package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const heartbeat = 1200 * time.Millisecond

// replica is a stand-in of one replica of a service. Each start is a new incarnation.
type replica struct {
	world   *world
	service string
	zone    string
	slots   int
	// workTime is how long a plain request takes.
	workTime time.Duration
	// coldPerSecond is the rate at which the replica ends while it is cold, 0 for none.
	coldCrashPerSecond int
	// ip is the address to listen on, 127.0.0.1 if it is empty.
	ip string
	// version is that of its software. The request to crashPath crashes all versions but v1.
	version string
	// rank is nil for a replica that belongs to no group.
	rank *rank

	mu        sync.Mutex
	address   string
	id        string
	born      int64
	sequence  int
	draining  bool
	coldUntil time.Time
	arrivals  []time.Time
	listener  net.Listener
	conns     map[net.Conn]bool
	up        bool
	busy      chan struct{}
}

type trackingListener struct {
	net.Listener
	r *replica
}

func (l trackingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.r.mu.Lock()
		l.r.conns[c] = true
		l.r.mu.Unlock()
	}
	return c, err
}

// start begins a new incarnation, with a new id unless one is given.
func (r *replica) start(id string) {
	r.mu.Lock()
	address := r.address
	if r.ip == "" {
		r.ip = "127.0.0.1"
	}
	if address == "" {
		address = r.ip + ":0"
	}
	l, err := net.Listen("tcp4", address)
	if err != nil {
		r.mu.Unlock()
		fatal("replica listens: %v", err)
	}
	r.address = l.Addr().String()
	if id == "" {
		id = fmt.Sprintf("i-%08x", r.world.random())
	}
	r.id, r.born, r.sequence, r.up, r.listener = id, time.Now().UnixMilli(), 0, true, l
	r.conns, r.busy, r.arrivals = map[net.Conn]bool{}, make(chan struct{}, r.slots), nil
	server := &http.Server{Handler: http.HandlerFunc(r.serve), ConnState: func(c net.Conn, st http.ConnState) {
		if st == http.StateClosed {
			r.mu.Lock()
			delete(r.conns, c)
			r.mu.Unlock()
		}
	}}
	r.mu.Unlock()
	r.world.addRank(r)
	r.world.record("replica %s of %s starts at %s", id, r.service, r.address)
	go server.Serve(trackingListener{l, r})
	r.beat()
	go r.heartbeats(r.born)
}

func (r *replica) heartbeats(born int64) {
	for time.Sleep(heartbeat); ; time.Sleep(heartbeat) {
		r.mu.Lock()
		alive := r.up && r.born == born
		r.mu.Unlock()
		if !alive {
			return
		}
		r.beat()
	}
}

// spec returns the record of the replica as it is now.
func (r *replica) spec() (id string, spec map[string]any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := "ready"
	if r.draining {
		state = "draining"
	}
	cold := max(time.Until(r.coldUntil).Milliseconds(), 0)
	return r.id, map[string]any{"service": r.service, "address": r.address, "zone": r.zone, "version": r.softwareVersion(), "slots": r.slots, "state": state, "cold_remaining_ms": cold, "sequence": r.sequence, "born": r.born}
}

func (r *replica) softwareVersion() string {
	if r.version == "" {
		return "v1"
	}
	return r.version
}

// leave reports that the replica drains, and ends it after a while.
func (r *replica) leave(after time.Duration) {
	r.mu.Lock()
	r.draining = true
	id := r.id
	r.mu.Unlock()
	r.world.record("replica %s drains", id)
	r.beat()
	time.AfterFunc(after, func() {
		r.mu.Lock()
		r.up = false
		r.listener.Close()
		for c := range r.conns {
			c.Close()
		}
		r.mu.Unlock()
		r.world.store.delete("servers", id)
		r.world.record("replica %s has left", id)
	})
}

// beat writes the record of the replica to the store.
func (r *replica) beat() {
	id, spec := r.spec()
	if !r.world.store.put("servers", id, spec) {
		r.world.record("replica %s: the store does not answer to its record with cold_remaining_ms %v", id, spec["cold_remaining_ms"])
	}
}

// crash ends the process of the replica and starts it again after a while. Its record expires after
// three missed heartbeats.
func (r *replica) crash(why string, back time.Duration) {
	r.mu.Lock()
	if !r.up {
		r.mu.Unlock()
		return
	}
	r.up = false
	id := r.id
	r.listener.Close()
	for c := range r.conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
	r.coldUntil = time.Time{}
	r.mu.Unlock()
	r.world.record("replica %s crashes: %s", id, why)
	r.world.crashed(id, why)
	time.AfterFunc(3*heartbeat, func() { r.world.store.delete("servers", id) })
	time.AfterFunc(back, func() { r.start("") })
}

// becomeCold makes the replica cold again, which it writes to its record at once.
func (r *replica) becomeCold(d time.Duration) {
	r.mu.Lock()
	r.coldUntil = time.Now().Add(d)
	id := r.id
	r.mu.Unlock()
	r.world.record("replica %s becomes cold for %v", id, d)
	r.beat()
}

func (r *replica) serve(w http.ResponseWriter, q *http.Request) {
	r.mu.Lock()
	id, up := r.id, r.up
	cold := max(time.Until(r.coldUntil), 0)
	r.mu.Unlock()
	if !up {
		panic(http.ErrAbortHandler)
	}
	if q.URL.Path == "/healthz" {
		r.world.countHealth(id)
		w.Header().Set("Instance-Id", id)
		w.Header().Set("Cold-Ms", strconv.FormatInt(cold.Milliseconds(), 10))
		return
	}
	if r.serveRank(w, q) {
		return
	}
	if _, err := io.ReadAll(q.Body); err != nil {
		return
	}
	request := q.Header.Get("Request-Id")
	w.Header().Set("Request-Id", request)
	if target := q.Header.Get("Target-Instance"); target != "" && target != id {
		w.Header().Set("Instance-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.world.arrived(arrival{at: time.Now(), request: request, replica: id, path: q.URL.Path, cold: cold > 0})
	if r.overCold(cold > 0) {
		go r.crash("too many requests while cold", 3*time.Second)
		<-q.Context().Done()
		return
	}
	select {
	case r.busy <- struct{}{}:
	case <-time.After(200 * time.Millisecond):
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	busy := r.busy
	defer func() { <-busy }()
	w.Header().Set("Response-Signature", "sig."+id+"."+request)
	if isStream(q.URL.Path) {
		if r.rank != nil {
			r.rank.addTokens(promptTokens + outputTokens)
		}
		r.stream(w, q, id)
		return
	}
	if q.URL.Path == crashPath && r.world.trouble && r.version != "v1" {
		time.Sleep(20 * time.Millisecond)
		r.crash("request "+request, 2*time.Second)
		panic(http.ErrAbortHandler)
	}
	time.Sleep(r.workTime)
	r.world.ran(request, id)
	answer := "answer to " + request
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	io.WriteString(w, answer)
}

// overCold counts an arrival and reports whether a cold replica gets far too many.
func (r *replica) overCold(cold bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if !cold || r.coldCrashPerSecond == 0 {
		return false
	}
	r.arrivals = append(r.arrivals, now)
	for now.Sub(r.arrivals[0]) >= time.Second {
		r.arrivals = r.arrivals[1:]
	}
	return len(r.arrivals) > r.coldCrashPerSecond
}

const streamEvents = 10

// stream writes the events of a stream, after Last-Event-Id if there is one.
func (r *replica) stream(w http.ResponseWriter, q *http.Request, id string) {
	request := q.Header.Get("Request-Id")
	first := 1
	if last, err := strconv.Atoi(q.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for i := first; i <= streamEvents; i++ {
		time.Sleep(50 * time.Millisecond)
		if q.Context().Err() != nil {
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: %s piece %d\n\n", i, request, i)
		w.(http.Flusher).Flush()
	}
	r.world.ran(request, id)
}
