// Command goldcrestctl is the command line for operators: it checks and applies the
// configuration, takes data centres and instances out of service and back in, and
// reports on the system.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"goldcrestshore/ctl/process/operator"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	os.Exit(operator.Run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}
