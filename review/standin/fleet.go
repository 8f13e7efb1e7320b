package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Bounds of the deployment, as in the settings and sheets of the site that the cases name.
const (
	contactTime    = 3 * time.Second
	graceTime      = 8 * time.Second
	configTime     = 2 * time.Second
	heartbeatTime  = 1200 * time.Millisecond
	expiryTime     = 3 * heartbeatTime
	entryCount     = 3
	rankCount      = 3
	plainCount     = 6
	startTimeout   = 15 * time.Second
	program        = "target/goldcrest-platform"
	modelService   = "redactor"
	plainService   = "registro"
	hostName       = "day.example"
	tenantName     = "tenant-1"
	tenantKey      = "key-1"
	metricsPort    = 9100
	expertSets     = 2
	expertCount    = 12
	expertPlaces   = 8
	idleTimeoutMs  = 15000
	routeTimeoutMs = 8000
)

// fleet is a small deployment: the project's programs as processes, and stand-ins for the
// store, the model service and the plain service.
type fleet struct {
	rec    *record
	dir    string
	prefix string
	ports  map[string]int
	store  *store
	// proxy stands between the processes and the store.
	proxy *proxy

	entries  []*process
	agents   []*process
	replicas []*replica
}

// process is a process of the project that runs on a machine of its own.
type process struct {
	name string
	ip   string
	cmd  *exec.Cmd
	log  *os.File
	done chan struct{}
}

// newFleet reserves addresses and starts the store.
func newFleet(rec *record) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{rec: rec, dir: dir, store: newStore()}
	f.prefix = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))
	f.ports = make(map[string]int)
	base := 20000 + 10*rand.IntN(900)
	for i, name := range []string{"front", "ready", "control", "internal", "app", "store"} {
		f.ports[name] = base + i
	}
	if err := serve(f.address(251, "store"), f.store); err != nil {
		return nil, err
	}
	f.proxy, err = startProxy(f.address(250, "store"), f.address(251, "store"))
	return f, err
}

func (f *fleet) ip(machine int) string { return fmt.Sprint(f.prefix, machine) }

func (f *fleet) address(machine int, port string) string {
	return net.JoinHostPort(f.ip(machine), fmt.Sprint(f.ports[port]))
}

// serve runs a handler on an address.
func serve(address string, h http.Handler) error {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(l, h) }()
	return nil
}

// Machines of each class have consecutive numbers.
const (
	firstEntry = 11
	firstSide  = 51
	firstPlain = 91
)

// start writes the configuration, starts the replicas and the processes, and waits until all
// entries are ready.
func (f *fleet) start(routes []any) error {
	f.store.set("config", "main", configuration(routes))
	for i := range rankCount {
		if err := f.startReplica(fmt.Sprint("i-rank-", i), modelService, firstSide+i, i); err != nil {
			return err
		}
	}
	for i := range plainCount {
		if err := f.startReplica(fmt.Sprint("i-plain-", i), plainService, firstPlain+i, -1); err != nil {
			return err
		}
	}
	for i := range rankCount {
		p, err := f.startProcess("agent", fmt.Sprint("side-", i), firstSide+i)
		if err != nil {
			return err
		}
		f.agents = append(f.agents, p)
	}
	for i := range entryCount {
		p, err := f.startProcess("entry", fmt.Sprint("front-", i), firstEntry+i)
		if err != nil {
			return err
		}
		f.entries = append(f.entries, p)
	}
	deadline := time.Now().Add(startTimeout)
	for i := range f.entries {
		for !f.ready(i) {
			if time.Now().After(deadline) {
				return fmt.Errorf("entry %d is not ready", i)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (f *fleet) ready(entry int) bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + f.address(firstEntry+entry, "ready") + "/readyz")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// front returns the address of an entry for callers.
func (f *fleet) front(entry int) string { return f.address(firstEntry+entry, "front") }

func configuration(routes []any) map[string]any {
	return map[string]any{
		"version": 7, "routes": routes,
		"services": []any{
			map[string]any{"name": modelService, "health_path": "/healthz", "max_connections": 208, "protocol": "h1", "tls": false, "warmup_s": 3.0, "warmup_per_s": 26.0,
				"engine": map[string]any{"slots": 12, "sets": expertSets, "experts": expertCount, "placements": expertPlaces, "spare": 3, "expert_mb": 2200.0, "link_mbps": 180000.0, "form_ms": 600.0}},
			map[string]any{"name": plainService, "health_path": "/healthz", "max_connections": 49, "protocol": "h1", "tls": false, "warmup_s": 0.0, "warmup_per_s": 0.0},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": idleTimeoutMs},
		"tenants": []any{map[string]any{"name": tenantName, "api_keys": []string{tenantKey}, "priority": 1}},
	}
}

// route returns a route to a service.
func route(path, kind, service string, maxAttempts int, resume bool) map[string]any {
	r := map[string]any{"name": "r-" + path, "hostname": hostName, "path_prefix": "/" + path + "/", "type": kind, "timeout_ms": routeTimeoutMs,
		"target_latency_ms": 500, "priority": 1, "service": service, "max_attempts": maxAttempts, "allow_anonymous": false}
	if kind == "stream" {
		r["target_gap_ms"], r["stream_resume"] = 120, resume
	}
	return r
}

// startProcess starts a role as the deploy file does, with settings as its template gives them.
func (f *fleet) startProcess(role, name string, machine int) (*process, error) {
	settings := map[string]any{
		"instance": name, "dataCentre": zoneOf(machine), "address": f.ip(machine), "portRange": fmt.Sprintf("%d,%d", f.ports["internal"], f.ports["internal"]),
		"contacts": "", "store": f.address(250, "store"), "metricsPort": metricsPort, "graceS": fmt.Sprint(graceTime.Seconds()), "stallMs": "1500",
		"heartbeatMs": fmt.Sprint(heartbeatTime.Milliseconds()), "retryRatio": "0.2", "retryWindowS": "10", "retryAllowance": "90",
	}
	if role == "entry" {
		settings["callers"], settings["ready"], settings["memoryMB"] = f.address(machine, "front"), f.address(machine, "ready"), "284"
	} else {
		settings["replica"], settings["memoryMB"] = f.address(machine, "app"), "152"
	}
	raw, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(f.dir, name+".json")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		return nil, err
	}
	p := &process{name: name, ip: f.ip(machine), done: make(chan struct{})}
	if p.log, err = os.Create(filepath.Join(f.dir, name+".log")); err != nil {
		return nil, err
	}
	p.cmd = exec.Command(program, role)
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.dir, "GOLDCRESTSHORE_SETTINGS=" + path}
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.done)
	}()
	f.rec.printf("%s starts", name)
	return p, nil
}

// signal sends a signal to a process.
func (f *fleet) signal(p *process, s syscall.Signal) {
	f.rec.printf("%s gets %v", p.name, s)
	_ = p.cmd.Process.Signal(s)
}

// stop ends all processes that were started.
func (f *fleet) stop() {
	for _, p := range append(f.entries, f.agents...) {
		_ = p.cmd.Process.Kill()
		<-p.done
		_ = p.log.Close()
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.CopyFS(keep, os.DirFS(f.dir))
	}
	_ = os.RemoveAll(f.dir)
}

func zoneOf(machine int) string { return []string{"bilbao", "oviedo", "pamplona"}[machine%3] }

// idSource makes request ids.
type idSource struct {
	mu sync.Mutex
	n  int
}

var ids idSource

func (s *idSource) next() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.n++
	return fmt.Sprintf("%08x%08x", rand.Uint32(), s.n)
}
