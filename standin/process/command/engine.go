package command

import (
	"context"
	"flag"
	"io"
	"math/rand/v2"

	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/event"
	"goldcrestshore/standin/process/engine"
)

func runEngine(ctx context.Context, args []string, _ io.Writer) error {
	fs := flag.NewFlagSet("engine", flag.ContinueOnError)
	c := newServerFlags(fs)
	o := engine.Defaults()
	engineFlags(fs, &o)
	process, err := c.open(ctx, fs, args)
	if err != nil {
		return err
	}
	if o.Seed == 0 {
		o.Seed = rand.Uint64()
	}
	e := engine.New(o, clock.System())
	return process.finish(e.Run(ctx, process.listener, engineObserver{process.log}))
}

// engineFlags defines a flag for each option; o holds the defaults.
func engineFlags(fs *flag.FlagSet, o *engine.Options) {
	fs.IntVar(&o.WarmCapacity, "warmCapacity", o.WarmCapacity, "maximum batch size")
	fs.IntVar(&o.ColdCapacity, "coldCapacity", o.ColdCapacity, "concurrent requests that an engine supports right after a start")
	fs.IntVar(&o.OverloadPercent, "overloadPercent", o.OverloadPercent, "load in percent of the capacity above which a cold engine crashes")
	fs.IntVar(&o.ColdSlowdown, "coldSlowdown", o.ColdSlowdown, "factor by which the time to first token is longer while cold")
	fs.Int64Var(&o.BytesPerToken, "bytesPerToken", o.BytesPerToken, "memory per token of the requests in flight")
	fs.Int64Var(&o.MemoryBytes, "memoryBytes", o.MemoryBytes, "memory use above which the engine crashes")
	fs.DurationVar(&o.FirstTokenBase, "firstTokenBase", o.FirstTokenBase, "time to first token of an empty prompt")
	fs.DurationVar(&o.FirstTokenPerToken, "firstTokenPerToken", o.FirstTokenPerToken, "increase of the time to first token for each uncached prompt token")
	fs.DurationVar(&o.BetweenTokens, "betweenTokens", o.BetweenTokens, "time between tokens in an empty engine")
	fs.Float64Var(&o.BatchPercent, "batchPercent", o.BatchPercent, "increase of both times, in percent, for each other running request")
	fs.Float64Var(&o.TimeScale, "timeScale", o.TimeScale, "factor by which the model runs faster than real time")
	fs.IntVar(&o.CacheBlocks, "cacheBlocks", o.CacheBlocks, "blocks of the prefix cache")
	fs.IntVar(&o.CacheGapPercent, "cacheGapPercent", o.CacheGapPercent, "share of cache events that are dropped, in percent")
	fs.BoolVar(&o.ChecksFencing, "checksFencing", o.ChecksFencing, "refuse orders with a stale fencing token")
	fs.StringVar(&o.CrashMarker, "crashMarker", o.CrashMarker, "text in a prompt that crashes the engine")
	fs.IntVar(&o.SendBufferBytes, "sendBufferBytes", o.SendBufferBytes, "send buffer of each connection")
	fs.Uint64Var(&o.Seed, "seed", 0, "seed of incarnations and dropped cache events; random when 0")
	fs.Int64Var((*int64)(&o.RestartMs), "restartMs", int64(o.RestartMs), "time during which a crashed engine refuses connections")
	fs.Int64Var((*int64)(&o.LoadLagMs), "loadLagMs", int64(o.LoadLagMs), "age of the load report")
	fs.Int64Var((*int64)(&o.CacheLagMs), "cacheLagMs", int64(o.CacheLagMs), "delay of cache events")
}

// engineObserver logs crashes and restarts of the engine.
type engineObserver struct{ log *event.Log }

// Crashed logs a crash with its reason.
func (o engineObserver) Crashed(c engine.Counts) {
	o.log.Emit(event.StandInFailed, event.Fields{"reason": c.LastCrash, "crashes": c.Crashes})
}

// Restarted logs that a crashed engine accepts connections again.
func (o engineObserver) Restarted() { o.log.Emit(event.StandInRestarted, nil) }
