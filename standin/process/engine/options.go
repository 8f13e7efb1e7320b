// Package engine implements a stand-in for a model engine, for tests. It responds
// to chat requests with a deterministic text and the latencies of a batching engine,
// models limited memory and a warm-up by completed requests, and injects faults.
package engine

import (
	"time"

	"goldcrestshore/core/process/clock"
)

// Options configures an engine. Token latencies are those of the modelled engine
// and are divided by TimeScale.
type Options struct {
	// WarmCapacity is the maximum batch size. Further requests are queued by priority.
	WarmCapacity int
	// ColdCapacity is the number of concurrent requests that the engine supports
	// right after a start. Each completed request raises the capacity by one.
	ColdCapacity int
	// OverloadPercent is the load, in percent of the capacity, above which a
	// cold engine crashes.
	OverloadPercent int
	// ColdSlowdown multiplies the time to first token while cold.
	ColdSlowdown int
	// BytesPerToken and MemoryBytes bound the tokens of in-flight requests. The
	// engine crashes when they need more than MemoryBytes.
	BytesPerToken int64
	MemoryBytes   int64
	// RestartMs is how long a crashed engine refuses connections.
	RestartMs clock.Millis

	// FirstTokenBase and FirstTokenPerToken give the time to first token of a
	// prompt in an idle engine. Each other running request adds BatchPercent.
	FirstTokenBase     time.Duration
	FirstTokenPerToken time.Duration
	// BetweenTokens is the time between tokens in an idle engine. Each other
	// running request adds BatchPercent.
	BetweenTokens time.Duration
	BatchPercent  float64
	// TimeScale divides the token latencies.
	TimeScale float64

	// LoadLagMs is the age of the load report.
	LoadLagMs clock.Millis
	// CacheBlocks is the size of the prefix cache in blocks of CacheBlockBytes.
	CacheBlocks int
	// CacheLagMs is the delay of cache events. CacheGapPercent of them are dropped.
	CacheLagMs      clock.Millis
	CacheGapPercent int
	// ChecksFencing refuses orders with a fencing token below the highest received.
	ChecksFencing bool
	// CrashMarker is a text that crashes the engine if a prompt contains it. Empty
	// disables the check.
	CrashMarker string
	// SendBufferBytes is the size of each connection's send buffer; 0 keeps the
	// default of the system. It is small so that a slow reader blocks its stream
	// after a few tokens.
	SendBufferBytes int
	// Seed determines the incarnations and the dropped cache events.
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

// timeToFirstToken returns the time to first token, divided by TimeScale.
func (o *Options) timeToFirstToken(uncachedTokens, otherRequests int, cold bool) time.Duration {
	d := o.FirstTokenBase + time.Duration(uncachedTokens)*o.FirstTokenPerToken
	if cold {
		d *= time.Duration(max(1, o.ColdSlowdown))
	}
	return o.scale(d, otherRequests)
}

// timeBetweenTokens returns the time between two tokens, divided by TimeScale.
func (o *Options) timeBetweenTokens(otherRequests int) time.Duration {
	return o.scale(o.BetweenTokens, otherRequests)
}

func (o *Options) scale(d time.Duration, otherRequests int) time.Duration {
	batchFactor := 1 + float64(otherRequests)*o.BatchPercent/100
	return time.Duration(float64(d) * batchFactor / o.TimeScale)
}
