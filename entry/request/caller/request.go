// Package caller implements the HTTP server for the callers of services.
package caller

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/request/outcome"
	"goldcrestshore/core/version/configuration"
	"goldcrestshore/core/version/relay"
)

const (
	// chatPath is the OpenAI-compatible endpoint of model services.
	chatPath = "/v1/chat/completions"

	// MaxBodyBytes is the largest request body.
	MaxBodyBytes = 4 << 20
	// bodyTimeout is the time limit for reading a request body.
	bodyTimeout = 30 * clock.Second

	// defaultDeadline is the time until the start of the response for a request
	// without a deadline. A started response may take up to maxResponseDuration
	// because its reader may be slow; tcpUserTimeout detects a reader that has
	// stopped reading.
	defaultDeadline     = 120 * clock.Second
	maxDeadline         = 600 * clock.Second
	maxResponseDuration = 1 * clock.Hour

	// bytesPerToken is a low estimate, so that the token count of a prompt is
	// not underestimated by much.
	bytesPerToken = 3
	// defaultMaxTokens is the token limit of a chat request that sets none.
	defaultMaxTokens = 512
)

const (
	authorizationHeader = "Authorization"
	keyHeader           = "Idempotency-Key"
	deadlineHeader      = "Goldcrest-Deadline-Ms"
	bearerPrefix        = "Bearer "
)

// maxKeyBytes bounds the size of the keys in idempotency records.
const maxKeyBytes = 128

// Request is an authenticated request that is routed to a service.
type Request struct {
	customer      *configuration.Customer
	service       *configuration.Service
	call          frame.Call
	size          frame.Size
	key           string
	stream        bool
	atMostOnce    bool
	deadline      clock.Millis
	endDeadline   clock.Millis
	configVersion uint64
	release       func() // releases the memory of the body
}

// Customer returns the authenticated customer.
func (r *Request) Customer() *configuration.Customer { return r.customer }

// Service returns the service that the request is routed to.
func (r *Request) Service() *configuration.Service { return r.service }

// Call returns the HTTP request to send to an upstream.
func (r *Request) Call() frame.Call { return r.call }

// Size returns the estimated prompt tokens and the token limit, from which the
// memory need is computed.
func (r *Request) Size() frame.Size { return r.size }

// Key returns the caller's idempotency key, or "" if there is none.
func (r *Request) Key() string { return r.key }

// Stream reports whether the caller requested server-sent events.
func (r *Request) Stream() bool { return r.stream }

// Idempotent reports whether the request may run more than once.
func (r *Request) Idempotent() bool { return !r.atMostOnce }

// Deadline returns the time by which the response must have started.
func (r *Request) Deadline() clock.Millis { return r.deadline }

// EndDeadline returns the time at which a started response is aborted. It equals
// Deadline if the caller set one.
func (r *Request) EndDeadline() clock.Millis { return r.endDeadline }

// ConfigVersion returns the version of the configuration used for routing.
func (r *Request) ConfigVersion() uint64 { return r.configVersion }

func refuse(code outcome.Code) *outcome.Refusal { return outcome.Refuse(code, outcome.NotRun, 0) }

// parseRequest authenticates and routes req. Nothing has been sent to an upstream
// yet, so all its refusals report the request as not run.
func parseRequest(w http.ResponseWriter, req *http.Request, snapshot *relay.Snapshot, budget *bodyBudget, now clock.Millis) (*Request, error) {
	if !snapshot.Ready() || snapshot.Configuration() == nil {
		return nil, outcome.Refuse(outcome.NotReady, outcome.NotRun, int64(clock.Second))
	}
	customer, ok := snapshot.Configuration().Customer(strings.TrimPrefix(req.Header.Get(authorizationHeader), bearerPrefix))
	if !ok {
		return nil, refuse(outcome.Unauthorized)
	}
	deadline, endDeadline, err := parseDeadline(req.Header.Get(deadlineHeader), now)
	if err != nil {
		return nil, err
	}
	key := req.Header.Get(keyHeader)
	if len(key) > maxKeyBytes {
		return nil, refuse(outcome.BadRequest)
	}
	body, release, err := budget.read(w, req)
	if err != nil {
		return nil, err
	}
	r := &Request{customer: customer, key: key, deadline: deadline, endDeadline: endDeadline, configVersion: snapshot.ConfigurationVersion(), release: release}
	if req.URL.Path == chatPath && req.Method == http.MethodPost {
		err = r.routeChat(snapshot.Configuration(), body)
	} else {
		err = r.routePlain(snapshot.Configuration(), req)
	}
	if err != nil {
		release()
		return nil, err
	}
	r.atMostOnce = r.atMostOnce || key != ""
	r.call = frame.NewCall(req.Method, req.URL.RequestURI(), forwardHeader(req.Header), body)
	return r, nil
}

// parseDeadline returns the times by which the response must start and end.
func parseDeadline(header string, now clock.Millis) (deadline, endDeadline clock.Millis, err error) {
	if header == "" {
		return now + defaultDeadline, now + maxResponseDuration, nil
	}
	ms, err := strconv.ParseInt(header, 10, 64)
	if err != nil || ms <= 0 {
		return 0, 0, refuse(outcome.BadRequest)
	}
	deadline = now + min(clock.Millis(ms), maxDeadline)
	return deadline, deadline, nil
}

// chatBody holds the fields of a chat request that are needed for routing.
type chatBody struct {
	Model               string          `json:"model"`
	Stream              bool            `json:"stream"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	Messages            json.RawMessage `json:"messages"`
}

func (r *Request) routeChat(config *configuration.Configuration, body []byte) error {
	var chat chatBody
	if err := json.Unmarshal(body, &chat); err != nil {
		return errors.Wrapf(refuse(outcome.BadRequest), "chat body: %v", err)
	}
	service, ok := config.Service(chat.Model)
	if !ok || service.Kind() != configuration.Model {
		return errors.Wrapf(refuse(outcome.NoRoute), "no model service %q", chat.Model)
	}
	limit := defaultMaxTokens
	for _, given := range []*int{chat.MaxTokens, chat.MaxCompletionTokens} {
		if given != nil {
			limit = *given
		}
	}
	if limit <= 0 {
		return errors.Wrap(refuse(outcome.BadRequest), "token limit is not positive")
	}
	r.service, r.stream = service, chat.Stream
	r.size = frame.NewSize(len(chat.Messages)/bytesPerToken+1, limit)
	return nil
}

func (r *Request) routePlain(config *configuration.Configuration, req *http.Request) error {
	service, route, ok := config.Route(req.Method, req.URL.Path)
	if !ok {
		return refuse(outcome.NoRoute)
	}
	r.service, r.atMostOnce = service, !route.Idempotent()
	return nil
}

// droppedHeaders are not forwarded: they are addressed to this process or are
// hop-by-hop. The idempotency key is not forwarded under its own header name,
// because an HTTP client library may resend a request that has this header.
var droppedHeaders = map[string]bool{
	authorizationHeader: true, keyHeader: true, deadlineHeader: true,
	"Connection": true, "Keep-Alive": true, "Te": true, "Trailer": true, "Transfer-Encoding": true,
	"Upgrade": true, "Content-Length": true, "Expect": true, "Accept-Encoding": true,
}

func forwardHeader(h http.Header) []frame.Field {
	var fields []frame.Field
	for name, values := range h {
		if droppedHeaders[name] {
			continue
		}
		for _, v := range values {
			fields = append(fields, frame.NewField(name, v))
		}
	}
	return fields
}
