package command

import (
	"context"
	"flag"
	"io"

	"goldcrestshore/standin/process/server"
	"goldcrestshore/standin/process/weights"
)

func runWeights(ctx context.Context, args []string, _ io.Writer) error {
	fs := flag.NewFlagSet("weights", flag.ContinueOnError)
	c := newServerFlags(fs)
	var o weights.Options
	fs.Int64Var(&o.BytesPerSecond, "bytesPerSecond", 64<<20, "transfer rate shared by all readers")
	fs.Int64Var(&o.ObjectBytes, "objectBytes", 32<<20, "default size of an object")
	process, err := c.open(ctx, fs, args)
	if err != nil {
		return err
	}
	s := &server.Server{Handler: weights.New(o)}
	return process.finish(s.Run(ctx, process.listener))
}
