package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// program is the program of the deploy file.
const program = "target/goldcrest-platform"

// ports are the ports of all processes; each process has a loopback address of its own.
var ports = struct{ callers, ready, first, metrics int }{freePort(), freePort(), freePort(), freePort()}

// freePort returns a port that is free on a loopback address, or 0 if there is none.
func freePort() int {
	l, err := net.Listen("tcp4", loopback(0)+":0")
	if err != nil {
		return 0 // the processes can't listen either, and the case ends
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

// entry is a process of the deploy file, an entry or an agent.
type entry struct {
	name, address string
	settingsPath  string
	cmd           *exec.Cmd
	ended         chan struct{}
}

// entrySettings are settings as the template of the deploy file has them.
func entrySettings(name, address, storeAddress string) map[string]any {
	return map[string]any{
		"instance": name, "dataCentre": "zone-a", "address": address,
		"callers": fmt.Sprintf("%s:%d", address, ports.callers), "ready": fmt.Sprintf("%s:%d", address, ports.ready),
		"peers": "", "portRange": fmt.Sprintf("%d,%d", ports.first, ports.first+15), "contacts": "", "replica": "",
		"store": storeAddress, "metricsPort": ports.metrics, "memoryMB": "284", "maxDescriptors": "4100",
		"graceS": "8", "stallMs": "1500", "heartbeatMs": "1200", "configMs": "2000", "drainMs": "2000",
		"dataCentreMs": "5000", "retryRatio": "0.2", "retryWindowS": "10", "retryAllowance": "94",
	}
}

// agentSettings are the settings of an agent beside a replica.
func agentSettings(name, address, storeAddress, replica string) map[string]any {
	out := entrySettings(name, address, storeAddress)
	out["callers"], out["ready"], out["replica"], out["memoryMB"] = "", "", replica, "152"
	return out
}

// startProcess starts a process of a role. Its log goes to a file beside its settings.
func startProcess(folder, role, name, address string, settings map[string]any) (*entry, error) {
	e := &entry{name: name, address: address, settingsPath: filepath.Join(folder, name+".conf"), ended: make(chan struct{})}
	if err := e.writeSettings(settings); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(folder, name+".log"))
	if err != nil {
		return nil, err
	}
	e.cmd = exec.Command(program, role)
	e.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GOLDCRESTSHORE_SETTINGS=" + e.settingsPath}
	e.cmd.Stdout, e.cmd.Stderr = log, log
	e.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := e.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = e.cmd.Wait() // the exit status is in ProcessState
		close(e.ended)
	}()
	return e, nil
}

func (e *entry) writeSettings(settings map[string]any) error {
	raw, err := json.MarshalIndent(settings, "", "\t")
	if err != nil {
		return err
	}
	return os.WriteFile(e.settingsPath, raw, 0o644)
}

func (e *entry) callers() string { return fmt.Sprintf("%s:%d", e.address, ports.callers) }

// awaitReady waits until the entry says that it is ready.
func (e *entry) awaitReady(timeout time.Duration) error {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get(fmt.Sprintf("http://%s:%d/readyz", e.address, ports.ready))
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", e.name, timeout)
}

func (e *entry) signal(s syscall.Signal) error { return e.cmd.Process.Signal(s) }

// stop kills the process and waits for its end.
func (e *entry) stop() {
	_ = e.cmd.Process.Kill() // it may have ended
	<-e.ended
}

// loopback returns a loopback address that belongs to this process.
func loopback(n int) string {
	pid := os.Getpid()
	return net.IPv4(127, byte(60+pid>>14&63), byte(1+(pid>>7)&127), byte(1+(pid&15)*16+n)).String()
}
