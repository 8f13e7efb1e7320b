package event

import (
	"bytes"
	"encoding/json"
	"slices"
	"strconv"

	"github.com/sirupsen/logrus"

	"goldcrestshore/core/process/clock"
)

// Names of the fields that Log adds.
const (
	keyEvent = "event"
	keyError = "error"
)

// maxTextBytes bounds each value of a line before its special characters are escaped. Errors quote
// what a peer has sent, and thousands of lines may wait for a slow reader of the output.
const maxTextBytes = 512

// cut returns the beginning of a text that is too long, with its length.
func cut(text string) string {
	if len(text) <= maxTextBytes {
		return text
	}
	return text[:maxTextBytes] + "... (" + strconv.Itoa(len(text)) + " bytes)"
}

// lineFormatter formats lines as JSON with the fields sorted by name. The JSON
// formatter of logrus copies the fields of each line and encodes them by reflection,
// which takes several times as long.
type lineFormatter struct {
	// fixed contains the encoded fields that all lines of the process have.
	fixed []byte
}

// Format implements logrus.Formatter.
func (f *lineFormatter) Format(e *logrus.Entry) ([]byte, error) {
	b := e.Buffer
	if b == nil {
		b = &bytes.Buffer{}
	}
	line := append(b.AvailableBuffer(), `{"time":"`...)
	line = e.Time.AppendFormat(line, timeFormat)
	line = append(line, `","level":"`...)
	line = append(line, e.Level.String()...)
	line = append(line, `","msg":`...)
	line = appendString(line, e.Message)
	line = append(line, f.fixed...)
	keys := make([]string, 0, len(e.Data))
	for k := range e.Data {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	for _, k := range keys {
		var err error
		if line, err = appendField(line, k, e.Data[k]); err != nil {
			return nil, err
		}
	}
	b.Write(append(line, '}', '\n'))
	return b.Bytes(), nil
}

// appendField appends a comma and a JSON member with the name and the value.
func appendField(b []byte, name string, value any) ([]byte, error) {
	b = append(b, ',')
	b = appendString(b, name)
	b = append(b, ':')
	switch v := value.(type) {
	case string:
		return appendString(b, cut(v)), nil
	case int:
		return strconv.AppendInt(b, int64(v), 10), nil
	case int64:
		return strconv.AppendInt(b, v, 10), nil
	case clock.Millis:
		return strconv.AppendInt(b, int64(v), 10), nil
	case bool:
		return strconv.AppendBool(b, v), nil
	}
	raw, err := json.Marshal(value)
	if len(raw) > maxTextBytes {
		return appendString(b, cut(string(raw))), err
	}
	return append(b, raw...), err
}

// appendString appends s as a JSON string.
func appendString(b []byte, s string) []byte {
	for i := range len(s) {
		if c := s[i]; c < ' ' || c == '"' || c == '\\' || c >= 0x7f {
			raw, err := json.Marshal(s)
			if err != nil {
				return append(b, `""`...) // marshaling a string cannot fail
			}
			return append(b, raw...)
		}
	}
	b = append(b, '"')
	b = append(b, s...)
	return append(b, '"')
}
