// Command goldcrest-entry accepts callers' requests and runs them on upstreams
// through their agents.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"goldcrestshore/core/process/event"
	"goldcrestshore/core/process/metric"
	"goldcrestshore/core/process/settings"
	"goldcrestshore/entry/process/server"
)

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "goldcrest-entry:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	fs := flag.NewFlagSet("goldcrest-entry", flag.ContinueOnError)
	common := settings.DefineCommon(fs)
	callers := fs.String("callers", "", "listen address for callers, ip:port")
	maxConnections := fs.Int64("maxConnections", 4096, "maximum number of open connections of callers; never more than 0.6 of the descriptors that the system allows")
	maxBodyMemoryBytes := fs.Int64("maxBodyBytes", 64<<20, "maximum total bytes of the request bodies of all callers")
	maxHeadMemoryBytes := fs.Int64("maxHeadMemoryBytes", 16<<20, "maximum total memory in bytes of the heads of requests, as far as one takes more than 16 KiB")
	maxRequests := fs.Int64("maxRequests", 2048, "maximum number of requests in flight")
	if err := settings.Parse(fs, args); err != nil {
		return err
	}
	if err := common.Check(); err != nil {
		return err
	}
	if err := settings.Require("callers", *callers); err != nil {
		return err
	}
	log, err := event.NewLog(os.Stderr, common.LogLevel(), "entry", common.Instance())
	if err != nil {
		return err
	}
	s := &server.Server{
		Settings:           common,
		Callers:            *callers,
		MaxConnections:     int64(settings.Descriptors(0, settings.CallerDescriptorFraction, int(*maxConnections))),
		MaxHeadMemoryBytes: *maxHeadMemoryBytes,
		MaxRequests:        *maxRequests,
		MaxBodyMemoryBytes: *maxBodyMemoryBytes,
		Log:                log,
		Metrics:            metric.New("entry", common.Instance()),
	}
	return s.Run(context.Background())
}
