package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// spoiledList lets one model replica send one answer with a wrong byte, to the owner of the expert maps.
func spoiledList(w *world, tmp string) {
	w.store.put("config", "main", configuration(7, []map[string]any{
		{"name": "writer", "health_path": "/healthz", "max_connections": 200, "protocol": "h1", "tls": false, "warmup_s": 0, "warmup_per_s": 0, "engine": map[string]any{
			"slots": 12, "kv_capacity_tokens": 280000, "kv_token_bytes": 35136, "link_mbps": 180000, "stride": 6, "models": []map[string]any{{"name": "m"}},
			"step_ms": 4.84, "per_seq_ms": 0.362, "context_per_k": 0.011, "read_per_s": 74800, "pairs_per_m": 0.232, "chunk": 512, "report_lag_ms": 0,
			"usual": map[string]any{"prompt": promptTokens, "answer": outputTokens}, "sets": sets, "experts": experts, "placements": 8, "spare": 3,
			"expert_mb": 2200, "expert_share": 0.85, "form_ms": 600,
		}},
		{"name": "ledger", "health_path": "/healthz", "max_connections": 110, "protocol": "h1", "tls": false, "warmup_s": 0, "warmup_per_s": 0},
	},
		route("r-draft", "/draft/", "stream", "writer", map[string]any{"session_affinity": true, "target_gap_ms": 120, "stream_resume": true}),
		route("r-record", "/record/", "non_idempotent", "ledger", map[string]any{"timeout_ms": 4000, "target_latency_ms": 300, "max_attempts": 1})))
	g := &group{began: time.Now()}
	var sideIPs []string
	for i := range groupRanks {
		ip := fmt.Sprintf("127.0.0.%d", 31+i)
		sideIPs = append(sideIPs, ip)
		k := &rank{group: g, number: i}
		if i == 2 {
			k.spoilLists = 1
		}
		(&replica{world: w, service: "writer", zone: []string{"a", "b", "c"}[i%3], slots: 12, ip: ip, rank: k}).start("")
	}
	for i := range 3 {
		(&replica{world: w, service: "ledger", zone: []string{"a", "b", "c"}[i], slots: 12, workTime: 200 * time.Millisecond}).start("")
	}
	w.sideIPs = sideIPs
	var mu sync.Mutex
	lost := map[string]int{}
	w.onExit = func(e *entry) { w.record("entry %s has ended by itself: %s", e.ip, panicLine(e.log)) }
	stop, running := make(chan struct{}), &sync.WaitGroup{}
	w.startEntries(tmp, 2)
	w.startAgents(tmp)
	time.Sleep(4 * time.Second) // longer than contactMs
	for i := range 24 {         // clients that keep their connections
		running.Add(1)
		go func() {
			defer running.Done()
			time.Sleep(time.Duration(i) * 12 * time.Millisecond)
			e := w.entryFor(i)
			c := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}}
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				if id, passedOn := w.keep(c, e, fmt.Sprint("record ", i, " ", n)); passedOn {
					mu.Lock()
					lost[e.ip]++
					mu.Unlock()
					w.record("request %s was passed on, and its kept connection was closed without an answer", id)
				}
			}
		}()
	}
	time.Sleep(3 * time.Second)
	w.record("requests to the model service begin")
	w.load(stop, running, 20, func(i int) {
		w.send(w.entryFor(i), "POST", "/draft/d", fmt.Sprint("draft ", i), 8*time.Second)
	})
	time.Sleep(5 * time.Second)
	close(stop)
	running.Wait()
	most, ends := 0, 0
	for _, n := range lost {
		most = max(most, n)
	}
	w.mu.Lock()
	ends = w.ends
	spoiled, answers := 0, 0
	for _, r := range w.ranks {
		r.rank.mu.Lock()
		spoiled, answers = spoiled+r.rank.spoiled, answers+r.rank.answers
		r.rank.mu.Unlock()
	}
	w.mu.Unlock()
	w.record("the model replicas spoiled %d of %d answers to agents and owners", spoiled, answers)
	w.finish(most > 3, fmt.Sprintf("%d entries ended by themselves; one closed %d kept connections without an answer after it had passed the request on (3 are allowed)", ends, most))
}

// keep sends a request on a kept connection. It reports whether a request on a connection that was used
// before reached a replica and its connection was closed without an answer.
func (w *world) keep(c *http.Client, e *entry, body string) (id string, passedOn bool) {
	id = fmt.Sprintf("%08x%08x", w.random(), w.random())
	reused := false
	q, _ := http.NewRequest("POST", "http://"+e.callers+"/record/cycle", strings.NewReader(body))
	q = q.WithContext(httptrace.WithClientTrace(q.Context(), &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { reused = i.Reused }}))
	q.Host = hostName
	q.Header.Set("Request-Id", id)
	q.Header.Set("Key", key)
	q.Header.Set("Deadline-Ms", "4000")
	w.record("request %s POST /record/cycle is sent to %s", id, e.ip)
	resp, err := c.Do(q)
	status := 0
	if err == nil {
		status = resp.StatusCode
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
	w.record("request %s is answered: status %d, error %v", id, status, err)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.statuses[fmt.Sprintf("POST /record/: %d", status)]++
	if status != 0 || !reused {
		return id, false
	}
	for _, a := range w.arrivals {
		if a.request == id {
			return id, true
		}
	}
	return id, false
}

// startAgents starts an agent beside each rank.
func (w *world) startAgents(tmp string) {
	w.mu.Lock()
	replicas := append([]*replica(nil), w.ranks...)
	w.mu.Unlock()
	for i, r := range replicas {
		values := map[string]any{
			"instance": fmt.Sprintf("side-%d", i+1), "dataCentre": r.zone, "address": r.ip, "callers": "", "ready": "", "peers": "",
			"portRange": fmt.Sprintf("%d,%d", w.port, w.port+15), "contacts": "", "replica": r.address, "store": w.store.address, "metricsPort": 0,
			"memoryMB": "152", "graceS": "8", "stallMs": "1500", "heartbeatMs": "1200", "configMs": "2000", "drainMs": "2000", "dataCentreMs": "5000",
			"retryRatio": "0.2", "retryWindowS": "10", "retryAllowance": "94",
		}
		raw, _ := json.MarshalIndent(values, "", "  ")
		path := filepath.Join(tmp, fmt.Sprintf("agent-%d.json", i))
		if err := os.WriteFile(path, raw, 0o600); err != nil {
			fatal("%v", err)
		}
		cmd := exec.Command("target/goldcrest-platform", "agent")
		cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "GOLDCRESTSHORE_SETTINGS=" + path}
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // ends with this process
		f, err := os.Create(filepath.Join(tmp, fmt.Sprintf("agent-%d.log", i)))
		if err != nil {
			fatal("%v", err)
		}
		cmd.Stdout, cmd.Stderr = f, f
		if err := cmd.Start(); err != nil {
			fatal("start agent: %v", err)
		}
		w.agents = append(w.agents, cmd)
	}
}

// panicLine returns the line of a log that tells why its process has ended.
func panicLine(path string) string {
	raw, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(string(raw), "\n")
	for i, line := range lines {
		if strings.HasPrefix(line, "panic:") {
			return strings.Join(lines[i:min(i+6, len(lines))], " | ")
		}
	}
	return "no panic in its log"
}
