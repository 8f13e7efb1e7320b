package operator

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"goldcrestshore/core/connection/platform"
	"goldcrestshore/core/version/configuration"
	"goldcrestshore/core/version/drainflag"
)

// drainCommand returns the command that takes a data centre or an instance out of
// service and back in.
func (t *tool) drainCommand(kind string) *ffcli.Command {
	return &ffcli.Command{
		Name:       kind,
		ShortUsage: "goldcrestctl " + kind + " out|in [flags] <name>",
		ShortHelp:  "Take one " + kind + " out of service or back in.",
		LongHelp: fmt.Sprintf(`New requests stop within 3 s of the command; requests in flight finish. Examples:

  goldcrestctl %[1]s out -platform 127.0.0.1:21000 %[2]s
  goldcrestctl %[1]s in -platform 127.0.0.1:21000 %[2]s`, kind, exampleName[kind]),
		FlagSet: t.newFlagSet("goldcrestctl " + kind),
		Subcommands: []*ffcli.Command{
			t.drainSubcommand(kind, "out", t.setDrainFlag),
			t.drainSubcommand(kind, "in", t.clearDrainFlag),
		},
		Exec: missingCommand,
	}
}

var exampleName = map[string]string{"datacentre": "oviedo", "instance": "agent-oviedo-3"}

func (t *tool) drainSubcommand(kind, direction string, run func(context.Context, string) error) *ffcli.Command {
	return &ffcli.Command{
		Name:       direction,
		ShortUsage: fmt.Sprintf("goldcrestctl %s %s [flags] <name>", kind, direction),
		ShortHelp:  fmt.Sprintf("Take one %s %s.", kind, direction),
		LongHelp:   fmt.Sprintf("Example:\n\n  goldcrestctl %s %s -platform 127.0.0.1:21000 %s", kind, direction, exampleName[kind]),
		FlagSet:    t.platformFlags("goldcrestctl " + kind + " " + direction),
		Exec: t.withPlatform(1, "one name", func(ctx context.Context, args []string) error {
			if err := t.checkNameExists(ctx, kind, args[0]); err != nil {
				return err
			}
			name := drainflag.DataCentre(args[0])
			if kind == "instance" {
				name = drainflag.Instance(args[0])
			}
			if err := run(ctx, name); err != nil {
				return err
			}
			fmt.Fprintf(t.out, "%s %s is %s\n", kind, args[0], direction)
			return nil
		}),
	}
}

// checkNameExists rejects a name that no data centre or instance has, since a
// drain flag on a misspelt name has no effect while the operator relies on it.
func (t *tool) checkNameExists(ctx context.Context, kind, name string) error {
	if kind == "instance" {
		list, err := t.platform.Instances(ctx)
		if err != nil {
			return err
		}
		if !slices.ContainsFunc(list, func(i platform.Instance) bool { return i.Name() == name }) {
			return errors.Wrapf(errUnknownName, "instance %q", name)
		}
		return nil
	}
	current, err := t.current(ctx)
	if err != nil {
		return err
	}
	parsed, err := configuration.Parse(current.raw)
	if err != nil {
		return err
	}
	if !slices.ContainsFunc(parsed.DataCentres(), func(d *configuration.DataCentre) bool { return d.Name() == name }) {
		return errors.Wrapf(errUnknownName, "data centre %q", name)
	}
	return nil
}

// setDrainFlag creates the drain flag. Only the presence of the flag counts, so
// retrying the write after a lost response is safe.
func (t *tool) setDrainFlag(ctx context.Context, name string) error {
	return t.retryUnavailable(ctx, func() error {
		_, err := t.platform.Create(ctx, platform.KindDrainFlag, name, []byte("{}"))
		if errors.Is(err, platform.ErrConflict) {
			return nil // already out of service
		}
		return err
	})
}

// clearDrainFlag deletes the drain flag.
func (t *tool) clearDrainFlag(ctx context.Context, name string) error {
	return t.retryUnavailable(ctx, func() error {
		err := t.platform.Delete(ctx, platform.KindDrainFlag, name, 0)
		if errors.Is(err, platform.ErrNotFound) {
			return nil // already in service
		}
		return err
	})
}

// retryUnavailable retries a call until the platform is available or ctx ends.
func (t *tool) retryUnavailable(ctx context.Context, call func() error) error {
	for {
		err := call()
		if !errors.Is(err, platform.ErrUnavailable) {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(readBackInterval.Duration()):
		}
	}
}
