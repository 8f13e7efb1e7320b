package operator

import (
	"context"
	"encoding/json"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3/ffcli"

	"goldcrestshore/ctl/process/explain"
)

// stdin is the file name that denotes standard input.
const stdin = "-"

func (t *tool) explainCommand() *ffcli.Command {
	fs := t.newFlagSet("goldcrestctl explain")
	asJSON := fs.Bool("json", false, "print JSON")
	return &ffcli.Command{
		Name:       "explain",
		ShortUsage: "goldcrestctl explain [-json] REQUEST-ID [FILE…]",
		ShortHelp:  "Print the logged events of a request from all processes.",
		LongHelp:   "Reads the log files of any number of processes, or standard input.",
		FlagSet:    fs,
		Exec:       func(_ context.Context, args []string) error { return t.explain(args, *asJSON) },
	}
}

func (t *tool) explain(args []string, asJSON bool) error {
	if len(args) == 0 {
		return errors.Wrap(errUsage, "the request ID is missing")
	}
	files := args[1:]
	if len(files) == 0 {
		files = []string{stdin}
	}
	var r explain.Reader
	for _, name := range files {
		if err := readLog(&r, name); err != nil {
			return err
		}
	}
	timeline, err := r.Timeline(args[0])
	if err != nil {
		return err
	}
	if !asJSON {
		return timeline.Print(t.out)
	}
	encoder := json.NewEncoder(t.out)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(timeline), "write timeline")
}

func readLog(r *explain.Reader, name string) error {
	var in io.Reader = os.Stdin
	if name != stdin {
		f, err := os.Open(name)
		if err != nil {
			return errors.Wrap(err, "open log")
		}
		defer f.Close()
		in = f
	}
	return errors.Wrapf(r.Read(in), "%s", name)
}
