// Command standin runs one case of the review against the project's own processes. Its first argument
// names the case and its second the folder for the record. It exits with 1 if the rule was broken, 0 if
// it held, and 2 if the case could not run. With TROUBLE=0 the disruption is left out.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// lab holds what a case has started.
type lab struct {
	record  *record
	trouble bool
	folder  string
	store   *store

	mu sync.Mutex
	// entries are the processes that were started.
	entries  []*entry
	replicas int
}

var cases = map[string]func(*lab) (bool, error){
	"cold": cold, "pause": pause, "withdrawn": withdrawn, "capitals": capitals, "rank": rank,
}

func main() {
	os.Exit(run(os.Args[1:]))
}

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func run(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		return exitNotRun
	}
	r, err := newRecord(filepath.Join(args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	broken, err := runCase(cases[args[0]], r)
	switch {
	case err != nil:
		r.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case broken:
		r.add("the rule was broken")
		return exitBroken
	}
	r.add("the rule held")
	return exitHeld
}

func runCase(f func(*lab) (bool, error), r *record) (broken bool, err error) {
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return false, err
	}
	l := &lab{record: r, trouble: os.Getenv("TROUBLE") != "0", folder: folder}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(folder)
	} else {
		fmt.Println(folder)
	}
	defer l.stop()
	if l.store, err = startStore(loopback(1) + ":0"); err != nil {
		return false, err
	}
	return f(l)
}

// stop ends all processes that were started.
func (l *lab) stop() {
	for _, e := range l.entries {
		e.stop()
	}
}

// startReplica starts a replica and registers it.
func (l *lab) startReplica(r *replica) error {
	if err := r.start(loopback(8+l.replicas) + ":0"); err != nil {
		return err
	}
	l.replicas++
	l.store.set("servers", r.id, registration(r.service, r.address, "ready", r.born, 1))
	return nil
}

// startEntry starts an entry and waits until it is ready.
func (l *lab) startEntry(name string) (*entry, error) {
	address := loopback(2 + len(l.entries))
	e, err := startProcess(l.folder, "entry", name, address, entrySettings(name, address, l.store.address))
	if err != nil {
		return nil, err
	}
	l.entries = append(l.entries, e)
	return e, e.awaitReady(10 * time.Second)
}

// startAgent starts a model replica that answers nothing but 404, its record, and the agent beside it.
func (l *lab) startAgent(name string) error {
	address := loopback(8 + l.replicas)
	l.replicas++
	listener, err := net.Listen("tcp4", address+":0")
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(listener, http.NotFoundHandler()) }()
	rank := listener.Addr().String()
	l.store.set("servers", "i-"+name, registration("scribe", rank, "ready", time.Now().UnixMilli(), 1))
	agent, err := startProcess(l.folder, "agent", name, address, agentSettings(name, address, l.store.address, rank))
	if err != nil {
		return err
	}
	l.entries = append(l.entries, agent)
	return nil
}

func (l *lab) dial(address string) (net.Conn, error) {
	return net.DialTimeout("tcp4", address, time.Second)
}
