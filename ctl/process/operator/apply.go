package operator

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"goldcrestshore/core/connection/platform"
	"goldcrestshore/core/process/clock"
)

// readBackInterval is the time between attempts to learn what became of a write.
const readBackInterval = 200 * clock.Millis(1)

func (t *tool) applyCommand() *ffcli.Command {
	fs := t.platformFlags("goldcrestctl apply")
	base := fs.String("base", "", "version that the file was written for, 0 for none; the recorded one when empty")
	return &ffcli.Command{
		Name:       "apply",
		ShortUsage: "goldcrestctl apply [flags] <file>",
		ShortHelp:  "Put a configuration text in force.",
		LongHelp: `The text replaces only the version that it was written for: the one recorded by
get or by the last apply, or the one given by -base. The first text of all needs
neither. When another version is in
force, apply shows the difference and writes nothing. When the platform's answer
is lost, apply reads back what became of its write. Examples:

  goldcrestctl apply -platform 127.0.0.1:21000 services.jsonc
  goldcrestctl apply -platform 127.0.0.1:21000 -base 42 services.jsonc`,
		FlagSet: fs,
		Exec: t.withPlatform(1, "one file", func(ctx context.Context, args []string) error {
			return t.apply(ctx, args[0], *base)
		}),
	}
}

func (t *tool) apply(ctx context.Context, file, givenBase string) error {
	raw, err := readFile(file)
	if err != nil {
		return err
	}
	if _, err := parse(file, raw); err != nil {
		return err
	}
	current, err := t.current(ctx)
	if err != nil {
		return err
	}
	base, err := chooseBase(file, givenBase, current.version)
	if err != nil {
		return err
	}
	if current.version != base {
		return t.reportConflict(current, file, raw)
	}
	id, err := newWriteID()
	if err != nil {
		return err
	}
	stripped, _ := splitHistory(raw)
	return t.writeAndConfirm(ctx, write{file, base, id, stripped, current.history.appendTo(stripped, id)})
}

// chooseBase returns the version that a file may replace. The first text of all
// needs no base, since it replaces nobody's.
func chooseBase(file, given string, current uint64) (uint64, error) {
	if given != "" {
		version, err := strconv.ParseUint(given, 10, 64)
		if err != nil {
			return 0, errors.Wrapf(errUsage, "-base %q is no version", given)
		}
		return version, nil
	}
	version, err := readBase(file)
	if !errors.Is(err, errNoBase) {
		return version, err
	}
	if current == 0 {
		return 0, nil
	}
	return 0, errors.Wrapf(errUsage, "%v; run get first or give -base", err)
}

// write is one attempt to replace the text.
type write struct {
	file  string
	base  uint64
	id    string
	raw   []byte
	value []byte
}

// writeAndConfirm writes until it is known what became of the write. A write whose answer
// was lost may still be on its way; repeating it with the same id and base is
// safe, since only one of them can replace the base.
func (t *tool) writeAndConfirm(ctx context.Context, w write) error {
	indeterminate := false
	for {
		version, err := t.put(ctx, w)
		if err == nil {
			return t.reportApplied(w, version)
		}
		if !errors.Is(err, platform.ErrConflict) && !errors.Is(err, platform.ErrUnavailable) {
			return err
		}
		indeterminate = indeterminate || errors.Is(err, platform.ErrUnavailable)
		current, err := t.readBack(ctx, w)
		if err != nil {
			return err
		}
		if current.version != w.base {
			return t.resolveOutcome(w, current, indeterminate)
		}
		time.Sleep(readBackInterval.Duration())
	}
}

// put replaces the base version only.
func (t *tool) put(ctx context.Context, w write) (uint64, error) {
	if w.base == 0 {
		return t.platform.Create(ctx, platform.KindConfiguration, platform.NameRoot, w.value)
	}
	return t.platform.Update(ctx, platform.KindConfiguration, platform.NameRoot, w.base, w.value)
}

// readBack reads the text in force, and tries again until the command's time is
// over.
func (t *tool) readBack(ctx context.Context, w write) (activeConfiguration, error) {
	for {
		if ctx.Err() != nil {
			return activeConfiguration{}, errors.Wrapf(platform.ErrUnavailable, "the outcome of write %s is not known; repeat apply with the same base", w.id)
		}
		current, err := t.current(ctx)
		if err == nil {
			return current, nil
		}
		select {
		case <-ctx.Done():
		case <-time.After(readBackInterval.Duration()):
		}
	}
}

// resolveOutcome tells by the write's id whether it took effect, was overwritten since,
// or came too late to take effect. The base is no longer in force.
func (t *tool) resolveOutcome(w write, current activeConfiguration, maybeApplied bool) error {
	switch {
	case current.history.isLatest(w.id):
		return t.reportApplied(w, current.version)
	case current.history.contains(w.id):
		fmt.Fprint(t.out, unifiedDiff(current, w.file, w.raw))
		return errors.Wrapf(errOverwritten, "version %d is in force", current.version)
	case maybeApplied:
		fmt.Fprint(t.out, unifiedDiff(current, w.file, w.raw))
		return errors.Wrapf(errNotApplied, "version %d replaced the base first; get it, merge and apply again", current.version)
	}
	return t.reportConflict(current, w.file, w.raw)
}

func (t *tool) reportApplied(w write, version uint64) error {
	fmt.Fprintf(t.out, "%s is in force as version %d\n", w.file, version)
	if w.file == "-" {
		return nil
	}
	return writeBase(w.file, version)
}

// reportConflict shows what another operator has changed.
func (t *tool) reportConflict(current activeConfiguration, file string, raw []byte) error {
	fmt.Fprint(t.out, unifiedDiff(current, file, raw))
	return errors.Wrapf(platform.ErrConflict, "version %d is in force; get it, merge and apply again", current.version)
}
