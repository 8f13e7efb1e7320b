// Package engine is a stand-in for a model engine. It answers chat requests
// with a deterministic text in the timing of a batching engine, keeps the
// requests in limited memory, warms up with completed work and injects faults.
package engine

import (
	"time"

	"goldcrestshore/core/process/clock"
)

// Options are the properties of one engine. Times are those of the modelled
// engine; TimeScale speeds them up.
type Options struct {
	// WarmCapacity is the largest batch; further requests wait by priority.
	WarmCapacity int
	// ColdCapacity is the number of requests that the engine can hold right
	// after a start. Each completed request raises the capacity by one.
	ColdCapacity int
	// OverloadPercent is the load, in percent of the capacity, above which a
	// cold engine fails.
	OverloadPercent int
	// ColdSlowdown multiplies the time to first token while cold.
	ColdSlowdown int
	// BytesPerToken and MemoryBytes bound the tokens of held requests; an
	// engine above them fails.
	BytesPerToken int64
	MemoryBytes   int64
	// RestartMs is how long a failed engine refuses connections.
	RestartMs clock.Millis

	// FirstTokenBase and FirstTokenPerToken give the time to first token of a
	// prompt in an empty engine; each other held request adds BatchPercent.
	FirstTokenBase     time.Duration
	FirstTokenPerToken time.Duration
	// BetweenTokens is the time between tokens in an empty engine; each other
	// held request adds BatchPercent.
	BetweenTokens time.Duration
	BatchPercent  float64
	// TimeScale divides all times of the model.
	TimeScale float64

	// LoadLagMs is the age of the load report.
	LoadLagMs clock.Millis
	// CacheBlocks bounds the prefix cache, in blocks of CacheBlockBytes.
	CacheBlocks int
	// CacheLagMs is the delay of cache events; CacheGapPercent of them are lost.
	CacheLagMs      clock.Millis
	CacheGapPercent int
	// ChecksFencing refuses orders with a fencing token below the highest seen.
	ChecksFencing bool
	// CrashMarker is a text whose presence in a prompt fails the engine; empty for none.
	CrashMarker string
	// SendBufferBytes is the size of each connection's send buffer. It is small,
	// so that a slow reader pauses its stream after few tokens.
	SendBufferBytes int
	// Seed determines incarnations and lost cache events.
	Seed uint64
}

// Defaults returns the options of an engine with the timing of a small
// accelerator.
func Defaults() Options {
	return Options{
		WarmCapacity:       64,
		ColdCapacity:       8,
		OverloadPercent:    200,
		ColdSlowdown:       3,
		BytesPerToken:      128 << 10,
		MemoryBytes:        16 << 30,
		RestartMs:          3 * clock.Second,
		FirstTokenBase:     60 * time.Millisecond,
		FirstTokenPerToken: 100 * time.Microsecond,
		BetweenTokens:      20 * time.Millisecond,
		BatchPercent:       1.5,
		TimeScale:          1,
		LoadLagMs:          clock.Second,
		CacheBlocks:        4096,
		CacheLagMs:         500,
		CacheGapPercent:    5,
		ChecksFencing:      true,
		SendBufferBytes:    16 << 10,
		Seed:               1,
	}
}

// timeToFirstToken returns the time to first token in real time.
func (o *Options) timeToFirstToken(uncachedTokens, otherRequests int, cold bool) time.Duration {
	d := o.FirstTokenBase + time.Duration(uncachedTokens)*o.FirstTokenPerToken
	if cold {
		d *= time.Duration(max(1, o.ColdSlowdown))
	}
	return o.scaled(d, otherRequests)
}

// timeBetweenTokens returns the time between two tokens in real time.
func (o *Options) timeBetweenTokens(otherRequests int) time.Duration {
	return o.scaled(o.BetweenTokens, otherRequests)
}

func (o *Options) scaled(d time.Duration, otherRequests int) time.Duration {
	batchFactor := 1 + float64(otherRequests)*o.BatchPercent/100
	return time.Duration(float64(d) * batchFactor / o.TimeScale)
}
