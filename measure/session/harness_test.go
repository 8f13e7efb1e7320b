package session

import (
	"bytes"
	"cmp"
	"context"
	"encoding/base64"
	"encoding/binary"
	"flag"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tinylib/msgp/msgp"

	"goldcrestshore/agent/connection/entry"
	"goldcrestshore/agent/process/suspects"
	"goldcrestshore/agent/request/upstream"
	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/connection/peer"
	"goldcrestshore/core/connection/platform"
	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/event"
	"goldcrestshore/core/request/outcome"
	"goldcrestshore/core/version/configuration"
	"goldcrestshore/core/version/drainflag"
	"goldcrestshore/core/version/relay"
	"goldcrestshore/entry/connection/agent"
	entrysuspects "goldcrestshore/entry/process/suspects"
	"goldcrestshore/entry/request/caller"
	"goldcrestshore/entry/request/dispatch"
	"goldcrestshore/entry/request/schedule"
)

var update = flag.Bool("update", false, "rewrite the golden files")

const testConfiguration = `{
  "dataCentres": [{"name": "bilbao", "region": "norte-es"}, {"name": "oviedo", "region": "norte-es"}],
  "services": [
    {"name": "redactor", "kind": "model", "coldLimit": 1, "warmLimit": 2},
    {"name": "registro", "kind": "plain", "coldLimit": 1, "warmLimit": 2, "routes": [
      {"method": "GET", "path": "/certificates/*", "idempotent": true}, {"method": "POST", "path": "/certificates"}]},
  ],
  "customers": [{"name": "auctions", "keyHashes": ["8254c329a92850f6d539dd376f4816ee2764517da5e0235514af433164480d7a"]}],
}`

var key = []byte("shared key")

// latency is the one-way network latency between the entry and an agent.
const latency = time.Millisecond

// fakeUpstream handles one call in place of an upstream.
type fakeUpstream func(ctx context.Context, m *frame.Submit, response upstream.ResponseWriter) error

// Run implements entry.Upstream.
func (s fakeUpstream) Run(ctx context.Context, _ string, m *frame.Submit, response upstream.ResponseWriter) error {
	return s(ctx, m, response)
}

// fakeGate admits every request, or refuses every one if refusal is set.
type fakeGate struct{ refusal *outcome.Refusal }

func (g *fakeGate) Submit(_ frame.ID, _ *frame.Submit, decide func(*outcome.Refusal)) {
	decide(g.refusal)
}
func (g *fakeGate) FirstByte(frame.ID)   {}
func (g *fakeGate) Done(frame.ID, error) {}
func (g *fakeGate) Withdraw(frame.ID)    {}

// session is one entry with two agents in virtual time and the record of
// all frames between them.
type session struct {
	t        *testing.T
	ctx      context.Context
	start    time.Time
	snapshot atomic.Pointer[relay.Snapshot]
	caller   *caller.Server
	agents   map[string]*entry.Server
	gates    map[string]*fakeGate
	self     map[string]peer.Identity

	mu       sync.Mutex
	record   []line
	conns    []net.Conn
	dropping map[net.Conn]bool
	// down holds the upstreams that refuse connections.
	down map[string]bool
}

// runGolden runs one session and compares its record with the golden file.
func runGolden(t *testing.T, name string, upstreams map[string]fakeUpstream, steps func(s *session)) {
	t.Helper()
	got := recordSession(t, upstreams, steps)
	path := filepath.Join("testdata", name+".golden")
	if *update {
		check.NoError(t, "WriteFile", os.WriteFile(path, []byte(got), 0o644))
	}
	want, err := os.ReadFile(path)
	check.NoError(t, "ReadFile", err)
	check.Equal(t, name, got, string(want))
}

// recordSession runs one session in virtual time and returns its record.
func recordSession(t *testing.T, upstreams map[string]fakeUpstream, steps func(s *session)) (got string) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := newSession(t, ctx, upstreams)
		defer s.closeAll()
		steps(s)
		cancel()
		synctest.Wait()
		got = s.text()
		// Let frames in transit arrive: virtual time stops when this function
		// returns.
		time.Sleep(2 * latency)
		synctest.Wait()
	})
	return got
}

