// Command standin runs one case of the review against the project's own processes. Its first argument
// names the case and its second the folder for the record. It exits with 1 if the rule was broken, 0 if
// it held, and 2 if the case could not run. With TROUBLE=0 the disruption is left out.
package main

import (
	"fmt"
	"net"
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

	mu       sync.Mutex
	entries  []*entry
	replicas int
}

var cases = map[string]func(*lab) (bool, error){
	"pause": pause, "withdrawn": withdrawn, "capitals": capitals,
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
	e, err := startEntry(l.folder, name, loopback(2+len(l.entries)), l.store.address)
	if err != nil {
		return nil, err
	}
	l.entries = append(l.entries, e)
	return e, e.awaitReady(10 * time.Second)
}

func (l *lab) dial(address string) (net.Conn, error) {
	return net.DialTimeout("tcp4", address, time.Second)
}
