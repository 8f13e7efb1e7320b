package command

import (
	"context"
	"flag"
	"io"

	"goldcrestshore/core/process/clock"
	"goldcrestshore/standin/process/platform"
	"goldcrestshore/standin/process/server"
)

func runPlatform(ctx context.Context, args []string, _ io.Writer) error {
	fs := flag.NewFlagSet("platform", flag.ContinueOnError)
	c := newServerFlags(fs)
	listLag := fs.Int64("listLagMs", 1000, "age of the instance list")
	process, err := c.open(ctx, fs, args)
	if err != nil {
		return err
	}
	p := platform.New(clock.System())
	p.SetFault(platform.Fault{ListLagMs: *listLag})
	s := &server.Server{Handler: p, CancelOnStop: true}
	return process.finish(s.Run(ctx, process.listener))
}
