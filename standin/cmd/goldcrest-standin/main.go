// Command goldcrest-standin stands in for the systems around goldcrestshore: the
// platform, model engines, plain services, the weight store, the network and the
// callers.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"goldcrestshore/standin/process/command"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := command.Run(ctx, os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "goldcrest-standin:", err)
		os.Exit(1)
	}
}
