package operator

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"goldcrestshore/core/connection/platform"
	"goldcrestshore/core/version/mark"
	"goldcrestshore/core/version/text"
)

// marksCommand takes what, a data centre or an instance, out of service and back.
func (t *tool) marksCommand(what string) *ffcli.Command {
	return &ffcli.Command{
		Name:       what,
		ShortUsage: "goldcrestctl " + what + " out|in [flags] <name>",
		ShortHelp:  "Take one " + what + " out of service or back in.",
		LongHelp: fmt.Sprintf(`New work ends within 3 s after the command; held work finishes. Examples:

  goldcrestctl %[1]s out -platform 127.0.0.1:21000 %[2]s
  goldcrestctl %[1]s in -platform 127.0.0.1:21000 %[2]s`, what, exampleName[what]),
		FlagSet: t.flags("goldcrestctl " + what),
		Subcommands: []*ffcli.Command{
			t.markCommand(what, "out", t.takeOut),
			t.markCommand(what, "in", t.takeIn),
		},
		Exec: usage,
	}
}

var exampleName = map[string]string{"datacentre": "oviedo", "instance": "agent-oviedo-3"}

func (t *tool) markCommand(what, direction string, run func(context.Context, string) error) *ffcli.Command {
	return &ffcli.Command{
		Name:       direction,
		ShortUsage: fmt.Sprintf("goldcrestctl %s %s [flags] <name>", what, direction),
		ShortHelp:  fmt.Sprintf("Take one %s %s.", what, direction),
		LongHelp:   fmt.Sprintf("Example:\n\n  goldcrestctl %s %s -platform 127.0.0.1:21000 %s", what, direction, exampleName[what]),
		FlagSet:    t.shared("goldcrestctl " + what + " " + direction),
		Exec: t.ready(1, "one name", func(ctx context.Context, args []string) error {
			if err := t.known(ctx, what, args[0]); err != nil {
				return err
			}
			name := mark.DataCentre(args[0])
			if what == "instance" {
				name = mark.Instance(args[0])
			}
			if err := run(ctx, name); err != nil {
				return err
			}
			fmt.Fprintf(t.out, "%s %s is %s\n", what, args[0], direction)
			return nil
		}),
	}
}

// known refuses a name that nothing has, since a misspelt mark would have no
// effect while the operator relies on it.
func (t *tool) known(ctx context.Context, what, name string) error {
	if what == "instance" {
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
	parsed, err := text.Parse(current.raw)
	if err != nil {
		return err
	}
	if !slices.ContainsFunc(parsed.DataCentres(), func(d *text.DataCentre) bool { return d.Name() == name }) {
		return errors.Wrapf(errUnknownName, "data centre %q", name)
	}
	return nil
}

// takeOut creates the mark. Its presence is all that counts, so a repeated
// write after a lost answer does no harm.
func (t *tool) takeOut(ctx context.Context, name string) error {
	return t.repeat(ctx, func() error {
		_, err := t.platform.Create(ctx, platform.KindDrainFlag, name, []byte("{}"))
		if errors.Is(err, platform.ErrConflict) {
			return nil // out already
		}
		return err
	})
}

// takeIn removes the mark.
func (t *tool) takeIn(ctx context.Context, name string) error {
	return t.repeat(ctx, func() error {
		err := t.platform.Delete(ctx, platform.KindDrainFlag, name, 0)
		if errors.Is(err, platform.ErrNotFound) {
			return nil // in already
		}
		return err
	})
}

// repeat tries again while the platform gives no answer and time is left.
func (t *tool) repeat(ctx context.Context, try func() error) error {
	for {
		err := try()
		if !errors.Is(err, platform.ErrUnavailable) {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(readBackWait.Duration()):
		}
	}
}
