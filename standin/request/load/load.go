package load

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrFaults reports a run with incorrectly served requests.
var ErrFaults = errors.New("run had wrong, cut or duplicated requests, or requests that ran although refused as not run")

// retryDelay is the delay before a keyed request is retried.
const retryDelay = 200 * time.Millisecond

// Load is one run of the generator. Create it with New.
type Load struct {
	options   Options
	caller    *caller
	slow      *slowReaders
	tally     *tally
	resultLog resultLog
	out       io.Writer
}

// New checks the options and returns a run that prints to out.
func New(o Options, out io.Writer) (*Load, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	l := &Load{options: o, tally: newTally(out), out: out}
	l.caller = newCaller(&l.options, newTransport(o.MaxInFlight, 0))
	l.slow = newSlowReaders(&l.options)
	return l, nil
}

// Run sends requests until the duration has elapsed or ctx is canceled, waits for
// those in flight, reads the ledgers and prints the result line. It returns
// ErrFaults if a response was wrong or cut, or if a request ran more than once or
// ran although it was refused as not run.
func (l *Load) Run(ctx context.Context) error {
	runCtx, stop := context.WithTimeout(ctx, l.options.Duration)
	defer stop()
	var background sync.WaitGroup
	background.Go(func() { l.slow.run(runCtx, newSlowPlanner(&l.options)) })
	background.Go(func() { l.printProgress(runCtx) })
	l.send(runCtx)
	background.Wait()
	l.tally.printWindow()
	l.tally.printDetails()
	l.slow.print(l.out)
	j, err := l.verify()
	if err != nil {
		return err
	}
	return l.finish(j)
}

// printProgress prints a line for each window until ctx is canceled.
func (l *Load) printProgress(ctx context.Context) {
	for sleep(ctx, l.options.Window) {
		l.tally.printWindow()
	}
}

// send starts the planned requests until ctx is canceled and waits for those in
// flight, which are canceled after the drain timeout.
func (l *Load) send(ctx context.Context) {
	drainCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	p := newPlanner(&l.options)
	slots := make(chan struct{}, l.options.MaxInFlight)
	var inFlight sync.WaitGroup
	due := time.Now()
	for l.options.Rate > 0 {
		r := p.next()
		due = due.Add(r.after)
		if !sleep(ctx, time.Until(due)) {
			break
		}
		select {
		case slots <- struct{}{}:
		default:
			l.tally.countSkipped()
			continue
		}
		inFlight.Go(func() {
			l.sendWithRetries(drainCtx, r)
			<-slots
		})
	}
	<-ctx.Done()
	defer time.AfterFunc(l.options.Drain, cancel).Stop()
	inFlight.Wait()
}

// sendWithRetries sends one request and retries it up to KeyedRetries times if it is keyed.
func (l *Load) sendWithRetries(ctx context.Context, r *request) {
	attempts := []result{l.caller.send(ctx, r, r.entry)}
	for i := 1; r.kind == Keyed && i <= l.options.KeyedRetries; i++ {
		if !attempts[i-1].retryable || !sleep(ctx, retryDelay) {
			break
		}
		l.tally.countRetried()
		attempts = append(attempts, l.caller.send(ctx, r, r.entry+i))
	}
	l.resultLog.add(r, attempts)
	l.tally.add(r, attempts[len(attempts)-1])
}

// verify compares the results that callers received with the ledgers.
func (l *Load) verify() (comparison, error) {
	ctx, cancel := context.WithTimeout(context.Background(), l.options.Drain)
	defer cancel()
	if len(l.options.Ledgers) == 0 {
		return comparison{}, nil
	}
	executions, err := readLedgers(ctx, l.options.Ledgers)
	if err != nil {
		return comparison{}, err
	}
	j := l.resultLog.compare(executions)
	for _, e := range j.examples {
		fmt.Fprintln(l.out, e)
	}
	fmt.Fprintf(l.out, "ledger executions=%d checked=%d unrecorded=%d unknownRan=%d\n",
		len(executions), len(l.resultLog.items), j.unrecorded, j.unknownRan)
	return j, nil
}

// finish prints the result line and returns ErrFaults if the run had faults. Wrong
// and cut responses of slow readers count like those of normal requests.
func (l *Load) finish(j comparison) error {
	c := l.tally.counts
	wrong := c[Wrong] + l.slow.counts.wrong
	cut := c[Cut] + l.slow.counts.cut
	first := l.tally.total.firstToken
	fmt.Fprintf(l.out, "result load requests=%d ok=%d wrong=%d cut=%d notRun=%d unknown=%d duplicated=%d falseNotRun=%d firstTokenP50Ms=%.1f firstTokenP95Ms=%.1f late=%d unreached=%d hung=%d skipped=%d\n",
		l.tally.requests(), c[OK], wrong, cut, c[NotRun], c[Unknown], j.duplicated, j.falseNotRun,
		millis(first, 50), millis(first, 95), c[Late], c[Unreached], c[Hung], l.tally.skipped)
	if wrong+cut+j.duplicated+j.falseNotRun > 0 {
		return ErrFaults
	}
	return nil
}
