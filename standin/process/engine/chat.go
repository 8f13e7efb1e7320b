package engine

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"goldcrestshore/standin/request/answer"
)

// maxBodyBytes bounds the size of a request body.
const maxBodyBytes = 8 << 20

// defaultMaxTokens is the response length if the request has no max_tokens.
const defaultMaxTokens = 16

// errMalformed marks errors caused by an invalid chat request.
var errMalformed = errors.New("malformed chat request")

// chatRequest is a parsed and validated chat request.
type chatRequest struct {
	model        string
	prompt       string
	maxTokens    int
	resumeOffset int
	stream       bool
	requestID    string
	priority     int
	text         *answer.Text
	// responseID depends on the prompt alone, so that a resumed stream continues
	// with the same bytes.
	responseID string
}

// chatBody is the JSON body of a request in the OpenAI format.
type chatBody struct {
	Model    string `json:"model"`
	Messages []struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	} `json:"messages"`
	MaxTokens *int `json:"max_tokens"`
	Stream    bool `json:"stream"`
}

// parseChat parses the body and the headers of a chat request.
func parseChat(r *http.Request) (*chatRequest, error) {
	var body chatBody
	raw, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return nil, errors.Mark(err, errMalformed)
	}
	if err := json.Unmarshal(raw, &body); err != nil {
		return nil, errors.Mark(err, errMalformed)
	}
	if len(body.Messages) == 0 {
		return nil, errors.Wrap(errMalformed, "no messages")
	}
	contents := make([]string, len(body.Messages))
	for i, m := range body.Messages {
		contents[i] = m.Content
	}
	c := &chatRequest{model: body.Model, prompt: answer.Prompt(contents), maxTokens: defaultMaxTokens, stream: body.Stream}
	if body.MaxTokens != nil {
		c.maxTokens = *body.MaxTokens
	}
	return c, c.parseHeaders(r.Header)
}

// parseHeaders parses the headers, validates the token range and initializes the
// response text.
func (c *chatRequest) parseHeaders(h http.Header) error {
	var err error
	if c.resumeOffset, err = parseOptionalInt(h.Get("X-Resume-Offset")); err != nil {
		return err
	}
	if c.priority, err = parseOptionalInt(h.Get("X-Priority")); err != nil {
		return err
	}
	if c.maxTokens < 0 || c.resumeOffset < 0 || c.resumeOffset > c.maxTokens {
		return errors.Wrap(errMalformed, "token count or resume offset out of range")
	}
	c.requestID = h.Get("X-Request-Id")
	c.text = answer.New(c.prompt)
	c.responseID = "chatcmpl-" + strconv.FormatUint(xxhash.Sum64String(c.prompt), 16)
	return nil
}

func parseOptionalInt(value string) (int, error) {
	if value == "" {
		return 0, nil
	}
	n, err := strconv.Atoi(value)
	if err != nil {
		return 0, errors.Mark(err, errMalformed)
	}
	return n, nil
}

// usage is the token usage in the OpenAI format.
type usage struct {
	Prompt     int           `json:"prompt_tokens"`
	Completion int           `json:"completion_tokens"`
	Total      int           `json:"total_tokens"`
	Details    promptDetails `json:"prompt_tokens_details"`
}

type promptDetails struct {
	Cached int `json:"cached_tokens"`
}

func (c *chatRequest) usage(cached int) *usage {
	prompt := answer.PromptTokens(c.prompt)
	return &usage{prompt, c.maxTokens, prompt + c.maxTokens, promptDetails{cached}}
}

// completion is a complete response or one chunk of a streamed response.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int      `json:"index"`
	Delta        *message `json:"delta,omitempty"`
	Message      *message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// finishLength is the finish_reason of a response that ends at max_tokens.
const finishLength = "length"

// tokenEvent returns the server-sent event for one token.
func (c *chatRequest) tokenEvent(index int) []byte {
	delta := &message{Content: c.text.Token(index)}
	if index == 0 {
		delta.Role = "assistant"
	}
	return c.event(choice{Delta: delta}, nil)
}

// finalEvents returns the events that end a streamed response: the final chunk with
// the usage and the [DONE] terminator.
func (c *chatRequest) finalEvents(cached int) []byte {
	reason := finishLength
	out := c.event(choice{Delta: &message{}, FinishReason: &reason}, c.usage(cached))
	return append(out, "data: [DONE]\n\n"...)
}

func (c *chatRequest) event(onlyChoice choice, u *usage) []byte {
	raw, _ := json.Marshal(completion{c.responseID, "chat.completion.chunk", c.model, []choice{onlyChoice}, u})
	out := append([]byte("data: "), raw...)
	return append(out, "\n\n"...)
}

// fullResponse returns the body of a response that is not streamed.
func (c *chatRequest) fullResponse(cached int) []byte {
	reason := finishLength
	onlyChoice := choice{
		Message:      &message{Role: "assistant", Content: c.text.Range(c.resumeOffset, c.maxTokens)},
		FinishReason: &reason,
	}
	raw, _ := json.Marshal(completion{c.responseID, "chat.completion", c.model, []choice{onlyChoice}, c.usage(cached)})
	return raw
}
