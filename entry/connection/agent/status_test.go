package agent

import (
	"fmt"
	"io"
	"testing"

	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/event"
)

// Guards against a caller that gets the status of an upstream in trouble as it is, or no response
// at all, because the HTTP server panics on a status below 100.
func TestHeadWithoutStatus(t *testing.T) {
	log, err := event.NewLog(io.Discard, "error", "entry", "e")
	check.NoError(t, "NewLog", err)
	for status, want := range map[int]Event{
		0: Lost{}, 99: Lost{}, 101: Lost{}, 600: Lost{}, 1000: Lost{},
		200: Head{}, 404: Head{}, 599: Head{},
	} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			l := &Link{Log: log}
			e := newExchange(frame.NewID(1, 2), l)
			l.exchanges = map[frame.ID]*Exchange{e.id: e}
			l.handle(nil, e.id, frame.NewResponseHead(status, nil))
			got, err := e.Next(t.Context())
			check.NoError(t, "Next", err)
			check.Equal(t, "event", fmt.Sprintf("%T", got), fmt.Sprintf("%T", want))
		})
	}
}
