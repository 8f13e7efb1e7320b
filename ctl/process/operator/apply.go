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

// readBackInterval is the time between attempts to determine the outcome of a write.
const readBackInterval = 200 * clock.Millis(1)

func (t *tool) applyCommand() *ffcli.Command {
	fs := t.platformFlags("goldcrestctl apply")
	base := fs.String("base", "", "version that the file replaces, 0 if no configuration exists yet; default is the recorded version")
	return &ffcli.Command{
		Name:       "apply",
		ShortUsage: "goldcrestctl apply [flags] <file>",
		ShortHelp:  "Put a configuration in force.",
		LongHelp: `The file replaces only its base version: the one recorded by get or by the last
apply, or the one given by -base. The first configuration needs no base. If
another version is in force, apply shows the differences and writes nothing. If
the platform's response is lost, apply reads the configuration back to determine
the outcome of its write. Examples:

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

// chooseBase returns the version that a file may replace. The first
// configuration needs no base, since there is no version to replace.
func chooseBase(file, given string, current uint64) (uint64, error) {
	if given != "" {
		version, err := strconv.ParseUint(given, 10, 64)
		if err != nil {
			return 0, errors.Wrapf(errUsage, "-base %q is not a version number", given)
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
	return 0, errors.Wrapf(errUsage, "%v; run get first or set -base", err)
}

// write is one replacement of the configuration.
type write struct {
	file  string
	base  uint64
	id    string
	raw   []byte
	value []byte
}

// writeAndConfirm retries the write until its outcome is known. A write whose
// response was lost may still be in transit; retrying it with the same ID and base
// is safe, since only one of the attempts can replace the base.
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

// put creates or updates the configuration, on condition that the base is unchanged.
func (t *tool) put(ctx context.Context, w write) (uint64, error) {
	if w.base == 0 {
		return t.platform.Create(ctx, platform.KindConfiguration, platform.NameRoot, w.value)
	}
	return t.platform.Update(ctx, platform.KindConfiguration, platform.NameRoot, w.base, w.value)
}

// readBack reads the configuration in force and retries on error until the
// command times out.
func (t *tool) readBack(ctx context.Context, w write) (activeConfiguration, error) {
	for {
		if ctx.Err() != nil {
			return activeConfiguration{}, errors.Wrapf(platform.ErrUnavailable, "the outcome of write %s is unknown; run apply again with the same base", w.id)
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

// resolveOutcome determines from the write's ID whether it took effect, has since
// been overwritten, or was preceded by another write. The base is no longer in
// force.
func (t *tool) resolveOutcome(w write, current activeConfiguration, maybeApplied bool) error {
	switch {
	case current.history.isLatest(w.id):
		return t.reportApplied(w, current.version)
	case current.history.contains(w.id):
		fmt.Fprint(t.out, unifiedDiff(current, w.file, w.raw))
		return errors.Wrapf(errOverwritten, "version %d is in force", current.version)
	case maybeApplied:
		fmt.Fprint(t.out, unifiedDiff(current, w.file, w.raw))
		return errors.Wrapf(errNotApplied, "version %d replaced the base first; fetch it with get, merge and apply again", current.version)
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

// reportConflict prints the differences from the version in force, which another
// operator wrote.
func (t *tool) reportConflict(current activeConfiguration, file string, raw []byte) error {
	fmt.Fprint(t.out, unifiedDiff(current, file, raw))
	return errors.Wrapf(platform.ErrConflict, "version %d is in force; fetch it with get, merge and apply again", current.version)
}
