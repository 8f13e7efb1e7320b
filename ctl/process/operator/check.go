package operator

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"goldcrestshore/core/version/configuration"
)

func (t *tool) checkCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:       "check",
		ShortUsage: "goldcrestctl check <file>",
		ShortHelp:  "Check a configuration file without the platform.",
		LongHelp: `Prints each error with its line and column. Examples:

  goldcrestctl check services.jsonc
  generate-services | goldcrestctl check -`,
		FlagSet: t.newFlagSet("goldcrestctl check"),
		Exec: func(_ context.Context, args []string) error {
			if len(args) != 1 {
				return errors.Wrap(errUsage, "expected one file")
			}
			return t.check(args[0])
		},
	}
}

func (t *tool) check(file string) error {
	raw, err := readFile(file)
	if err != nil {
		return err
	}
	parsed, err := parse(file, raw)
	if err != nil {
		return err
	}
	fmt.Fprintf(t.out, "%s: %d data centres, %d services, %d customers, no faults\n",
		file, len(parsed.DataCentres()), len(parsed.Services()), len(parsed.Customers()))
	return nil
}

// readFile reads a file, or standard input for "-".
func readFile(file string) ([]byte, error) {
	if file == "-" {
		raw, err := io.ReadAll(io.LimitReader(os.Stdin, configuration.MaxBytes+1))
		return raw, errors.Wrap(err, "read standard input")
	}
	raw, err := os.ReadFile(file)
	return raw, errors.Wrap(err, "read configuration")
}

// parse parses a configuration together with a write history, so that the size
// limit covers both.
func parse(file string, raw []byte) (*configuration.Configuration, error) {
	unstamped, ids := splitHistory(raw)
	parsed, err := configuration.Parse(ids.appendTo(unstamped, "0000000000000000"))
	return parsed, errors.Wrapf(err, "%s", file)
}
