// Package command implements the subcommands of goldcrest-standin.
package command

import (
	"context"
	"flag"
	"io"
	"net"
	"os"
	"sync"

	"github.com/cockroachdb/errors"

	"goldcrestshore/core/process/event"
	"goldcrestshore/core/process/settings"
)

// errUsage is returned for a command line without a known subcommand.
var errUsage = errors.New("usage: goldcrest-standin platform|engine|service|weights|network|load [flags]")

// subcommand is one stand-in with the name that selects it.
type subcommand struct {
	name string
	run  func(ctx context.Context, args []string, out io.Writer) error
}

var subcommands = []subcommand{
	{"platform", runPlatform},
	{"engine", runEngine},
	{"service", runService},
	{"weights", runWeights},
	{"network", runNetwork},
	{"load", runLoad},
}

// Run runs the subcommand named by the first argument until it finishes or ctx is canceled.
func Run(ctx context.Context, args []string, out io.Writer) error {
	if len(args) == 0 {
		return errUsage
	}
	for _, s := range subcommands {
		if s.name == args[0] {
			return s.run(ctx, args[1:], out)
		}
	}
	return errors.Wrapf(errUsage, "unknown subcommand %q", args[0])
}

// serverFlags are the flags shared by all stand-ins that listen on an address.
type serverFlags struct {
	listen   *string
	instance *string
	level    *string
}

func newServerFlags(fs *flag.FlagSet) serverFlags {
	return serverFlags{
		listen:   fs.String("listen", "127.0.0.1:0", "address and port to listen on"),
		instance: fs.String("instance", "", "instance name in logs; defaults to the listen address"),
		level:    fs.String("logLevel", "info", "minimum log level"),
	}
}

// process is the listener and the log of a running stand-in.
type process struct {
	listener net.Listener
	log      *event.Log
	stopOnce sync.Once
}

// open parses args, opens the listener and the log, and logs the start.
func (c serverFlags) open(ctx context.Context, fs *flag.FlagSet, args []string) (*process, error) {
	if err := settings.Parse(fs, args); err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	listener, err := net.Listen("tcp", *c.listen)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	if *c.instance == "" {
		*c.instance = listener.Addr().String()
	}
	log, err := event.NewLog(os.Stderr, *c.level, fs.Name(), *c.instance)
	if err != nil {
		return nil, errors.CombineErrors(err, listener.Close())
	}
	log.Emit(event.ProcessStarted, event.Fields{"listen": listener.Addr().String()})
	p := &process{listener: listener, log: log}
	context.AfterFunc(ctx, p.stop)
	return p, nil
}

// stop logs that the process is stopping, at most once.
func (p *process) stop() {
	p.stopOnce.Do(func() { p.log.Emit(event.ProcessStopping, nil) })
}

// finish logs how the process ended.
func (p *process) finish(err error) error {
	if err != nil {
		p.log.Error(event.ProcessFailed, err, nil)
		return err
	}
	p.stop()
	p.log.Emit(event.ProcessStopped, nil)
	return nil
}
