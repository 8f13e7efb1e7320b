package load

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestshore/core/request/outcome"
	"goldcrestshore/standin/process/service"
)

// readBufferBytes is the buffer size of a connection and of a stream reader. It
// is small so that a slow reader buffers little of its response on the client side.
const readBufferBytes = 2 << 10

// maxResponseBytes limits the size of a non-streamed response.
const maxResponseBytes = 16 << 20

// caller sends requests to entries.
type caller struct {
	options *Options
	client  *http.Client
}

func newCaller(o *Options, transport http.RoundTripper) *caller {
	return &caller{o, &http.Client{Transport: transport}}
}

// newTransport returns a transport that keeps up to the given number of idle
// connections to each entry. A receiveBuffer of 0 keeps the system default.
func newTransport(connections, receiveBuffer int) *http.Transport {
	dialer := &net.Dialer{Timeout: 5 * time.Second}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if tcp, ok := c.(*net.TCPConn); ok && receiveBuffer > 0 {
				_ = tcp.SetReadBuffer(receiveBuffer)
			}
			return c, err
		},
		MaxIdleConns:        connections,
		MaxIdleConnsPerHost: connections,
		IdleConnTimeout:     30 * time.Second,
		ReadBufferSize:      readBufferBytes,
		DisableCompression:  true,
	}
}

// open sends r to an entry and returns the response with its body unread. The
// type of the body is hidden and GetBody is nil so that http.Transport never
// retries the request on its own.
func (c *caller) open(ctx context.Context, r *request, entry int) (*http.Response, error) {
	address := c.options.Entries[entry%len(c.options.Entries)]
	body := io.NopCloser(bytes.NewReader(r.body))
	httpRequest, err := http.NewRequestWithContext(ctx, r.method, "http://"+address+r.path, body)
	if err != nil {
		return nil, err
	}
	httpRequest.GetBody = nil
	httpRequest.ContentLength = int64(len(r.body))
	httpRequest.Header.Set("Authorization", "Bearer "+r.customer.Key)
	if len(r.body) > 0 {
		httpRequest.Header.Set("Content-Type", "application/json")
	}
	if r.key != "" {
		httpRequest.Header.Set("Idempotency-Key", r.key)
	}
	if c.options.DeadlineMs > 0 {
		httpRequest.Header.Set("Goldcrest-Deadline-Ms", strconv.FormatInt(int64(c.options.DeadlineMs), 10))
	}
	return c.client.Do(httpRequest)
}

// send makes one attempt and classifies its response.
func (c *caller) send(ctx context.Context, r *request, entry int) result {
	start := time.Now()
	response, err := c.open(ctx, r, entry)
	if err != nil {
		return classifyTransportError(ctx, err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return classifyRefusal(response)
	}
	var out result
	switch r.kind {
	case Streamed:
		out = c.streamed(r, response.Body, start)
	case Whole:
		out = c.whole(r, response.Body, start)
	case Plain, Keyed, Unkeyed:
		out = c.plain(r, response.Body, start)
	}
	if out.verdict == Cut && ctx.Err() != nil {
		out.verdict = Hung
	}
	if limit := c.options.LateMs; out.verdict == OK && limit > 0 && out.timing.whole > limit.Duration().Microseconds() {
		out.verdict = Late
	}
	return out
}

// classifyTransportError classifies an attempt that received no response header.
func classifyTransportError(ctx context.Context, err error) result {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return result{verdict: Unreached, detail: err.Error(), retryable: true}
	}
	if ctx.Err() != nil {
		return result{verdict: Hung, detail: err.Error()}
	}
	return result{verdict: Unknown, detail: err.Error(), retryable: true}
}

// refusal is the JSON body of a refusal.
type refusal struct {
	Code    outcome.Code `json:"code"`
	Event   int          `json:"event"`
	Message string       `json:"message"`
}

// classifyRefusal classifies a response with a status other than 200. A refusal
// without an outcome header violates the interface and counts as Wrong.
func classifyRefusal(response *http.Response) result {
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxEventBytes))
	if err != nil {
		return result{verdict: Cut, detail: "refusal body truncated", retryable: true}
	}
	var body refusal
	if err := json.Unmarshal(raw, &body); err != nil || body.Code == "" {
		return result{verdict: Wrong, detail: "status " + response.Status + " with malformed refusal " + strconv.Quote(string(raw))}
	}
	out := result{code: body.Code, detail: string(body.Code) + ": " + body.Message, retryable: true}
	switch outcome.Outcome(response.Header.Get(outcome.Header)) {
	case outcome.NotRun:
		out.verdict = NotRun
	case outcome.Unknown:
		out.verdict = Unknown
	default:
		out.verdict = Wrong
		out.detail = "refusal without outcome header: " + out.detail
	}
	return out
}

// classifyBodyError classifies a response whose body is wrong or truncated.
func classifyBodyError(err error) result {
	if errors.Is(err, errWrongResponse) {
		return result{verdict: Wrong, detail: err.Error()}
	}
	return result{verdict: Cut, detail: err.Error(), retryable: true}
}

// streamed reads and checks a streamed chat completion.
func (c *caller) streamed(r *request, body io.Reader, start time.Time) result {
	s := newStreamChecker(body, r.prompt, r.tokens, readBufferBytes)
	var t timing
	last := start
	for {
		n, err := s.next()
		if err == io.EOF {
			break
		}
		if err != nil {
			return classifyBodyError(err)
		}
		if n == 0 {
			continue
		}
		now := time.Now()
		if t.firstToken == 0 {
			t.firstToken = max(1, now.Sub(start).Microseconds())
		} else {
			t.betweenTokens = append(t.betweenTokens, now.Sub(last).Microseconds())
		}
		last = now
	}
	if err := s.end(); err != nil {
		return classifyBodyError(err)
	}
	t.whole = time.Since(start).Microseconds()
	return result{verdict: OK, timing: t}
}

// whole reads and checks a chat completion in a single response.
func (c *caller) whole(r *request, body io.Reader, start time.Time) result {
	raw, err := io.ReadAll(io.LimitReader(body, maxResponseBytes))
	if err != nil {
		return classifyBodyError(err)
	}
	if err := checkWhole(raw, r.prompt, r.tokens); err != nil {
		return classifyBodyError(err)
	}
	return result{verdict: OK, timing: timing{whole: time.Since(start).Microseconds()}}
}

// plain reads and checks the response of a plain service.
func (c *caller) plain(r *request, body io.Reader, start time.Time) result {
	raw, err := io.ReadAll(io.LimitReader(body, maxResponseBytes))
	if err != nil {
		return classifyBodyError(err)
	}
	var got echo
	if err := json.Unmarshal(raw, &got); err != nil {
		return classifyBodyError(errors.Wrap(errWrongResponse, "response is not JSON"))
	}
	want := echo{r.method, r.path, service.Hash(r.body), got.Execution}
	if got != want || got.Execution == 0 {
		return classifyBodyError(errors.Wrapf(errWrongResponse, "got %+v, want %+v", got, want))
	}
	return result{verdict: OK, echo: got, timing: timing{whole: time.Since(start).Microseconds()}}
}
