package command

import (
	"context"
	"flag"
	"io"
	"reflect"
	"testing"
	"time"

	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/settings"
	"goldcrestshore/standin/request/load"
)

// Guards against a stand-in that fails to start or does not stop when its context is canceled.
func TestStandInsStop(t *testing.T) {
	for _, name := range []string{"platform", "engine", "service", "weights"} {
		t.Run(name, func(t *testing.T) {
			ctx, stop := context.WithCancel(context.Background())
			stop()
			check.NoError(t, "run", Run(ctx, []string{name, "-logLevel", "error"}, io.Discard))
		})
	}
}

func TestUsage(t *testing.T) {
	check.Is(t, "no subcommand", Run(context.Background(), nil, io.Discard), errUsage)
	check.Is(t, "unknown subcommand", Run(context.Background(), []string{"cloud"}, io.Discard), errUsage)
	check.Is(t, "load without entries", Run(context.Background(), []string{"load"}, io.Discard), load.ErrOptions)
	check.Is(t, "malformed list", Run(context.Background(), []string{"load", "-entries", "a", "-keys", "b"}, io.Discard), load.ErrOptions)
}

// Guards against load generator flags that do not set their option.
func TestLoadFlags(t *testing.T) {
	fs := flag.NewFlagSet("load", flag.ContinueOnError)
	var got load.Options
	values := loadFlags(fs, &got)
	check.NoError(t, "parse flags", settings.Parse(fs, []string{
		"-entries", "a:1,b:2", "-keys", "c=k*3", "-services", "m=model", "-ledgers", "d:4", "-mix", "whole=2",
		"-promptBytes", "5-6", "-outputTokens", "7", "-rate", "8", "-slowReaders", "9", "-seed", "10",
	}))
	check.NoError(t, "parse flag values", values.parse(&got))
	want := load.Options{
		Entries: []string{"a:1", "b:2"}, Customers: []load.Customer{{Name: "c", Key: "k", Weight: 3}},
		Services: []load.Service{{Name: "m", Model: true}}, Ledgers: []string{"d:4"}, Mix: load.Mix{load.Whole: 2},
		PromptBytes: load.Span{Low: 5, High: 6}, OutputTokens: load.Span{Low: 7, High: 7},
		Rate: 8, Duration: 10 * time.Second, MaxInFlight: 1500, PrefixBytes: 1024, Marker: "poison",
		SlowReaders: 9, SlowBytesPerSecond: 1024, SlowTokens: 1500, SlowStart: time.Second,
		Window: 5 * time.Second, Drain: 30 * time.Second, Seed: 10,
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("options: got %+v, want %+v", got, want)
	}
}

func TestSettingsAreChecked(t *testing.T) {
	check.Equal(t, "unknown flag", Run(context.Background(), []string{"platform", "-nonsense"}, io.Discard) != nil, true)
}
