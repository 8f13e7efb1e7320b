// Command reviewstandin plays the cases of the review: it starts the project's entry as separate
// processes and is the store, the replicas and the clients around them.
package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	hostName  = "ficu95.example"
	key       = "n2ctnfzs989anu6wsjnb"
	crashPath = "/lookup/crash"
	// contactMs and the others are the bounds of the settings.
	contactMs     = 3000
	coldOvershoot = 1.5
	coldSlack     = 5
)

type arrival struct {
	at            time.Time
	request       string
	replica, path string
	cold          bool
}

type world struct {
	trouble bool
	store   *store
	dir     string
	out     *bufio.Writer
	began   time.Time
	rng     *rand.Rand

	mu       sync.Mutex
	arrivals []arrival
	sent     map[string]time.Time
	ranCount map[string]int
	health   map[string]int
	crashes  []crashNote
	statuses map[string]int
	entries  []*entry
	// ranks are the replicas of the group, sideIPs their addresses, and agents the processes beside
	// them.
	ranks   []*replica
	sideIPs []string
	agents  []*exec.Cmd
	// port is the first port of the range that processes use among themselves.
	port int
	// onExit is called with an entry that ends by itself, and ends counts these.
	onExit   func(*entry)
	ends     int
	stopping bool
}

func (w *world) addRank(r *replica) {
	if r.rank == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ranks = append(w.ranks, r)
}

// watchExit starts an entry again that ends by itself, after a second.
func (w *world) watchExit(e *entry, tmp string, i int) {
	if w.onExit == nil {
		return
	}
	cmd := e.cmd
	e.exited = make(chan struct{})
	exited := e.exited
	go func() {
		_ = cmd.Wait()
		close(exited)
		w.mu.Lock()
		stopping := w.stopping
		if !stopping {
			w.ends++
		}
		w.mu.Unlock()
		if stopping {
			return
		}
		w.onExit(e)
		time.Sleep(time.Second)
		w.mu.Lock()
		defer w.mu.Unlock()
		if !w.stopping {
			e.start(w, tmp, i)
		}
	}()
}

type crashNote struct {
	at      time.Time
	replica string
	why     string
}

func fatal(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	os.Exit(2)
}

func newWorld(dir string) *world {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		fatal("%v", err)
	}
	w := &world{
		trouble: os.Getenv("TROUBLE") != "0", dir: dir, out: bufio.NewWriter(f), began: time.Now(), rng: rand.New(rand.NewSource(1)),
		sent: map[string]time.Time{}, ranCount: map[string]int{}, health: map[string]int{}, statuses: map[string]int{},
	}
	w.store = newStore()
	return w
}

func (w *world) random() uint32 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rng.Uint32()
}

