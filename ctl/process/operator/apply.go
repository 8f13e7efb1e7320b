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

// readBackWait is the time between attempts to learn what became of a write.
const readBackWait = 200 * clock.Millis(1)

func (t *tool) applyCommand() *ffcli.Command {
	fs := t.shared("goldcrestctl apply")
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
		Exec: t.ready(1, "one file", func(ctx context.Context, args []string) error {
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
		return t.conflict(current, file, raw)
	}
	id, err := newID()
	if err != nil {
		return err
	}
	own, _ := split(raw)
	return t.send(ctx, write{file, base, id, own, current.ids.joined(own, id)})
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

// send writes until it is known what became of the write. A write whose answer
// was lost may still be on its way; repeating it with the same id and base is
// safe, since only one of them can replace the base.
func (t *tool) send(ctx context.Context, w write) error {
	lost := false
	for {
		version, err := t.put(ctx, w)
		if err == nil {
			return t.applied(w, version)
		}
		if !errors.Is(err, platform.ErrConflict) && !errors.Is(err, platform.ErrUnavailable) {
			return err
		}
		lost = lost || errors.Is(err, platform.ErrUnavailable)
		current, err := t.readBack(ctx, w)
		if err != nil {
			return err
		}
		if current.version != w.base {
			return t.settle(w, current, lost)
		}
		time.Sleep(readBackWait.Duration())
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
func (t *tool) readBack(ctx context.Context, w write) (inForce, error) {
	for {
		if ctx.Err() != nil {
			return inForce{}, errors.Wrapf(platform.ErrUnavailable, "the outcome of write %s is not known; repeat apply with the same base", w.id)
		}
		current, err := t.current(ctx)
		if err == nil {
			return current, nil
		}
		select {
		case <-ctx.Done():
		case <-time.After(readBackWait.Duration()):
		}
	}
}

// settle tells by the write's id whether it took effect, was overwritten since,
// or came too late to take effect. The base is no longer in force.
func (t *tool) settle(w write, current inForce, lost bool) error {
	switch {
	case current.ids.last(w.id):
		return t.applied(w, current.version)
	case current.ids.has(w.id):
		fmt.Fprint(t.out, difference(current, w.file, w.raw))
		return errors.Wrapf(errOverwritten, "version %d is in force", current.version)
	case lost:
		fmt.Fprint(t.out, difference(current, w.file, w.raw))
		return errors.Wrapf(errNotApplied, "version %d replaced the base first; get it, merge and apply again", current.version)
	}
	return t.conflict(current, w.file, w.raw)
}

func (t *tool) applied(w write, version uint64) error {
	fmt.Fprintf(t.out, "%s is in force as version %d\n", w.file, version)
	if w.file == "-" {
		return nil
	}
	return writeBase(w.file, version)
}

// conflict shows what another operator has changed.
func (t *tool) conflict(current inForce, file string, raw []byte) error {
	fmt.Fprint(t.out, difference(current, file, raw))
	return errors.Wrapf(platform.ErrConflict, "version %d is in force; get it, merge and apply again", current.version)
}
