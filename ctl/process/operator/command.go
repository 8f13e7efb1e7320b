// Package operator has the commands of goldcrestctl.
package operator

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"goldcrestshore/core/connection/platform"
	"goldcrestshore/core/process/clock"
)

// tool is what the commands share.
type tool struct {
	out      io.Writer
	errOut   io.Writer
	clock    *clock.Clock
	address  string
	timeout  clock.Millis
	platform *platform.Client
}

// defaultTimeout bounds a command that the platform keeps waiting.
const defaultTimeout = 10 * clock.Second

// Run carries out one command line and returns the exit code.
func Run(ctx context.Context, args []string, out, errs io.Writer) int {
	t := &tool{out: out, errOut: errs, clock: clock.System(), timeout: defaultTimeout}
	err := t.root().ParseAndRun(ctx, args)
	if err != nil && !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(errs, "goldcrestctl:", err)
	}
	return exitCode(err)
}

func (t *tool) root() *ffcli.Command {
	return &ffcli.Command{
		Name:       "goldcrestctl",
		ShortUsage: "goldcrestctl <command> [flags] [arguments]",
		ShortHelp:  "Operate goldcrestshore.",
		LongHelp: `Every command that talks to the platform takes -platform, or the variable
GOLDCREST_PLATFORM. Example:

  export GOLDCREST_PLATFORM=127.0.0.1:21000
  goldcrestctl get services.jsonc
  goldcrestctl diff services.jsonc
  goldcrestctl apply services.jsonc

Exit codes: 0 done, 1 other error, 2 wrong command line, 3 faults in the text or
unknown name, 4 another version is in force, 5 platform gave no answer, 6 write
did not take effect, 7 write was overwritten since, 8 differences found.`,
		FlagSet: t.platformFlags("goldcrestctl"),
		Options: []ff.Option{ff.WithEnvVarPrefix("GOLDCREST")},
		Subcommands: []*ffcli.Command{
			t.checkCommand(), t.getCommand(), t.diffCommand(), t.applyCommand(),
			t.drainCommand("datacentre"), t.drainCommand("instance"),
			t.statusCommand(), t.reportCommand(), t.explainCommand(),
		},
		Exec: missingCommand,
	}
}

// missingCommand refuses a command line that names no command.
func missingCommand(_ context.Context, args []string) error {
	return errors.Wrapf(errUsage, "no command for %q; see --help", args)
}

// newFlagSet returns an empty flag set that reports errors to the operator.
func (t *tool) newFlagSet(name string) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(t.errOut)
	return fs
}

// platformFlags returns the flags of the commands that call the platform. They may
// stand before or after the command.
func (t *tool) platformFlags(name string) *flag.FlagSet {
	fs := t.newFlagSet(name)
	fs.StringVar(&t.address, "platform", "", "address of the platform's object API, ip:port")
	fs.Func("timeout", "milliseconds to wait for the platform, in all (default 10000)", t.setTimeout)
	return fs
}

func (t *tool) setTimeout(value string) error {
	_, err := fmt.Sscan(value, &t.timeout)
	if err == nil && t.timeout <= 0 {
		err = errors.New("want more than 0")
	}
	return err
}

// connect prepares a command with exactly n arguments that calls the platform.
func (t *tool) connect(args []string, n int, want string) error {
	if len(args) != n {
		return errors.Wrapf(errUsage, "got %d arguments, want %s", len(args), want)
	}
	if t.address == "" {
		return errors.Wrap(errUsage, "-platform is missing")
	}
	t.platform = platform.New(t.address)
	return nil
}

// withTimeout runs a command withTimeout its timeout.
func (t *tool) withTimeout(ctx context.Context, run func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, t.timeout.Duration())
	defer cancel()
	return run(ctx)
}

// withPlatform prepares a command and runs it within its timeout.
func (t *tool) withPlatform(n int, want string, run func(context.Context, []string) error) func(context.Context, []string) error {
	return func(ctx context.Context, args []string) error {
		if err := t.connect(args, n, want); err != nil {
			return err
		}
		return t.withTimeout(ctx, func(ctx context.Context) error { return run(ctx, args) })
	}
}
