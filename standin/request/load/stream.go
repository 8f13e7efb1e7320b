package load

import (
	"bufio"
	"encoding/json"
	"io"
	"strings"

	"github.com/cockroachdb/errors"

	"goldcrestshore/standin/request/answer"
)

// errWrongResponse reports a response that differs from the expected one.
var errWrongResponse = errors.New("wrong response")

// maxEventBytes limits the length of a line of a stream and of a refusal body.
const maxEventBytes = 64 << 10

// completion holds the checked fields of a chat completion or a chunk of one.
type completion struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct {
		Prompt     int `json:"prompt_tokens"`
		Completion int `json:"completion_tokens"`
	} `json:"usage"`
}

// streamChecker checks a streamed response event by event.
type streamChecker struct {
	reader   *bufio.Reader
	expected *answer.Text
	prompt   string
	tokens   int
	// seen is the number of correct tokens received so far.
	seen     int
	finished bool
	done     bool
}

func newStreamChecker(body io.Reader, prompt string, tokens, bufferBytes int) *streamChecker {
	return &streamChecker{
		reader:   bufio.NewReaderSize(body, bufferBytes),
		expected: answer.New(prompt),
		prompt:   prompt,
		tokens:   tokens,
	}
}

// next reads one event and returns the number of tokens in it. It returns io.EOF
// at the end of the body, an error wrapping errWrongResponse if the event is wrong
// and any other error if the connection failed.
func (s *streamChecker) next() (int, error) {
	for {
		line, err := s.line()
		if err != nil {
			return 0, err
		}
		if line == "" {
			continue
		}
		return s.checkEvent(line)
	}
}

// line reads one line without its line ending.
func (s *streamChecker) line() (string, error) {
	var line strings.Builder
	for {
		part, err := s.reader.ReadSlice('\n')
		line.Write(part)
		if err == nil {
			return strings.TrimRight(line.String(), "\r\n"), nil
		}
		if err == io.EOF && line.Len() > 0 {
			return "", errors.Wrap(errWrongResponse, "body ends in the middle of a line")
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return "", err
		}
		if line.Len() > maxEventBytes {
			return "", errors.Wrap(errWrongResponse, "event exceeds the size limit")
		}
	}
}

func (s *streamChecker) checkEvent(line string) (int, error) {
	data, ok := strings.CutPrefix(line, "data: ")
	if !ok {
		return 0, errors.Wrapf(errWrongResponse, "line %.40q is not an event", line)
	}
	if s.done {
		return 0, errors.Wrap(errWrongResponse, "event after the terminator")
	}
	if data == "[DONE]" {
		s.done = true
		return 0, s.checkTerminator()
	}
	var c completion
	if err := json.Unmarshal([]byte(data), &c); err != nil {
		return 0, errors.Wrapf(errWrongResponse, "event %.40q is not JSON", data)
	}
	return s.checkChunk(&c)
}

// checkChunk compares the tokens of one event with the expected text.
func (s *streamChecker) checkChunk(c *completion) (int, error) {
	if len(c.Choices) != 1 || s.finished {
		return 0, errors.Wrap(errWrongResponse, "chunk without exactly one choice or after the finish reason")
	}
	content := c.Choices[0].Delta.Content
	n := len(content) / answer.TokenBytes
	if want := s.expected.Range(s.seen, s.seen+n); content != want || s.seen+n > s.tokens {
		return 0, errors.Wrapf(errWrongResponse, "token %d: got %.40q, want %.40q", s.seen, content, want)
	}
	s.seen += n
	if c.Choices[0].FinishReason != nil {
		s.finished = true
		return n, s.checkUsage(c)
	}
	return n, nil
}

func (s *streamChecker) checkUsage(c *completion) error {
	return checkUsage(c, s.prompt, s.tokens)
}

func checkUsage(c *completion, prompt string, tokens int) error {
	if c.Usage == nil {
		return errors.Wrap(errWrongResponse, "usage is missing")
	}
	if c.Usage.Completion != tokens || c.Usage.Prompt != answer.PromptTokens(prompt) {
		return errors.Wrapf(errWrongResponse, "usage: got %d and %d tokens, want %d and %d",
			c.Usage.Prompt, c.Usage.Completion, answer.PromptTokens(prompt), tokens)
	}
	return nil
}

// checkTerminator returns an error if the terminator came too early.
func (s *streamChecker) checkTerminator() error {
	if !s.finished || s.seen != s.tokens {
		return errors.Wrapf(errWrongResponse, "terminator after %d of %d tokens", s.seen, s.tokens)
	}
	return nil
}

// end checks a body that ended without a connection error: without the
// terminator the response is wrong.
func (s *streamChecker) end() error {
	if !s.done {
		return errors.Wrapf(errWrongResponse, "body ends without terminator after %d of %d tokens", s.seen, s.tokens)
	}
	return nil
}

// checkWhole compares a non-streamed response with the expected one.
func checkWhole(raw []byte, prompt string, tokens int) error {
	var c completion
	if err := json.Unmarshal(raw, &c); err != nil {
		return errors.Wrap(errWrongResponse, "response is not JSON")
	}
	if len(c.Choices) != 1 {
		return errors.Wrap(errWrongResponse, "response does not have exactly one choice")
	}
	if c.Choices[0].Message.Content != answer.New(prompt).Range(0, tokens) {
		return errors.Wrapf(errWrongResponse, "content of %d bytes differs from the expected text", len(c.Choices[0].Message.Content))
	}
	return checkUsage(&c, prompt, tokens)
}
