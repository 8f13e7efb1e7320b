// Command review-standin plays the cases of the review that are scripts: it starts the project's
// programs as processes and is the platform, the replicas and the callers around them. Its
// arguments are the name of a case and the folder for record.txt. With TROUBLE=0 in the
// environment it leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxDuration bounds a run.
const maxDuration = 110 * time.Second

// cases maps names to functions that play a case and report whether the rule was broken.
var cases = map[string]func(f *fleet, trouble bool) (broken bool, err error){
	"lost-watch":     lostWatch,
	"second-answer":  secondAnswer,
	"silent-replica": silentReplica,
	"early-crash":    earlyCrash,
	"late-crash":     lateCrash,
	"other-query":    otherQuery,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin CASE FOLDER")
		return exitNotRun
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	f, err := newFleet(rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer f.stop()
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := cases[os.Args[1]](f, os.Getenv("TROUBLE") != "0")
		done <- result{broken, err}
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	select {
	case r := <-done:
		switch {
		case r.err != nil:
			rec.printf("the case could not run: %v", r.err)
			return exitNotRun
		case r.broken:
			rec.printf("RESULT: the rule was broken")
			return exitBroken
		}
		rec.printf("RESULT: the rule held")
		return exitHeld
	case <-interrupted:
	case <-time.After(maxDuration):
		rec.printf("the case took too long")
	}
	return exitNotRun
}