// record writes a line of the record.
func (w *world) record(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.out, "%8.3f s  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

func (w *world) countHealth(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.health[id]++
}

func (w *world) crashed(id, why string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crashes = append(w.crashes, crashNote{time.Now(), id, why})
}

func (w *world) arrived(a arrival) {
	w.mu.Lock()
	w.arrivals = append(w.arrivals, a)
	w.mu.Unlock()
	cold := ""
	if a.cold {
		cold = " (cold)"
	}
	w.record("request %s %s reaches replica %s%s", a.request, a.path, a.replica, cold)
}

func (w *world) ran(request, replica string) {
	w.mu.Lock()
	w.ranCount[request]++
	w.mu.Unlock()
	w.record("request %s was run by replica %s", request, replica)
}

// mostWhileCold returns the highest number of requests that were sent to one cold replica and reached
// it within one second. It must be called with mu held.
func (w *world) mostWhileCold() int {
	byReplica := map[string][]arrival{}
	for _, a := range w.arrivals {
		if a.cold {
			byReplica[a.replica] = append(byReplica[a.replica], a)
		}
	}
	most := 0
	for _, cold := range byReplica {
		for i, first := range cold {
			n := 0
			for _, a := range cold[i:] {
				if a.at.Sub(first.at) < time.Second {
					n++
				}
			}
			most = max(most, n)
		}
	}
	return most
}

// entry is a process of the project.
type entry struct {
	callers, ready string
	ip             string
	settings, log  string
	cmd            *exec.Cmd
	// exited is closed once cmd has ended, if its end is watched.
	exited chan struct{}
}

// freePort returns a port that is free on all addresses for TCP and UDP.
func freePort(ips ...string) int {
	for range 100 {
		l, err := net.Listen("tcp4", ips[0]+":0")
		if err != nil {
			fatal("%v", err)
		}
		port := l.Addr().(*net.TCPAddr).Port
		l.Close()
		free := true
		for _, ip := range ips {
			address := fmt.Sprintf("%s:%d", ip, port)
			t, err := net.Listen("tcp4", address)
			if err != nil {
				free = false
				break
			}
			t.Close()
			u, err := net.ListenPacket("udp4", address)
			if err != nil {
				free = false
				break
			}
			u.Close()
		}
		if free {
			return port
		}
	}
	fatal("no free port")
	return 0
}

// startEntries starts entries with settings as the template of the deploy file gives them.
func (w *world) startEntries(tmp string, n int) {
	var ips []string
	for i := range n {
		ips = append(ips, fmt.Sprintf("127.0.0.%d", 11+i))
	}
	port, callers, ready := freePort(append(w.sideIPs, ips...)...), freePort(ips...), freePort(ips...)
	w.port = port
	for i, ip := range ips {
		e := &entry{ip: ip, callers: fmt.Sprintf("%s:%d", ip, callers), ready: fmt.Sprintf("%s:%d", ip, ready)}
		values := map[string]any{
			"instance": fmt.Sprintf("front-a-%d", i+1), "dataCentre": "a", "address": ip, "callers": e.callers, "ready": e.ready,
			"peers": "", "portRange": fmt.Sprintf("%d,%d", port, port+15), "contacts": "", "replica": "", "store": w.store.address,
			"metricsPort": 0, "memoryMB": "284", "graceS": "8", "stallMs": "1500", "heartbeatMs": "1200", "configMs": "2000", "drainMs": "2000",
			"dataCentreMs": "5000", "retryRatio": "0.2", "retryWindowS": "10", "retryAllowance": "94",
		}
		raw, _ := json.MarshalIndent(values, "", "  ")
		e.settings = filepath.Join(tmp, fmt.Sprintf("entry-%d.json", i))
		if err := os.WriteFile(e.settings, raw, 0o600); err != nil {
			fatal("%v", err)
		}
		w.entries = append(w.entries, e)
		e.start(w, tmp, i)
	}
	deadline := time.Now().Add(10 * time.Second)
	for _, e := range w.entries {
		for !e.isReady() {
			if time.Now().After(deadline) {
				w.stopEntries()
				fatal("an entry is not ready")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	w.record("%d entries are ready", n)
}

func (e *entry) start(w *world, tmp string, i int) {
	e.cmd = exec.Command("target/goldcrest-platform", "entry")
	e.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // ends with this process
	e.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "GOLDCRESTSHORE_SETTINGS=" + e.settings}
	e.log = filepath.Join(tmp, fmt.Sprintf("entry-%d-%d.log", i, time.Since(w.began).Milliseconds()))
	f, err := os.Create(e.log)
	if err != nil {
		fatal("%v", err)
	}
	e.cmd.Stdout, e.cmd.Stderr = f, f
	if err := e.cmd.Start(); err != nil {
		fatal("start entry: %v", err)
	}
	w.watchExit(e, tmp, i)
}

func (e *entry) isReady() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + e.ready + "/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == 200
}

func (w *world) stopEntries() {
	w.mu.Lock()
	w.stopping = true
	cmds := append([]*exec.Cmd(nil), w.agents...)
	var watched []chan struct{}
	for _, e := range w.entries {
		if e.cmd == nil || e.cmd.Process == nil {
			continue
		}
		if e.exited == nil {
			cmds = append(cmds, e.cmd)
			continue
		}
		_ = e.cmd.Process.Kill()
		watched = append(watched, e.exited)
	}
	w.mu.Unlock()
	for _, cmd := range cmds {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
	for _, exited := range watched {
		<-exited
	}
}

var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}

type result struct {
	id     string
	status int // 0 for none
	signed bool
	whole  bool
	body   string
}

// send sends one attempt of a client, on a new connection, and waits for its answer.
func (w *world) send(e *entry, method, path, body string, deadline time.Duration) result {
	id := fmt.Sprintf("%08x%08x", w.random(), w.random())
	q, _ := http.NewRequest(method, "http://"+e.callers+path, strings.NewReader(body))
	q.Host = hostName
	q.Header.Set("Request-Id", id)
	q.Header.Set("Key", key)
	q.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	if isStream(path) {
		q.Header.Set("Model", "m")
		q.Header.Set("Token-Usage", "400,40")
		q.Header.Set("Prompt-Prefix", "5c1e07a2:40,"+fmt.Sprintf("%08x:360", hash(path+body)))
	}
	w.mu.Lock()
	w.sent[id] = time.Now()
	w.mu.Unlock()
	w.record("request %s %s %s is sent to %s", id, method, path, e.ip)
	c := *client
	c.Timeout = deadline
	out := result{id: id}
	resp, err := c.Do(q)
	if err == nil {
		out.status, out.signed = resp.StatusCode, resp.Header.Get("Response-Signature") != ""
		var b bytes.Buffer
		_, err = io.Copy(&b, resp.Body)
		resp.Body.Close()
		out.whole, out.body = err == nil, b.String()
	}
	w.mu.Lock()
	w.statuses[fmt.Sprintf("%s %s: %d, whole %v", method, routeOf(path), out.status, out.whole)]++
	w.mu.Unlock()
	w.record("request %s is answered: status %d, signed %v, whole %v", id, out.status, out.signed, out.whole)
	return out
}

func routeOf(path string) string { return path[:strings.Index(path[1:], "/")+2] }

func hash(s string) uint32 {
	h := uint32(2166136261)
	for _, c := range []byte(s) {
		h = (h ^ uint32(c)) * 16777619
	}
	return h
}

// load sends requests at a rate until stop is closed.
func (w *world) load(stop <-chan struct{}, running *sync.WaitGroup, perSecond float64, f func(i int)) {
	running.Add(1)
	go func() {
		defer running.Done()
		ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-ticker.C:
				running.Add(1)
				go func() {
					defer running.Done()
					f(i)
				}()
			}
		}
	}()
}

