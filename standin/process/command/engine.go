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
	fs.IntVar(&o.WarmCapacity, "warmCapacity", o.WarmCapacity, "largest batch")
	fs.IntVar(&o.ColdCapacity, "coldCapacity", o.ColdCapacity, "requests that a cold engine can hold")
	fs.IntVar(&o.OverloadPercent, "overloadPercent", o.OverloadPercent, "load in percent of the capacity above which a cold engine fails")
	fs.IntVar(&o.ColdSlowdown, "coldSlowdown", o.ColdSlowdown, "factor on the time to first token while cold")
	fs.Int64Var(&o.BytesPerToken, "bytesPerToken", o.BytesPerToken, "memory of one held token")
	fs.Int64Var(&o.MemoryBytes, "memoryBytes", o.MemoryBytes, "memory above which the engine fails")
	fs.DurationVar(&o.FirstTokenBase, "firstTokenBase", o.FirstTokenBase, "time to first token of an empty prompt")
	fs.DurationVar(&o.FirstTokenPerToken, "firstTokenPerToken", o.FirstTokenPerToken, "time to first token for each prompt token")
	fs.DurationVar(&o.BetweenTokens, "betweenTokens", o.BetweenTokens, "time between tokens in an empty engine")
	fs.Float64Var(&o.BatchPercent, "batchPercent", o.BatchPercent, "increase of both times, in percent, for each other running request")
	fs.Float64Var(&o.TimeScale, "timeScale", o.TimeScale, "factor by which the model runs faster than real time")
	fs.IntVar(&o.CacheBlocks, "cacheBlocks", o.CacheBlocks, "blocks of the prefix cache")
	fs.IntVar(&o.CacheGapPercent, "cacheGapPercent", o.CacheGapPercent, "share of cache events that are lost, in percent")
	fs.BoolVar(&o.ChecksFencing, "checksFencing", o.ChecksFencing, "refuse orders with a stale fencing token")
	fs.StringVar(&o.CrashMarker, "crashMarker", o.CrashMarker, "text in a prompt that fails the engine")
	fs.IntVar(&o.SendBufferBytes, "sendBufferBytes", o.SendBufferBytes, "send buffer of each connection")
	fs.Uint64Var(&o.Seed, "seed", 0, "seed of incarnations and lost cache events; random when 0")
	fs.Int64Var((*int64)(&o.RestartMs), "restartMs", int64(o.RestartMs), "how long a failed engine refuses connections")
	fs.Int64Var((*int64)(&o.LoadLagMs), "loadLagMs", int64(o.LoadLagMs), "age of the load report")
	fs.Int64Var((*int64)(&o.CacheLagMs), "cacheLagMs", int64(o.CacheLagMs), "delay of cache events")
}

// engineObserver logs failures and restarts.
type engineObserver struct{ log *event.Log }

// Crashed logs a failure.
func (o engineObserver) Crashed(c engine.Counts) {
	o.log.Emit(event.StandInFailed, event.Fields{"reason": c.LastCrash, "crashes": c.Crashes})
}

// Restarted logs a restart.
func (o engineObserver) Restarted() { o.log.Emit(event.StandInRestarted, nil) }
