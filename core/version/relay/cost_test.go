package relay

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"

	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/connection/platform"
	"goldcrestshore/core/connection/platform/fake"
	"goldcrestshore/core/process/check"
)

// The benchmarks below measure the costs that docs/decisions/configuration.md
// compares.

// largeConfiguration returns a configuration near the size limit.
func largeConfiguration() []byte {
	var b bytes.Buffer
	b.WriteString(`{"dataCentres":[],"services":[],"customers":[` + "\n")
	for i := range 5500 {
		fmt.Fprintf(&b, `{"name":"customer-%05d","weight":%d,"requestsPerSecond":5,"keyHashes":["%064x"]},`+"\n", i, 1, i)
	}
	b.WriteString("]}")
	return b.Bytes()
}

func changedConfiguration(b *testing.B) (versionedValue, versionedValue) {
	b.Helper()
	old := versionedValue{version: 1, value: largeConfiguration()}
	next := bytes.Replace(old.value, []byte(`"customer-02750","weight":1`), []byte(`"customer-02750","weight":7`), 1)
	return old, old.next(2, next)
}

// BenchmarkDirectWatch measures one long poll that returns a change, with client
// and server in this process.
func BenchmarkDirectWatch(b *testing.B) {
	for _, size := range []int{1 << 10, 800 << 10} {
		b.Run(fmt.Sprintf("%dKB", size>>10), func(b *testing.B) {
			f, p := fake.New(b)
			f.Set(platform.KindConfiguration, platform.NameRoot, strings.Repeat("x", size))
			for b.Loop() {
				_, err := p.Watch(context.Background(), platform.KindConfiguration, 0, watchTimeout)
				check.NoError(b, "watch", err)
			}
		})
	}
}

// BenchmarkHeartbeat measures the encoding and decoding of one heartbeat.
func BenchmarkHeartbeat(b *testing.B) {
	heartbeat := frame.NewHeartbeat(12345, frame.NewLoad("redactor", frame.NewOccupancy(3, 64, 1<<30, 1<<35),
		frame.NewCondition(false, false, 1<<63, 0), frame.NewLatency(5, 200)))
	for b.Loop() {
		raw, err := frame.Append(nil, frame.ID{}, heartbeat)
		check.NoError(b, "append", err)
		_, _, err = frame.Read(bytes.NewReader(raw))
		check.NoError(b, "read", err)
		b.ReportMetric(float64(len(raw)), "bytes")
	}
}

// BenchmarkDelta measures making and applying the delta of one changed line in a
// configuration of 660 KB, and encoding and decoding the full value.
func BenchmarkDelta(b *testing.B) {
	old, next := changedConfiguration(b)
	b.Run("make", func(b *testing.B) {
		for b.Loop() {
			newDelta(old, next)
		}
	})
	b.Run("apply", func(b *testing.B) {
		frames := next.frames(1, kindConfig, kindConfigDelta)
		for b.Loop() {
			_, err := old.applyPush(frames[0])
			check.NoError(b, "rebuild", err)
			b.ReportMetric(float64(len(frames[0].Value())), "bytes")
		}
	})
	b.Run("whole", func(b *testing.B) {
		v := frame.NewVersion(kindConfig, 2, next.value)
		for b.Loop() {
			raw, err := frame.Append(nil, frame.ID{}, v)
			check.NoError(b, "append", err)
			_, _, err = frame.Read(bytes.NewReader(raw))
			check.NoError(b, "read", err)
			b.ReportMetric(float64(len(raw)), "bytes")
		}
	})
}
