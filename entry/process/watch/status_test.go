package watch

import (
	"bytes"
	"strings"
	"testing"

	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/event"
	"goldcrestshore/core/version/snapshot"
)

// Guards against a view that counts as current while nobody can tell from logs or metrics that
// the store has not responded for one kind of object for too long.
func TestOverdueKindIsReported(t *testing.T) {
	var lines bytes.Buffer
	log, err := event.NewLog(&lines, "info", "entry", "e")
	check.NoError(t, "NewLog", err)
	c := clock.NewManual(clock.Hour)
	w := &Watcher{Clock: c, Log: log, Sources: []Source{newScriptedSource("silent"), newScriptedSource("answered")}}
	w.prepare()
	c.Advance(testMaxDelay + 1)
	w.recordSuccess(w.kinds[1], snapshot.Position{Revision: 1}, false)
	w.checkAges()
	w.checkAges()
	check.Equal(t, "age of the kind without a response", w.Ages(c.Now())["silent"], testMaxDelay+1)
	check.Equal(t, "age of the other kind", w.Ages(c.Now())["answered"], 0)
	check.Equal(t, "lines", strings.Count(lines.String(), `"event":1265`), 1)
	check.Equal(t, "line names the kind", strings.Contains(lines.String(), `"kind":"silent"`), true)
}
