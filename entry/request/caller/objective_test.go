package caller

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/process/burn"
	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/request/outcome"
	"goldcrestshore/core/version/configuration"
	"goldcrestshore/core/version/drainflag"
	"goldcrestshore/core/version/relay"
)

// objectiveCounts is a Recorder that keeps the counts in order of arrival.
type objectiveCounts []string

func (c *objectiveCounts) Count(_ string, objective burn.Objective, good bool) {
	*c = append(*c, fmt.Sprint(objective, " ", good))
}

// Guards against counting errors of the caller against the service, and against
// not counting a slow, broken or refused response.
func TestObjectiveCounts(t *testing.T) {
	objective := `"kind": "model", "objective": {"firstTokenMs": 1000, "betweenTokensMs": 50, "percent": 95}`
	parsed, err := configuration.Parse([]byte(strings.Replace(sampleConfig, `"kind": "model"`, objective, 1)))
	check.NoError(t, "parse", err)
	snapshot := relay.NewSnapshot(1, parsed, drainflag.Set{}, nil)
	stream := []frame.Field{frame.NewField("Content-Type", eventStreamType)}
	rows := []struct {
		name string
		run  func(c *clock.Clock, resp *Response) error
		want []string
	}{
		{"within the objective", func(c *clock.Clock, resp *Response) error {
			resp.Head(200, stream)
			c.Advance(1000)
			_ = resp.Write([]byte("a"))
			c.Advance(50)
			return resp.Finish()
		}, []string{"answered true", "firstToken true", "betweenTokens true"}},
		{"late first token and slow stream", func(c *clock.Clock, resp *Response) error {
			resp.Head(200, stream)
			c.Advance(1001)
			_ = resp.Write([]byte("a"))
			c.Advance(51)
			return resp.Finish()
		}, []string{"answered true", "firstToken false", "betweenTokens false"}},
		{"upstream error", func(_ *clock.Clock, resp *Response) error {
			resp.Head(500, nil)
			return resp.Finish()
		}, []string{"answered false", "firstToken true"}},
		{"refused", func(*clock.Clock, *Response) error {
			return outcome.Refuse(outcome.Overloaded, outcome.NotRun, 0)
		}, []string{"answered false"}},
		{"customer limit", func(*clock.Clock, *Response) error {
			return outcome.Refuse(outcome.CustomerLimit, outcome.NotRun, 0)
		}, nil},
		{"broken stream", func(_ *clock.Clock, resp *Response) error {
			resp.Head(200, stream)
			_ = resp.Write([]byte("a"))
			return outcome.Refuse(outcome.UpstreamFailed, outcome.Unknown, 0)
		}, []string{"answered false", "firstToken true", "betweenTokens true"}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			var got objectiveCounts
			manualClock := clock.NewManual(1000)
			s := newServer(t, func(_ context.Context, _ *Request, resp *Response) error { return row.run(manualClock, resp) })
			s.Clock, s.Recorder = manualClock, &got
			s.CurrentSnapshot = func() *relay.Snapshot { return snapshot }
			serve(t, s)
			check.Equal(t, "counts", slices.Equal(got, row.want), true)
		})
	}
}

// serve sends one request to the model service and, like the HTTP server,
// recovers from the panic that aborts a response.
func serve(t *testing.T, s *Server) {
	t.Helper()
	defer func() {
		if cause := recover(); cause != nil && cause != http.ErrAbortHandler {
			panic(cause)
		}
	}()
	body := strings.NewReader(`{"model":"m","stream":true,"messages":[]}`)
	s.ServeHTTP(httptest.NewRecorder(), newRequest(t, "POST", "http://e"+chatPath, body))
}