func (w *world) entryFor(i int) *entry { return w.entries[i%len(w.entries)] }

// finish writes the summary and ends with the verdict.
func (w *world) finish(broken bool, summary string) {
	w.stopEntries()
	w.record("answers: %v", w.statuses)
	w.record("verdict: %s", summary)
	w.mu.Lock()
	w.out.Flush()
	w.mu.Unlock()
	fmt.Println(summary)
	if broken {
		os.Exit(1)
	}
	os.Exit(0)
}

func route(name, prefix, kind, service string, extra map[string]any) map[string]any {
	r := map[string]any{
		"name": name, "hostname": hostName, "path_prefix": prefix, "type": kind, "timeout_ms": 8000, "target_latency_ms": 400,
		"priority": 1, "service": service, "max_attempts": 2, "allow_anonymous": false, "session_affinity": false,
	}
	for k, v := range extra {
		r[k] = v
	}
	return r
}

func configuration(version int, services []map[string]any, routes ...map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": "hule930", "api_keys": []string{key}, "priority": 1}},
	}
}

func main() {
	if len(os.Args) != 4 {
		fatal("usage: reviewstandin CASE FOLDER TEMPORARY-FOLDER")
	}
	w := newWorld(os.Args[2])
	switch os.Args[1] {
	case "spoiled-list":
		spoiledList(w, os.Args[3])
	case "two-maps":
		twoMaps(w, os.Args[3])
	case "release-crash":
		releaseCrash(w, os.Args[3])
	case "query-crash":
		queryCrash(w, os.Args[3])
	case "evacuation":
		evacuation(w, os.Args[3])
	case "cold-in-outage":
		coldInOutage(w, os.Args[3])
	}
	fatal("unknown case")
}
