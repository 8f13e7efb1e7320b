package operator

import (
	"context"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pmezard/go-difflib/difflib"

	"goldcrestshore/core/connection/platform"
)

// diffContext is the number of equal lines around a difference.
const diffContext = 3

func (t *tool) getCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:       "get",
		ShortUsage: "goldcrestctl get [flags] <file>",
		ShortHelp:  "Write the text in force to a file and record its version beside it.",
		LongHelp: `The version stands in <file>.base; apply refuses to replace any other. Example:

  goldcrestctl get -platform 127.0.0.1:21000 services.jsonc`,
		FlagSet: t.shared("goldcrestctl get"),
		Exec:    t.ready(1, "one file", t.get),
	}
}

func (t *tool) get(ctx context.Context, args []string) error {
	o, err := t.platform.Get(ctx, platform.KindConfiguration, platform.NameRoot)
	if err != nil {
		return err
	}
	raw, _ := split(o.Value())
	if err := os.WriteFile(args[0], raw, 0o644); err != nil {
		return errors.Wrap(err, "write text")
	}
	if err := writeBase(args[0], o.Version()); err != nil {
		return err
	}
	fmt.Fprintf(t.out, "version %d, %d bytes\n", o.Version(), len(raw))
	return nil
}

func (t *tool) diffCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:       "diff",
		ShortUsage: "goldcrestctl diff [flags] <file>",
		ShortHelp:  "Show what applying a file would change.",
		LongHelp: `Prints the differences between the text in force and the file, and ends with
code 8 when there are any. Example:

  goldcrestctl diff -platform 127.0.0.1:21000 services.jsonc`,
		FlagSet: t.shared("goldcrestctl diff"),
		Exec:    t.ready(1, "one file", t.diff),
	}
}

func (t *tool) diff(ctx context.Context, args []string) error {
	raw, err := readFile(args[0])
	if err != nil {
		return err
	}
	current, err := t.current(ctx)
	if err != nil {
		return err
	}
	shown := difference(current, args[0], raw)
	if shown == "" {
		fmt.Fprintf(t.out, "%s is version %d, in force\n", args[0], current.version)
		return nil
	}
	fmt.Fprint(t.out, shown)
	return errDiffers
}

// inForce is the text in force; version 0 means none.
type inForce struct {
	version uint64
	raw     []byte
	ids     stamp
}

// current reads the text in force.
func (t *tool) current(ctx context.Context) (inForce, error) {
	o, err := t.platform.Get(ctx, platform.KindConfiguration, platform.NameRoot)
	if errors.Is(err, platform.ErrNotFound) {
		return inForce{}, nil
	}
	if err != nil {
		return inForce{}, err
	}
	raw, ids := split(o.Value())
	return inForce{o.Version(), raw, ids}, nil
}

// difference returns the lines that differ, empty when none does.
func difference(current inForce, file string, raw []byte) string {
	own, _ := split(raw)
	shown, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A:        difflib.SplitLines(string(current.raw)),
		B:        difflib.SplitLines(string(own)),
		FromFile: fmt.Sprintf("version %d, in force", current.version),
		ToFile:   file,
		Context:  diffContext,
	})
	if err != nil {
		return err.Error() // only a writer can fail, and it is a string builder
	}
	return shown
}
