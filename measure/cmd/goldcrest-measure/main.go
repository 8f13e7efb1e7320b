// Command goldcrest-measure measures routing, admission and the other decision
// packages in virtual time.
package main

import (
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"

	"goldcrestshore/measure/cold"
	"goldcrestshore/measure/drain"
	"goldcrestshore/measure/fairness"
	"goldcrestshore/measure/mapchange"
	"goldcrestshore/measure/once"
	"goldcrestshore/measure/routing"
	"goldcrestshore/measure/skew"
)

// errUsage reports a command line that names no known measurement.
var errUsage = errors.New("usage: goldcrest-measure <measurement> [-seed n]")

// measurement is a named measurement; run writes its report to out and ends it
// with a line that begins with "result".
type measurement struct {
	name string
	run  func(seed uint64, out io.Writer) error
}

// measurements lists the measurements in the order of docs/design.md section 8.
var measurements = []measurement{
	{"once", once.Run},
	{"cold", cold.Run},
	{"routing", routing.Run},
	{"skew", skew.Run},
	{"map", mapchange.Run},
	{"drain", drain.Run},
	{"fairness", fairness.Run},
}

func main() {
	if err := run(os.Args[1:], os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "goldcrest-measure:", err)
		os.Exit(1)
	}
}

func run(args []string, out io.Writer) error {
	if len(args) == 0 {
		return errUsage
	}
	flags := flag.NewFlagSet("goldcrest-measure "+args[0], flag.ContinueOnError)
	seed := flags.Uint64("seed", 1, "seed of the workload and of the fault schedules")
	if err := flags.Parse(args[1:]); err != nil {
		return err
	}
	for _, s := range measurements {
		if s.name == args[0] {
			return s.run(*seed, out)
		}
	}
	return errors.Wrapf(errUsage, "unknown measurement %q", args[0])
}
