package command

import (
	"context"
	"flag"
	"io"

	"github.com/cockroachdb/errors"

	"goldcrestshore/core/process/clock"
	"goldcrestshore/standin/process/server"
	"goldcrestshore/standin/process/service"
)

// errServiceCrashed is returned after a call with the crash marker, so that the process exits.
var errServiceCrashed = errors.New("service crashed on a call with the crash marker")

func runService(ctx context.Context, args []string, _ io.Writer) error {
	fs := flag.NewFlagSet("service", flag.ContinueOnError)
	c := newServerFlags(fs)
	delay := fs.Int64("delayMs", 5, "time before a call is executed")
	responseDelay := fs.Int64("answerDelayMs", 0, "time between the execution of a call and its response")
	marker := fs.String("crashMarker", "", "text in a request body that ends the process")
	ledgerPath := fs.String("ledger", "", "file that stores the ledger; kept in memory when empty")
	process, err := c.open(ctx, fs, args)
	if err != nil {
		return err
	}
	ledger := service.NewLedger()
	if *ledgerPath != "" {
		if ledger, err = service.OpenLedger(*ledgerPath); err != nil {
			return process.finish(err)
		}
	}
	s := service.New(service.Options{
		DelayMs:         clock.Millis(*delay),
		ResponseDelayMs: clock.Millis(*responseDelay),
		CrashMarker:     *marker,
	}, ledger)
	ended := make(chan error, 1)
	go func() { ended <- (&server.Server{Handler: s}).Run(ctx, process.listener) }()
	select {
	case err = <-ended:
	case <-s.Crashed():
		err = errServiceCrashed
	}
	return process.finish(err)
}
