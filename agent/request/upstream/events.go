package upstream

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestshore/core/connection/frame"
)

const (
	// initialLineBytes is the initial size of the line buffer, which most lines
	// fit; longer ones grow it.
	initialLineBytes = 512
	// maxEventBytes bounds one event of a stream, and each of its lines.
	maxEventBytes = 64 << 10
	// maxResumes bounds how often one response is resumed after a connection to
	// the same incarnation of the engine broke.
	maxResumes = 3
	// drainTimeout bounds the wait for the end of a body after its final event.
	drainTimeout = time.Second
)

var (
	dataPrefix = []byte("data:")
	doneMarker = []byte("[DONE]")
)

// copyEvents validates and copies an event stream without its final [DONE]
// event, which the entry adds once it has verified the whole response.
func (c *Client) copyEvents(ctx context.Context, id string, m *frame.Submit, w ResponseWriter, response *http.Response) error {
	incarnation := response.Header.Get(incarnationHeader)
	copied := 0
	for attempt := 0; ; attempt++ {
		n, err := copyEventsOnce(w, response.Body)
		if err == nil {
			go drain(response.Body)
			return nil
		}
		_ = response.Body.Close()
		copied += n
		if !errors.Is(err, ErrInterrupted) || ctx.Err() != nil {
			return err
		}
		if attempt == maxResumes || incarnation == "" || copied == 0 || !m.RequestOptions().Idempotent() {
			return err
		}
		next, sendErr := c.send(ctx, id, m, resumption{copied, incarnation})
		if sendErr != nil {
			return errors.Wrapf(ErrInterrupted, "resume after %d events: %v", copied, sendErr)
		}
		// Another incarnation may generate different text, so its part must not
		// be appended to what the caller already has.
		if next.StatusCode != response.StatusCode || next.Header.Get(incarnationHeader) != incarnation {
			_ = next.Body.Close()
			return errors.Wrapf(ErrInterrupted, "engine was replaced after %d events", copied)
		}
		response = next
	}
}

// drain reads the rest of the body after the final event, so that the
// connection can be reused.
func drain(body io.ReadCloser) {
	timer := time.AfterFunc(drainTimeout, func() { _ = body.Close() })
	defer timer.Stop()
	_, _ = io.CopyN(io.Discard, body, initialLineBytes)
	_ = body.Close()
}

// copyEventsOnce copies complete events up to the final event and returns how
// many it copied.
func copyEventsOnce(w ResponseWriter, body io.Reader) (int, error) {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, initialLineBytes), maxEventBytes)
	events := 0
	var event []byte
	for lines.Scan() {
		line := lines.Bytes()
		if len(line) > 0 {
			done, err := checkLine(line)
			if err != nil {
				return events, err
			}
			if done {
				return events, nil
			}
			event = append(append(event, line...), '\n')
			if len(event) > maxEventBytes {
				return events, errors.Wrapf(ErrMalformed, "event exceeds %d bytes", maxEventBytes)
			}
			continue
		}
		if len(event) == 0 {
			continue
		}
		if _, err := w.Write(append(event, '\n')); err != nil {
			return events, err
		}
		event = event[:0]
		events++
	}
	if errors.Is(lines.Err(), bufio.ErrTooLong) {
		return events, errors.Wrapf(ErrMalformed, "line exceeds %d bytes", maxEventBytes)
	}
	return events, errors.Wrapf(ErrInterrupted, "after %d events: %v", events, lines.Err())
}

// checkLine validates a line and reports whether it is the final event.
func checkLine(line []byte) (bool, error) {
	if line[0] == ':' {
		return false, nil
	}
	data, ok := bytes.CutPrefix(line, dataPrefix)
	if !ok {
		return false, errors.Wrap(ErrMalformed, "line is neither data nor a comment")
	}
	data = bytes.TrimSpace(data)
	if bytes.Equal(data, doneMarker) {
		return true, nil
	}
	if !json.Valid(data) {
		return false, errors.Wrap(ErrMalformed, "data is not JSON")
	}
	return false, nil
}
