package load

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// slowReadInterval is the interval at which a slow reader checks whether it may read.
const slowReadInterval = 250 * time.Millisecond

// slowReceiveBuffer is the TCP receive buffer size in bytes of slow and stopped
// readers; the system raises it to its minimum.
const slowReceiveBuffer = 4 << 10

// finalReadTimeout limits the read of a stopped reader at the end of the run, which
// checks whether its connection is still open.
const finalReadTimeout = 100 * time.Millisecond

// stoppedReaderBytes is the number of bytes that a stopped reader reads before it stops.
const stoppedReaderBytes = 2 << 10

// slowReaders keeps streamed responses open in parallel to the normal requests.
type slowReaders struct {
	options *Options
	caller  *caller

	mu     sync.Mutex
	counts slowCounts
	errors []string
}

// slowCounts counts the results of slow and stopped readers.
type slowCounts struct {
	answered int // read completely and correctly
	reading  int // still open and correct at the end of the run
	refused  int
	wrong    int
	cut      int // slow reader's response truncated
	dropped  int // stopped reader's connection closed by the entry
	bytes    int64
	// tokens is the number of correct tokens received.
	tokens int64
}

func newSlowReaders(o *Options) *slowReaders {
	transport := newTransport(1, slowReceiveBuffer)
	transport.DisableKeepAlives = true
	return &slowReaders{options: o, caller: newCaller(o, transport)}
}

// run starts all readers and waits for them; they stop when ctx is canceled.
func (s *slowReaders) run(ctx context.Context, p *planner) {
	total := s.options.SlowReaders + s.options.StoppedReaders
	if total == 0 {
		return
	}
	requests := make([]*request, total)
	for i := range requests {
		requests[i] = p.slow()
	}
	var readers sync.WaitGroup
	startInterval := s.options.SlowStart / time.Duration(total)
	for i, r := range requests {
		stopped := i >= s.options.SlowReaders
		readers.Go(func() { s.read(ctx, r, stopped) })
		if !sleep(ctx, startInterval) {
			break
		}
	}
	readers.Wait()
}

// read opens one streamed response and reads it slowly, or only its beginning if
// stopped is set.
func (s *slowReaders) read(ctx context.Context, r *request, stopped bool) {
	readCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	detach := context.AfterFunc(ctx, cancel)
	response, err := s.caller.open(readCtx, r, r.entry)
	if err != nil {
		s.end(ctx, classifyTransportError(ctx, err).verdict, r, err)
		return
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		out := classifyRefusal(response)
		s.end(ctx, out.verdict, r, errors.New(out.detail))
		return
	}
	body := &rateLimitedReader{ctx: ctx, body: response.Body, rate: s.options.SlowBytesPerSecond, start: time.Now()}
	if stopped {
		detach()
		s.readStopped(ctx, cancel, response.Body)
		return
	}
	checker := newStreamChecker(body, r.prompt, r.tokens, readBufferBytes)
	for {
		if _, err = checker.next(); err != nil {
			break
		}
	}
	if err == io.EOF {
		err = checker.end()
	}
	s.add(body.bytesRead, int64(checker.seen))
	if err == nil {
		s.end(ctx, OK, r, nil)
		return
	}
	s.end(ctx, classifyBodyError(err).verdict, r, err)
}

// readStopped reads the beginning of the body and nothing more until ctx is
// canceled. The entry may close the connection of a reader that stopped reading;
// the final read detects this.
func (s *slowReaders) readStopped(ctx context.Context, cancel context.CancelFunc, body io.Reader) {
	n, err := io.CopyN(io.Discard, body, stoppedReaderBytes)
	s.add(n, 0)
	<-ctx.Done()
	if err == nil {
		defer time.AfterFunc(finalReadTimeout, cancel).Stop()
		_, err = io.Copy(io.Discard, body)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil || errors.Is(err, io.EOF) || errors.Is(err, context.Canceled) {
		s.counts.reading++
		return
	}
	s.counts.dropped++
}

func (s *slowReaders) add(bytes, tokens int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.bytes += bytes
	s.counts.tokens += tokens
}

// end counts the result of a slow reader. A reader interrupted by the end of
// the run counts as reading, unless its response was wrong.
func (s *slowReaders) end(ctx context.Context, v Verdict, r *request, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case v == OK:
		s.counts.answered++
		return
	case v == Wrong:
		s.counts.wrong++
	case ctx.Err() != nil:
		s.counts.reading++
		return
	case v == NotRun || v == Unreached:
		s.counts.refused++
	default:
		s.counts.cut++
	}
	if len(s.errors) < maxDetails {
		s.errors = append(s.errors, fmt.Sprintf("slow reader %d: %s: %v", r.number, v, err))
	}
}

// print prints the errors and counts if there are slow or stopped readers.
func (s *slowReaders) print(out io.Writer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.options.SlowReaders+s.options.StoppedReaders == 0 {
		return
	}
	for _, e := range s.errors {
		fmt.Fprintln(out, e)
	}
	c := s.counts
	fmt.Fprintf(out, "slow readers=%d stopped=%d answered=%d reading=%d refused=%d wrong=%d cut=%d dropped=%d bytes=%d tokens=%d\n",
		s.options.SlowReaders, s.options.StoppedReaders, c.answered, c.reading, c.refused, c.wrong, c.cut, c.dropped, c.bytes, c.tokens)
}

// rateLimitedReader limits reads of body to rate bytes per second.
type rateLimitedReader struct {
	ctx       context.Context
	body      io.Reader
	rate      int
	start     time.Time
	bytesRead int64
}

// Read blocks until the rate allows at least one byte.
func (p *rateLimitedReader) Read(b []byte) (int, error) {
	for {
		allowed := int64(time.Since(p.start).Seconds()*float64(p.rate)) - p.bytesRead
		if allowed > 0 {
			n, err := p.body.Read(b[:min(int64(len(b)), allowed)])
			p.bytesRead += int64(n)
			return n, err
		}
		if !sleep(p.ctx, slowReadInterval) {
			return 0, p.ctx.Err()
		}
	}
}

// sleep waits for d and returns true, or returns false once ctx is canceled.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
