package operator

import (
	"context"

	"github.com/peterbourgon/ff/v3/ffcli"

	"goldcrestshore/core/connection/platform"
	"goldcrestshore/core/version/configuration"
	"goldcrestshore/ctl/process/burn"
)

func (t *tool) reportCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:        "report",
		ShortUsage:  "goldcrestctl report burn [flags]",
		ShortHelp:   "Report on service levels.",
		LongHelp:    "Example:\n\n  goldcrestctl report burn -platform 127.0.0.1:21000",
		FlagSet:     t.newFlagSet("goldcrestctl report"),
		Subcommands: []*ffcli.Command{t.burnCommand()},
		Exec:        missingCommand,
	}
}

func (t *tool) burnCommand() *ffcli.Command {
	fs := t.platformFlags("goldcrestctl report burn")
	asJSON := fs.Bool("json", false, "print JSON")
	return &ffcli.Command{
		Name:       "burn",
		ShortUsage: "goldcrestctl report burn [flags]",
		ShortHelp:  "Show how fast services use up their error budgets.",
		LongHelp: `Shows how many requests met and missed each objective in the last 5 minutes, 1
hour and 6 hours, summed over entries, and the time until the 6-hour error budget
is exhausted at the rate of the last 5 minutes. Examples:

  goldcrestctl report burn -platform 127.0.0.1:21000
  goldcrestctl report burn -platform 127.0.0.1:21000 --json`,
		FlagSet: fs,
		Exec:    t.withPlatform(0, "none", func(ctx context.Context, _ []string) error { return t.reportBurn(ctx, *asJSON) }),
	}
}

func (t *tool) reportBurn(ctx context.Context, asJSON bool) error {
	current, err := t.current(ctx)
	if err != nil {
		return err
	}
	objects, err := t.platform.List(ctx, platform.KindBurn, "")
	if err != nil {
		return err
	}
	parsed, err := configuration.Parse(current.raw)
	if err != nil {
		return err
	}
	report := burn.New(t.clock.Now(), parsed, objects.Objects())
	if asJSON {
		return report.WriteJSON(t.out)
	}
	return report.WriteText(t.out)
}
