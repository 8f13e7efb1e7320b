package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// behaviour is how a replica runs the requests of a case.
type behaviour struct {
	// events, eventBytes and eventInterval describe the streams.
	events        int
	eventBytes    int
	eventInterval time.Duration
	// preemptAt is the event before which a stream is preempted for preemptTime; 0 for none.
	preemptAt   int
	preemptTime time.Duration
	// crashes reports whether a request with this body crashes the replica, and after which
	// event of its stream.
	crashes    func(body string) bool
	crashEvent int
	// work is how long a plain request takes, 0 for plainWork.
	work time.Duration
	// spoil reports whether to spoil an answer; spoiled counts those. They may be nil.
	spoil   func() bool
	spoiled *atomic.Int64
}

const (
	// downTime is the time from a crash until the replica is back.
	downTime = 2 * time.Second
	// unreadTimeout is how long a replica waits for a caller to read before it cuts off a
	// response.
	unreadTimeout = 20 * time.Second
	plainWork     = 20 * time.Millisecond
	// passTime is the duration of a pass of the group.
	passTime = 50 * time.Millisecond
)

// replica is a stand-in for a replica of a service.
type replica struct {
	fleet   *fleet
	id      string
	service string
	machine int
	rank    int
	slots   int

	mu       sync.Mutex
	behave   behaviour
	born     int64
	listener net.Listener
	conns    map[net.Conn]bool
	slotsIn  chan struct{}
	answers  atomic.Int64
	// arrivals, by body, are when requests arrived.
	arrivals map[string][]time.Time
	// crashTimes are when the replica crashed, by the body of the cause.
	crashTimes map[string][]time.Time
}

func (f *fleet) startReplica(id, service string, machine, rank int) error {
	r := &replica{fleet: f, id: id, service: service, machine: machine, rank: rank, slots: 6, arrivals: make(map[string][]time.Time), crashTimes: make(map[string][]time.Time)}
	if rank >= 0 {
		r.slots = 12
	}
	r.behave = behaviour{events: 24, eventBytes: 70, eventInterval: 25 * time.Millisecond}
	r.slotsIn = make(chan struct{}, r.slots)
	f.replicas = append(f.replicas, r)
	return r.listen()
}

// listen starts an incarnation of the replica and registers it.
func (r *replica) listen() error {
	l, err := net.Listen("tcp4", r.fleet.address(r.machine, "app"))
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.listener, r.conns, r.born = l, make(map[net.Conn]bool), time.Now().UnixMilli()
	r.slotsIn = make(chan struct{}, r.slots)
	r.mu.Unlock()
	server := &http.Server{Handler: r, ConnState: r.trackConn}
	go func() { _ = server.Serve(l) }()
	r.fleet.store.set("servers", r.id, r.registration("ready"))
	return nil
}

// registration returns the entry of the replica in the store.
func (r *replica) registration(state string) map[string]any {
	r.mu.Lock()
	defer r.mu.Unlock()
	return map[string]any{
		"service": r.service, "address": r.fleet.address(r.machine, "app"), "zone": zoneOf(r.machine), "version": "v1", "slots": r.slots,
		"state": state, "cold_remaining_ms": 0, "sequence": 1, "born": r.born,
	}
}

func (r *replica) trackConn(c net.Conn, state http.ConnState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if state == http.StateClosed {
		delete(r.conns, c)
		return
	}
	r.conns[c] = true
}

// crash ends the incarnation: its listener is closed and its connections are reset. The next one
// starts after downTime.
func (r *replica) crash(cause string) {
	r.mu.Lock()
	if r.listener == nil {
		r.mu.Unlock()
		return
	}
	_ = r.listener.Close()
	r.listener = nil
	for c := range r.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	r.crashTimes[cause] = append(r.crashTimes[cause], time.Now())
	r.mu.Unlock()
	r.fleet.rec.printf("%s crashes by %q", r.id, cause)
	time.AfterFunc(downTime, func() {
		if err := r.listen(); err != nil {
			r.fleet.rec.printf("%s does not start: %v", r.id, err)
			return
		}
		r.fleet.rec.printf("%s is back", r.id)
	})
}

func (r *replica) behaviour() behaviour {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.behave
}

