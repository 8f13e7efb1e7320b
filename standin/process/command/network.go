package command

import (
	"context"
	"flag"
	"io"
	"net"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"goldcrestshore/standin/process/network"
	"goldcrestshore/standin/process/server"
)

func runNetwork(ctx context.Context, args []string, _ io.Writer) error {
	fs := flag.NewFlagSet("network", flag.ContinueOnError)
	c := newServerFlags(fs)
	target := fs.String("target", "", "address to which connections are forwarded")
	control := fs.String("control", "127.0.0.1:0", "address that serves PUT /fault")
	process, err := c.open(ctx, fs, args)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", *control)
	if err != nil {
		return process.finish(errors.Wrap(err, "listen for control"))
	}
	n := &network.Network{Target: *target}
	s := &server.Server{Handler: n.Control()}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return n.Run(ctx, process.listener) })
	group.Go(func() error { return s.Run(ctx, listener) })
	return process.finish(group.Wait())
}
