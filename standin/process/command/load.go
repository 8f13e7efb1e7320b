package command

import (
	"context"
	"flag"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestshore/core/process/settings"
	"goldcrestshore/standin/request/load"
)

// loadFlagValues are the flags whose values are parsed further by parse.
type loadFlagValues struct {
	entries, keys, services, ledgers, mix, promptBytes, outputTokens *string
}

func runLoad(ctx context.Context, args []string, out io.Writer) error {
	fs := flag.NewFlagSet("load", flag.ContinueOnError)
	var o load.Options
	values := loadFlags(fs, &o)
	if err := settings.Parse(fs, args); err != nil {
		return errors.Wrap(err, "settings")
	}
	if err := values.parse(&o); err != nil {
		return err
	}
	l, err := load.New(o, out)
	if err != nil {
		return err
	}
	return l.Run(ctx)
}

func loadFlags(fs *flag.FlagSet, o *load.Options) loadFlagValues {
	fs.Float64Var(&o.Rate, "rate", 20, "requests started per second; 0 for slow readers only")
	fs.DurationVar(&o.Duration, "duration", 10*time.Second, "period during which requests are started")
	fs.IntVar(&o.MaxInFlight, "maxHeld", 1500, "requests in flight above which a due request is skipped")
	fs.IntVar(&o.Prefixes, "prefixes", 0, "number of shared prompt prefixes")
	fs.IntVar(&o.PrefixBytes, "prefixBytes", 1024, "length of a shared prompt prefix in bytes")
	fs.Int64Var((*int64)(&o.DeadlineMs), "deadlineMs", 0, "deadline sent with each request; 0 for none")
	fs.Int64Var((*int64)(&o.LateMs), "lateMs", 0, "latency above which a complete response counts as late; 0 for never")
	fs.IntVar(&o.KeyedRetries, "keyedRetries", 0, "maximum retries, each through another entry, of a keyed request without a response")
	fs.StringVar(&o.Marker, "marker", "poison", "text put into marked requests")
	fs.IntVar(&o.MarkerEvery, "markerEvery", 0, "put the marker into every n-th chat prompt and plain body; 0 for never")
	fs.IntVar(&o.SlowReaders, "slowReaders", 0, "number of streamed responses that are read slowly")
	fs.IntVar(&o.SlowBytesPerSecond, "slowBytesPerSecond", 1024, "read rate of a slow reader")
	fs.IntVar(&o.SlowTokens, "slowTokens", 1500, "length of a slow reader's response in tokens")
	fs.IntVar(&o.StoppedReaders, "stoppedReaders", 0, "number of streamed responses whose reader stops reading")
	fs.DurationVar(&o.SlowStart, "slowStart", time.Second, "time over which slow and stopped readers start")
	fs.DurationVar(&o.Window, "window", 5*time.Second, "interval of progress lines")
	fs.DurationVar(&o.Drain, "drain", 30*time.Second, "maximum wait for requests in flight at the end")
	fs.Uint64Var(&o.Seed, "seed", 1, "seed of the requests; also identifies the run in ledgers")
	return loadFlagValues{
		entries:      fs.String("entries", "", "comma-separated addresses of entries"),
		keys:         fs.String("keys", "", "comma-separated list of customer=key or customer=key*weight"),
		services:     fs.String("services", "", "comma-separated list of name=model or name=plain:/path"),
		ledgers:      fs.String("ledgers", "", "comma-separated addresses of all plain services, whose ledgers are read after the run"),
		mix:          fs.String("mix", "streamed=60,whole=10,plain=10,keyed=15,unkeyed=5", "weights of the kinds of requests"),
		promptBytes:  fs.String("promptBytes", "200-4000", "range of prompt lengths in bytes"),
		outputTokens: fs.String("outputTokens", "16-128", "range of response lengths in tokens"),
	}
}

// parse parses the flag values that have a syntax of their own into o.
func (v loadFlagValues) parse(o *load.Options) error {
	var err, combined error
	o.Entries = load.ParseList(*v.entries)
	o.Ledgers = load.ParseList(*v.ledgers)
	o.Customers, err = load.ParseCustomers(*v.keys)
	combined = errors.CombineErrors(combined, err)
	o.Services, err = load.ParseServices(*v.services)
	combined = errors.CombineErrors(combined, err)
	o.Mix, err = load.ParseMix(*v.mix)
	combined = errors.CombineErrors(combined, err)
	o.PromptBytes, err = load.ParseSpan(*v.promptBytes)
	combined = errors.CombineErrors(combined, err)
	o.OutputTokens, err = load.ParseSpan(*v.outputTokens)
	return errors.CombineErrors(combined, err)
}
