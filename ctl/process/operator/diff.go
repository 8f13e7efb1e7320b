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

// diffContext is the number of unchanged lines shown around a difference.
const diffContext = 3

func (t *tool) getCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:       "get",
		ShortUsage: "goldcrestctl get [flags] <file>",
		ShortHelp:  "Write the configuration in force to a file and record its version.",
		LongHelp: `The version is recorded in <file>.base; apply replaces only this version. Example:

  goldcrestctl get -platform 127.0.0.1:21000 services.jsonc`,
		FlagSet: t.platformFlags("goldcrestctl get"),
		Exec:    t.withPlatform(1, "one file", t.get),
	}
}

func (t *tool) get(ctx context.Context, args []string) error {
	object, err := t.platform.Get(ctx, platform.KindConfiguration, platform.NameRoot)
	if err != nil {
		return err
	}
	raw, _ := splitHistory(object.Value())
	if err := os.WriteFile(args[0], raw, 0o644); err != nil {
		return errors.Wrap(err, "write configuration")
	}
	if err := writeBase(args[0], object.Version()); err != nil {
		return err
	}
	fmt.Fprintf(t.out, "version %d, %d bytes\n", object.Version(), len(raw))
	return nil
}

func (t *tool) diffCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:       "diff",
		ShortUsage: "goldcrestctl diff [flags] <file>",
		ShortHelp:  "Show what applying a file would change.",
		LongHelp: `Prints the differences between the configuration in force and the file, and exits
with code 8 if there are any. Example:

  goldcrestctl diff -platform 127.0.0.1:21000 services.jsonc`,
		FlagSet: t.platformFlags("goldcrestctl diff"),
		Exec:    t.withPlatform(1, "one file", t.diff),
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
	changes := unifiedDiff(current, args[0], raw)
	if changes == "" {
		fmt.Fprintf(t.out, "%s is version %d, in force\n", args[0], current.version)
		return nil
	}
	fmt.Fprint(t.out, changes)
	return errDiffers
}

// activeConfiguration is the configuration in force; version 0 means that none exists.
type activeConfiguration struct {
	version uint64
	raw     []byte
	history writeHistory
}

// current reads the configuration in force.
func (t *tool) current(ctx context.Context) (activeConfiguration, error) {
	o, err := t.platform.Get(ctx, platform.KindConfiguration, platform.NameRoot)
	if errors.Is(err, platform.ErrNotFound) {
		return activeConfiguration{}, nil
	}
	if err != nil {
		return activeConfiguration{}, err
	}
	raw, ids := splitHistory(o.Value())
	return activeConfiguration{o.Version(), raw, ids}, nil
}

// unifiedDiff returns the differences in unified format, empty if there are none.
func unifiedDiff(current activeConfiguration, file string, raw []byte) string {
	proposed, _ := splitHistory(raw)
	diffText, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A:        difflib.SplitLines(string(current.raw)),
		B:        difflib.SplitLines(string(proposed)),
		FromFile: fmt.Sprintf("version %d, in force", current.version),
		ToFile:   file,
		Context:  diffContext,
	})
	if err != nil {
		return err.Error() // unreachable: only writes can fail, and the writer is in memory
	}
	return diffText
}