func newSession(t *testing.T, ctx context.Context, upstreams map[string]fakeUpstream) *session {
	t.Helper()
	log, err := event.NewLog(io.Discard, "error", "entry", "entry-1")
	check.NoError(t, "NewLog", err)
	s := &session{t: t, ctx: ctx, start: time.Now(), agents: map[string]*entry.Server{}, gates: map[string]*fakeGate{}, self: map[string]peer.Identity{}, dropping: map[net.Conn]bool{}, down: map[string]bool{}}
	s.configure(1, drainflag.Set{}, upstreams)
	for name, u := range upstreams {
		s.gates[name], s.self[name] = &fakeGate{}, peer.NewIdentity(platform.RoleAgent, name, dataCentreOf(name))
		watch := &suspects.Watcher{
			Clock: clock.System(), Log: log, Gate: s.gates[name], Upstream: u, Incarnation: 100,
			SendsReports:       func() bool { return false },
			RefusesConnections: func(context.Context) bool { return s.isDown(name) },
			NotifyCrash:        func(m *frame.Crash) { s.agents[name].ReportCrash(m) },
		}
		s.agents[name] = &entry.Server{
			Clock: clock.System(), Log: log, Gate: watch, Upstream: watch,
			Heartbeat:      func() *frame.Heartbeat { return frame.NewHeartbeat(1, s.load(name)) },
			Incarnation:    s.self[name].Incarnation(),
			MaxStreamBytes: 1 << 20,
		}
		s.agents[name].Start(ctx)
		go s.agents[name].Run(ctx)
	}
	self := peer.NewIdentity(platform.RoleEntry, "entry-1", "bilbao")
	scheduler := &schedule.Scheduler{
		Clock: clock.System(), CurrentSnapshot: s.snapshot.Load, Entry: "entry-1", DataCentre: "bilbao",
		Incarnation: 1, Random: rand.New(rand.NewPCG(2, 2)),
	}
	go scheduler.Run(ctx)
	crashSuspects := &entrysuspects.Service{Clock: clock.System(), Log: log, CurrentSnapshot: s.snapshot.Load}
	pool := &agent.Pool{OnCrash: crashSuspects.Crashed, Router: scheduler, Self: self, Key: key, Log: log, Clock: clock.System(), CurrentSnapshot: s.snapshot.Load, Dial: s.dial, Random: rand.New(rand.NewPCG(1, 1))}
	go pool.Run(ctx)
	s.caller = &caller.Server{
		Clock: clock.System(), Log: log, CurrentSnapshot: s.snapshot.Load, MaxConnections: 10, MaxRequests: 10, MaxBodyMemoryBytes: 1 << 24,
		Dispatcher: &dispatch.Dispatcher{Pool: pool, Scheduler: scheduler, Clock: clock.System(), Log: log, Incarnation: self.Incarnation(), Suspects: crashSuspects},
	}
	s.wait(100)
	return s
}

// load returns the load of a warm upstream with free capacity.
func (s *session) load(agent string) frame.Load {
	return frame.NewLoad(serviceOf(agent), frame.NewOccupancy(0, 4, 0, 0), frame.Condition{}, frame.Latency{})
}

func serviceOf(agent string) string { return agent[strings.Index(agent, "-")+1:] }

// dataCentreOf returns the data centre in an agent name such as
// "bilbao-redactor".
func dataCentreOf(agent string) string { return agent[:strings.Index(agent, "-")] }

func (s *session) configure(version uint64, drainFlags drainflag.Set, upstreams map[string]fakeUpstream) {
	parsed, err := configuration.Parse([]byte(testConfiguration))
	check.NoError(s.t, "Parse", err)
	var list []platform.Instance
	for _, name := range slices.Sorted(maps.Keys(upstreams)) {
		list = append(list, platform.NewInstance(name, platform.RoleAgent, dataCentreOf(name), name).WithUpstream("u", serviceOf(name)))
	}
	s.snapshot.Store(relay.NewSnapshot(version, parsed, drainFlags, list))
}

// wait advances virtual time.
func (s *session) wait(ms int) {
	time.Sleep(time.Duration(ms) * time.Millisecond)
	synctest.Wait()
}

// line is one line of the record. Lines with the same time and label keep their
// order; the order of different labels at the same time is not deterministic, so
// they are sorted by label.
type line struct {
	at    time.Duration
	label string
	text  string
}

// addLine adds a line to the record.
func (s *session) addLine(label, format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record = append(s.record, line{time.Since(s.start), label, fmt.Sprintf(format, args...)})
}

// text returns the record in order of time.
func (s *session) text() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	slices.SortStableFunc(s.record, func(a, b line) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.label, b.label))
	})
	var out strings.Builder
	for _, l := range s.record {
		fmt.Fprintf(&out, "%6d ms  %s  %s\n", l.at.Milliseconds(), l.label, l.text)
	}
	return out.String()
}

// dial connects the entry to an agent through a pipe whose frames are recorded.
func (s *session) dial(ctx context.Context, name string) (net.Conn, error) {
	server := s.agents[name]
	if server == nil || s.ctx.Err() != nil {
		return nil, errors.Newf("no agent %q", name)
	}
	entryEnd, agentEnd := net.Pipe()
	s.mu.Lock()
	s.conns = append(s.conns, entryEnd, agentEnd)
	s.mu.Unlock()
	go func() {
		c, err := peer.Accept(newRecordingConn(s, agentEnd, name+" -> entry"), s.self[name], key)
		if err == nil {
			server.Serve(s.ctx, c)
		}
	}()
	return newRecordingConn(s, entryEnd, "entry -> "+name), nil
}

