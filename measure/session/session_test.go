package session

import (
	"context"
	"testing"
	"time"

	"goldcrestshore/agent/request/upstream"
	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/request/outcome"
	"goldcrestshore/core/version/drainflag"
)

const chat = `{"model":"redactor","stream":true,"max_tokens":3,"messages":[]}`

// respondWhole responds with the given body after 5 ms.
func respondWhole(body string) fakeUpstream {
	return func(_ context.Context, _ *frame.Submit, response upstream.ResponseWriter) error {
		time.Sleep(5 * time.Millisecond)
		response.Head(frame.NewResponseHead(200, []frame.Field{frame.NewField("Content-Type", "application/json")}))
		_, err := response.Write([]byte(body))
		return err
	}
}

// streamEvents streams events 100 ms apart and then returns err.
func streamEvents(err error, events ...string) fakeUpstream {
	return func(_ context.Context, _ *frame.Submit, response upstream.ResponseWriter) error {
		time.Sleep(20 * time.Millisecond)
		response.Head(frame.NewResponseHead(200, []frame.Field{frame.NewField("Content-Type", "text/event-stream")}))
		for _, e := range events {
			time.Sleep(100 * time.Millisecond)
			if _, writeErr := response.Write([]byte("data: " + e + "\n\n")); writeErr != nil {
				return writeErr
			}
		}
		return err
	}
}

func TestPlainCall(t *testing.T) {
	runGolden(t, "plain", map[string]fakeUpstream{"bilbao-registro": respondWhole(`{"certificate":7}`)}, func(s *session) {
		s.call("POST", "/certificates", `{"rug":1}`)
	})
}

func TestStreamedCall(t *testing.T) {
	runGolden(t, "streamed", map[string]fakeUpstream{"bilbao-redactor": streamEvents(nil, "1", "2", "3")}, func(s *session) {
		s.call("POST", "/v1/chat/completions", chat)
	})
}

// Guards against a streamed response that loses or repeats bytes when its
// connection is cut midway.
func TestConnectionCutMidStream(t *testing.T) {
	runGolden(t, "cut", map[string]fakeUpstream{"bilbao-redactor": streamEvents(nil, "1", "2", "3")}, func(s *session) {
		time.AfterFunc(150*time.Millisecond, s.cutConnections)
		s.call("POST", "/v1/chat/completions", chat)
	})
}

// Guards against a streamed response that hangs forever on a connection that
// stays open but delivers nothing, while new connections work.
func TestUnresponsiveConnectionMidStream(t *testing.T) {
	runGolden(t, "silent", map[string]fakeUpstream{"bilbao-redactor": streamEvents(nil, "1", "2", "3")}, func(s *session) {
		time.AfterFunc(150*time.Millisecond, s.dropWrites)
		s.call("POST", "/v1/chat/completions", chat)
	})
}

// Guards against an interrupted stream that is terminated as if complete, and
// against a second response appended to the first.
func TestUpstreamInterruptsStream(t *testing.T) {
	runGolden(t, "broken", map[string]fakeUpstream{"bilbao-redactor": streamEvents(upstream.ErrInterrupted, "1", "2")}, func(s *session) {
		s.call("POST", "/v1/chat/completions", chat)
	})
}

// Guards against a retry of a non-idempotent call that may have started, and
// against an outcome that states that it did not run.
func TestNonIdempotentCallFails(t *testing.T) {
	broken := fakeUpstream(func(context.Context, *frame.Submit, upstream.ResponseWriter) error { return upstream.ErrInterrupted })
	runGolden(t, "unknown", map[string]fakeUpstream{"bilbao-registro": broken, "oviedo-registro": broken}, func(s *session) {
		s.configure(1, drainflag.NewSet(drainflag.DataCentre("oviedo")), map[string]fakeUpstream{"bilbao-registro": nil, "oviedo-registro": nil})
		s.call("POST", "/certificates", `{"rug":1}`)
	})
}

func TestRefusalNotRun(t *testing.T) {
	runGolden(t, "refused", map[string]fakeUpstream{"bilbao-registro": respondWhole("never")}, func(s *session) {
		s.gates["bilbao-registro"].refusal = outcome.Refuse(outcome.Cold, outcome.NotRun, 1500)
		s.call("POST", "/certificates", `{"rug":1}`)
	})
}

// Guards against new requests to a drained data centre, and against the abort of
// a request in flight when its data centre is drained.
func TestDataCentreDrainedAndRestored(t *testing.T) {
	upstreams := map[string]fakeUpstream{"bilbao-registro": respondWhole("bilbao"), "oviedo-registro": respondWhole("oviedo")}
	runGolden(t, "datacentre", upstreams, func(s *session) {
		s.addLine("fault", "bilbao is out")
		s.configure(2, drainflag.NewSet(drainflag.DataCentre("bilbao")), upstreams)
		s.call("POST", "/certificates", `{"rug":1}`)
		time.AfterFunc(2*time.Millisecond, func() {
			s.addLine("fault", "oviedo is out too")
			s.configure(3, drainflag.NewSet(drainflag.DataCentre("bilbao"), drainflag.DataCentre("oviedo")), upstreams)
		})
		s.call("POST", "/certificates", `{"rug":2}`)
		s.call("POST", "/certificates", `{"rug":3}`)
		s.addLine("fault", "bilbao is back")
		s.configure(4, drainflag.NewSet(drainflag.DataCentre("oviedo")), upstreams)
		s.call("POST", "/certificates", `{"rug":4}`)
	})
}