// ServeHTTP implements http.Handler.
func (r *replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	switch q.URL.Path {
	case "/report", "/picked", "/order":
		r.serveRank(w, q)
		return
	case "/healthz":
		w.Header().Set("Instance-Id", r.id)
		return
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	id := q.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if target := q.Header.Get("Target-Instance"); target != "" && target != r.id {
		w.Header().Set("Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.mu.Lock()
	cause := string(body)
	r.arrivals[cause] = append(r.arrivals[cause], time.Now())
	slotsIn := r.slotsIn
	r.mu.Unlock()
	select {
	case slotsIn <- struct{}{}:
	case <-time.After(time.Second):
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-slotsIn }()
	r.run(w, q, id, cause)
}

// run runs a request that has a slot.
func (r *replica) run(w http.ResponseWriter, q *http.Request, id, body string) {
	b := r.behaviour()
	crashes := b.crashes != nil && b.crashes(body)
	r.fleet.rec.printf("%s runs %s (%s %s)", r.id, id, q.Method, q.URL.Path)
	if crashes && b.crashEvent == 0 {
		time.Sleep(plainWork)
		r.crash(body)
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Response-Signature", "s-"+r.id)
	if !strings.HasPrefix(q.URL.Path, "/stream") {
		time.Sleep(max(b.work, plainWork))
		if b.spoil != nil && b.spoil() {
			b.spoiled.Add(1)
			r.fleet.rec.printf("%s writes a second answer behind that to %s", r.id, id)
			writeSpoiled(w, id, "s-"+r.id)
			return
		}
		_, _ = io.WriteString(w, plainBody(id))
		return
	}
	r.stream(w, q, id, body, crashes, b)
}

// stream writes the events of a stream.
func (r *replica) stream(w http.ResponseWriter, q *http.Request, id, body string, crashes bool, b behaviour) {
	first := 1
	if last, err := strconv.Atoi(q.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for n := first; n <= b.events; n++ {
		if n == b.preemptAt {
			r.fleet.rec.printf("%s preempts %s after event %d", r.id, id, n-1)
			time.Sleep(b.preemptTime)
		}
		time.Sleep(b.eventInterval)
		_ = control.SetWriteDeadline(time.Now().Add(unreadTimeout))
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", n, strings.Repeat("x", b.eventBytes))
		_, err := io.WriteString(w, event)
		if err == nil {
			err = control.Flush()
		}
		if err != nil || q.Context().Err() != nil {
			r.fleet.rec.printf("%s: connection of %s was ended by the entry at event %d", r.id, id, n)
			return
		}
		if crashes && n >= first+b.crashEvent-1 {
			time.Sleep(plainWork)
			r.crash(body)
			panic(http.ErrAbortHandler)
		}
	}
	r.fleet.rec.printf("%s has written all events of %s", r.id, id)
}

// serveRank answers what agents and owners of expert maps ask a rank. The group is open, and its
// requests choose all experts alike, so that no change of the map is worth its price.
func (r *replica) serveRank(w http.ResponseWriter, q *http.Request) {
	r.mu.Lock()
	born := r.born
	r.mu.Unlock()
	step := int64(time.Since(r.fleet.rec.start) / passTime)
	switch {
	case q.URL.Path == "/order":
		w.WriteHeader(http.StatusConflict)
	case q.URL.Path == "/report":
		reply(w, http.StatusOK, map[string]any{
			"phase": "prefill_decode", "busy": false, "sequence": 0, "queued": 0, "running": 0, "born": born, "pace": 1,
			"group": map[string]any{"name": "g", "epoch": 1, "rank": r.rank, "state": "open"}, "size": rankCount,
			"step": step, "map": 0, "prepared": nil, "armed": nil, "held": nil,
		})
	case q.URL.Query().Has("lists"):
		sets := make([][]int, expertSets)
		for s := range sets {
			for e := r.rank; e < expertCount; e += rankCount {
				sets[s] = append(sets[s], e)
			}
		}
		reply(w, http.StatusOK, map[string]any{"map": map[string]any{"version": 0, "experts": sets}, "prepared": nil})
	default:
		reply(w, http.StatusOK, map[string]any{"step": step, "epoch": 1, "born": born, "counts": make([]int64, expertSets*expertCount)})
	}
}
