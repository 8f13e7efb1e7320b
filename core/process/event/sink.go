package event

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"goldcrestshore/core/process/clock"
)

// Limits of the log output of one process.
const (
	// maxQueuedLines is how many lines are queued for a slow reader of the output.
	maxQueuedLines = 2048
	// linesPerSecond and urgentLinesPerSecond limit the lines that a process
	// writes. Warnings and errors have a separate limit, so that lines about
	// successful requests cannot displace them.
	linesPerSecond       = 400
	urgentLinesPerSecond = 400
	// dropReportInterval is the interval of reports about dropped lines.
	dropReportInterval = 5 * clock.Second
)

// Sink writes log lines in a separate goroutine. A line that exceeds the queue or
// the rate limit is dropped and counted, because a blocked reader of the output
// must not delay requests.
type Sink struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}

	mu sync.Mutex
	// closed is true from Close on.
	closed        bool
	currentSecond int64
	normal        int // non-urgent lines in the current second
	urgent        int // urgent lines in the current second
}

// NewSink returns a sink that writes to out until Close.
func NewSink(out io.Writer) *Sink {
	s := &Sink{out: out, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go s.run()
	return s
}

func (s *Sink) run() {
	defer close(s.done)
	for line := range s.lines {
		_, _ = s.out.Write(line) // there is no other output to report an error to
	}
}

// Write queues or drops one line without blocking. It always reports success. Lines after Close are
// dropped: goroutines may go on for a moment while the process ends.
func (s *Sink) Write(line []byte) (int, error) {
	queued := append([]byte(nil), line...)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || !s.allow(isUrgent(line)) {
		s.dropped.Add(1)
		return len(line), nil
	}
	select {
	case s.lines <- queued:
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// allow counts a line against the rate limit of its class and reports whether it
// is within the limit. It must be called with mu held.
func (s *Sink) allow(urgent bool) bool {
	now := time.Now().Unix()
	if now != s.currentSecond {
		s.currentSecond, s.normal, s.urgent = now, 0, 0
	}
	if urgent {
		s.urgent++
		return s.urgent <= urgentLinesPerSecond
	}
	s.normal++
	return s.normal <= linesPerSecond
}

// Dropped returns the number of lines dropped so far.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Close waits until the queued lines are written, at most for timeout, and stops
// the goroutine.
func (s *Sink) Close(timeout clock.Millis) {
	s.mu.Lock()
	s.closed = true
	close(s.lines)
	s.mu.Unlock()
	select {
	case <-s.done:
	case <-time.After(timeout.Duration()):
	}
}

// ReportDropped regularly logs the number of dropped lines until stop is closed.
func (s *Sink) ReportDropped(stop <-chan struct{}, log *Log) {
	ticker := time.NewTicker(dropReportInterval.Duration())
	defer ticker.Stop()
	reported := int64(0)
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		if n := s.Dropped(); n > reported {
			log.Emit(LinesDropped, Fields{"lines": n - reported, "total": n})
			reported = n
		}
	}
}
