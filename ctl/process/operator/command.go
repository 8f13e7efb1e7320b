// Package operator implements the commands of goldcrestctl.
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

// tool holds the output, clock, flags and platform client shared by all commands.
type tool struct {
	out      io.Writer
	errOut   io.Writer
	clock    *clock.Clock
	address  string
	timeout  clock.Millis
	platform *platform.Client
}

// defaultTimeout limits how long a command waits for the platform.
const defaultTimeout = 10 * clock.Second

// Run executes one command line and returns the exit code.
func Run(ctx context.Context, args []string, out, errOut io.Writer) int {
	t := &tool{out: out, errOut: errOut, clock: clock.System(), timeout: defaultTimeout}
	err := t.root().ParseAndRun(ctx, args)
	if err != nil && !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(errOut, "goldcrestctl:", err)
	}
	return exitCode(err)
}

func (t *tool) root() *ffcli.Command {
	return &ffcli.Command{
		Name:       "goldcrestctl",
		ShortUsage: "goldcrestctl <command> [flags] [arguments]",
		ShortHelp:  "Operate goldcrestshore.",
		LongHelp: `Every command that calls the platform needs the flag -platform or the environment
variable GOLDCREST_PLATFORM. Example:

  export GOLDCREST_PLATFORM=127.0.0.1:21000
  goldcrestctl get services.jsonc
  goldcrestctl diff services.jsonc
  goldcrestctl apply services.jsonc

Exit codes: 0 success, 1 other error, 2 invalid arguments, 3 invalid configuration
or unknown name, 4 another version is in force, 5 platform is unavailable, 6 write
did not take effect, 7 write has since been overwritten, 8 differences found.`,
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

// missingCommand rejects a command line that names no command.
func missingCommand(_ context.Context, args []string) error {
	return errors.Wrapf(errUsage, "unknown or missing command in %q; see --help", args)
}

// newFlagSet returns an empty flag set that prints errors to errOut.
func (t *tool) newFlagSet(name string) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(t.errOut)
	return fs
}

// platformFlags returns the flags of the commands that call the platform. The
// flags may precede or follow the command name.
func (t *tool) platformFlags(name string) *flag.FlagSet {
	fs := t.newFlagSet(name)
	fs.StringVar(&t.address, "platform", "", "address of the platform's object API, ip:port")
	fs.Func("timeout", "total time to wait for the platform, in milliseconds (default 10000)", t.setTimeout)
	return fs
}

func (t *tool) setTimeout(value string) error {
	_, err := fmt.Sscan(value, &t.timeout)
	if err == nil && t.timeout <= 0 {
		err = errors.New("timeout must be greater than 0")
	}
	return err
}

// connect checks that there are exactly n arguments and creates the platform client.
func (t *tool) connect(args []string, n int, want string) error {
	if len(args) != n {
		return errors.Wrapf(errUsage, "got %d arguments, expected %s", len(args), want)
	}
	if t.address == "" {
		return errors.Wrap(errUsage, "flag -platform is missing")
	}
	t.platform = platform.New(t.address)
	return nil
}

// withTimeout runs a command under the -timeout limit.
func (t *tool) withTimeout(ctx context.Context, run func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, t.timeout.Duration())
	defer cancel()
	return run(ctx)
}

// withPlatform returns an Exec function that checks the arguments, creates the
// platform client and runs the command under the -timeout limit.
func (t *tool) withPlatform(n int, want string, run func(context.Context, []string) error) func(context.Context, []string) error {
	return func(ctx context.Context, args []string) error {
		if err := t.connect(args, n, want); err != nil {
			return err
		}
		return t.withTimeout(ctx, func(ctx context.Context) error { return run(ctx, args) })
	}
}
