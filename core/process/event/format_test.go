package event

import (
	"bytes"
	"encoding/json"
	"errors"
	"testing"
	"time"

	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/clock"
)

// Guards against lines that are not valid JSON, and against values that are changed
// by the encoding.
func TestLinesAreJSON(t *testing.T) {
	var out bytes.Buffer
	log, err := NewLog(&out, "info", "entry", "front \"1\"")
	check.NoError(t, "NewLog", err)
	const special = "quote \" backslash \\ newline \n bell \a accent \u00e9 bad \xff"
	log.Error(RequestFailed, errors.New(special), Fields{
		"text": special, "plain": "a b", "int": -3, "long": int64(1) << 60, "span": 12 * clock.Millis(1), "yes": true,
		"part": 0.25, "none": nil, "list": []string{"a"}, "na\"me": 1,
	})
	check.Equal(t, "lines", bytes.Count(out.Bytes(), []byte("\n")), 1)
	var got map[string]any
	check.NoError(t, "decode", json.Unmarshal(out.Bytes(), &got))
	raw, err := json.Marshal(special)
	check.NoError(t, "Marshal", err)
	var decoded string
	check.NoError(t, "Unmarshal", json.Unmarshal(raw, &decoded))
	for name, want := range map[string]any{
		"msg": RequestFailed.Text(), "level": "warning", "role": "entry", "instance": "front \"1\"", "event": float64(RequestFailed.Number()),
		"text": decoded, "error": decoded, "plain": "a b", "int": -3.0, "long": float64(int64(1) << 60), "span": 12.0, "yes": true,
		"part": 0.25, "none": nil, "na\"me": 1.0,
	} {
		value, found := got[name]
		check.Equal(t, name+" is present", found, true)
		check.Equal(t, name, value, want)
	}
	_, err = time.Parse(timeFormat, got["time"].(string))
	check.NoError(t, "time", err)
}

// Guards against events below the log level that are written, and against events
// that are not counted because they are not written.
func TestLevels(t *testing.T) {
	var out bytes.Buffer
	log, err := NewLog(&out, "warning", "entry", "e")
	check.NoError(t, "NewLog", err)
	counted := 0
	log.Count = func(Event) { counted++ }
	log.Emit(RequestCompleted, nil)
	check.Equal(t, "bytes of an event below the level", out.Len(), 0)
	log.Emit(RequestFailed, nil)
	check.Equal(t, "an event at the level is written", out.Len() > 0, true)
	check.Equal(t, "counted", counted, 2)
}
