package event

import (
	"sync/atomic"
	"testing"

	"goldcrestshore/core/process/check"
)

// countingWriter counts the bytes written to it.
type countingWriter struct{ bytes atomic.Int64 }

func (c *countingWriter) Write(b []byte) (int, error) {
	c.bytes.Add(int64(len(b)))
	return len(b), nil
}

// BenchmarkLog measures the time and the bytes written for the log line of a
// completed request. "make measure-log" runs it.
func BenchmarkLog(b *testing.B) {
	var out countingWriter
	log, err := NewLog(&out, "info", "entry", "front-1")
	check.NoError(b, "NewLog", err)
	emit := func() {
		log.Emit(RequestCompleted, Fields{
			"request": "9c41d07be2a35f68", "route": "r-m5s3jni", "status": 200, "upstream": "i-7f3a91c2", "ms": 1709,
			"waitedMs": 12, "held": 3, "limit": 13, "sends": 1, "events": 24, "config": 18,
		})
	}
	b.ReportAllocs()
	for b.Loop() {
		emit()
	}
	b.ReportMetric(float64(out.bytes.Load())/float64(b.N), "bytes/line")
}
