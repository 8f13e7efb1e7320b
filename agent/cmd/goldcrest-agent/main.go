// Command goldcrest-agent runs in the slot of an upstream. All requests to the
// upstream pass through it.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"goldcrestshore/agent/process/server"
	"goldcrestshore/core/process/event"
	"goldcrestshore/core/process/metric"
	"goldcrestshore/core/process/settings"
)

// defaultStreamBytes allows 1,024 responses with a window of 4 KiB each.
const defaultStreamBytes = 4 << 20

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "goldcrest-agent:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	fs := flag.NewFlagSet("goldcrest-agent", flag.ContinueOnError)
	common := settings.DefineCommon(fs)
	service := fs.String("service", "", "service of the upstream")
	upstream := fs.String("upstream", "", "address of the upstream, ip:port")
	streamBytes := fs.Int64("maxStreamBytes", defaultStreamBytes, "maximum buffered response bytes of all requests")
	if err := settings.Parse(fs, args); err != nil {
		return err
	}
	if err := common.Check(); err != nil {
		return err
	}
	if err := settings.Require("service", *service); err != nil {
		return err
	}
	if err := settings.Require("upstream", *upstream); err != nil {
		return err
	}
	log, err := event.NewLog(os.Stderr, common.LogLevel(), "agent", common.Instance())
	if err != nil {
		return err
	}
	s := &server.Server{
		Settings:       common,
		Service:        *service,
		Upstream:       *upstream,
		MaxStreamBytes: *streamBytes,
		Log:            log,
		Metrics:        metric.New("agent", common.Instance()),
	}
	return s.Run(context.Background())
}
