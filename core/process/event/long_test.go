package event

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"goldcrestshore/core/process/check"
)

// Guards against log lines that quote what a peer in trouble has sent: thousands of them wait for a
// slow reader of the output, and fill the memory of the process.
func TestLongTextsAreCut(t *testing.T) {
	const maxLineBytes = 4 << 10
	long := strings.Repeat("\x01", 64<<10)
	for name, emit := range map[string]func(*Log){
		"error":       func(l *Log) { l.Error(PlatformFailed, errors.New(long), nil) },
		"field":       func(l *Log) { l.Emit(PlatformFailed, Fields{"cause": long}) },
		"other types": func(l *Log) { l.Emit(PlatformFailed, Fields{"list": []string{long, "x"}}) },
	} {
		t.Run(name, func(t *testing.T) {
			var line bytes.Buffer
			log, err := NewLog(&line, "info", "entry", "e")
			check.NoError(t, "NewLog", err)
			emit(log)
			check.AtMost(t, "bytes of the line", line.Len(), maxLineBytes)
			check.Equal(t, "line is complete", strings.HasSuffix(line.String(), "}\n"), true)
		})
	}
}