// cutConnections closes every connection between the entry and its agents.
func (s *session) cutConnections() {
	s.addLine("fault", "all connections are cut")
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		_ = c.Close()
	}
	s.conns = nil
}

// closeAll closes all connections, which unblocks writes whose reader has
// stopped.
func (s *session) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		_ = c.Close()
	}
}

// dropWrites drops all data sent on the current connections, which stay open.
func (s *session) dropWrites() {
	s.addLine("fault", "all connections go silent")
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		s.dropping[c] = true
	}
}

func (s *session) isDropping(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dropping[c]
}

// call sends one request and records the response that the caller receives.
func (s *session) call(method, path, body string) {
	s.addLine("caller -> entry", "%s %s %s", method, path, body)
	q := httptest.NewRequestWithContext(s.ctx, method, path, strings.NewReader(body))
	q.Header.Set("Authorization", "Bearer k")
	w := httptest.NewRecorder()
	aborted := serve(s.caller, w, q)
	s.addLine("entry -> caller", "%d %s whole=%t %s", w.Code, w.Header().Get(outcome.Header), !aborted, truncate(w.Body.String()))
	s.wait(1)
}

// serve calls the handler and reports whether it aborted the response.
func serve(h http.Handler, w http.ResponseWriter, q *http.Request) (aborted bool) {
	defer func() {
		if r := recover(); r != nil {
			aborted = r == http.ErrAbortHandler
		}
	}()
	h.ServeHTTP(w, q)
	return false
}

// recordingConn records the frames written to a connection. Like a socket, and
// unlike a bare pipe, it accepts data before the other end reads it.
type recordingConn struct {
	net.Conn
	s        *session
	label    string
	unparsed []byte
	queue    chan packet
}

// packet is written data with its time of arrival.
type packet struct {
	at   time.Time
	data []byte
}

func newRecordingConn(s *session, c net.Conn, label string) *recordingConn {
	t := &recordingConn{Conn: c, s: s, label: label, queue: make(chan packet, 1024)}
	go t.forwardPackets()
	return t
}

func (c *recordingConn) forwardPackets() {
	for {
		select {
		case <-c.s.ctx.Done():
			return
		case b := <-c.queue:
			time.Sleep(time.Until(b.at))
			if c.s.isDropping(c.Conn) {
				continue
			}
			c.recordFrames(b.data)
			if _, err := c.Conn.Write(b.data); err != nil {
				return
			}
		}
	}
}

// Write implements net.Conn.
func (c *recordingConn) Write(b []byte) (int, error) {
	c.queue <- packet{time.Now().Add(latency), bytes.Clone(b)}
	return len(b), nil
}

// recordFrames records each complete frame.
func (c *recordingConn) recordFrames(b []byte) {
	c.unparsed = append(c.unparsed, b...)
	for len(c.unparsed) >= frame.HeaderBytes {
		size := frame.HeaderBytes + int(binary.BigEndian.Uint32(c.unparsed))
		if len(c.unparsed) < size {
			return
		}
		c.recordFrame(c.unparsed[:size])
		c.unparsed = c.unparsed[size:]
	}
}

var (
	incarnation = regexp.MustCompile(`"incarnation":\d+`)
	binaryField = regexp.MustCompile(`"(bytes|body)":"([^"]*)"`)
)

// maxShownBytes is the number of bytes of a body that the record shows.
const maxShownBytes = 100

// recordFrame adds a frame to the record. It omits the handshake, which
// contains random numbers, and heartbeats, which add no information.
func (c *recordingConn) recordFrame(b []byte) {
	id, m, err := frame.Read(bytes.NewReader(b))
	check.NoError(c.s.t, "frame", err)
	switch m.(type) {
	case *frame.Hello, *frame.Proof, *frame.Heartbeat:
		return
	}
	var body bytes.Buffer
	if len(b) > frame.HeaderBytes {
		_, err = msgp.UnmarshalAsJSON(&body, b[frame.HeaderBytes:])
		check.NoError(c.s.t, "body", err)
	}
	shown := incarnation.ReplaceAllString(body.String(), `"incarnation":0`)
	shown = binaryField.ReplaceAllStringFunc(shown, showBinary)
	c.s.addLine(c.label, "#%d %s %s", id.Sequence(), strings.TrimPrefix(fmt.Sprintf("%T", m), "*frame."), shown)
}

// showBinary decodes the base64 value of a field and truncates it.
func showBinary(field string) string {
	parts := binaryField.FindStringSubmatch(field)
	raw, err := base64.StdEncoding.DecodeString(parts[2])
	if err != nil {
		return field
	}
	return fmt.Sprintf("%q:%s", parts[1], truncate(string(raw)))
}

func truncate(s string) string {
	if len(s) <= maxShownBytes {
		return fmt.Sprintf("%q", s)
	}
	return fmt.Sprintf("%q and %d bytes more", s[:maxShownBytes], len(s)-maxShownBytes)
}
