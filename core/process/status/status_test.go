package status

import (
	"testing"

	"goldcrestshore/core/process/check"
)

// Guards against a field of a report that is lost in encoding or decoding.
func TestEncodeAndParse(t *testing.T) {
	load := NewLoad("redactor", 3, 8, true, true)
	want := NewReport("r", 7, []Process{NewProcess("a", 5, load), NewProcess("e", 4, Load{})})
	got, err := Parse(want.Encode())
	check.NoError(t, "parse", err)
	check.Equal(t, "relay", got.Relay(), "r")
	check.Equal(t, "at", got.At(), want.At())
	for i, p := range want.Processes() {
		check.Equal(t, "process", got.Processes()[i], p)
	}
	_, err = Parse([]byte("["))
	check.Is(t, "malformed", err, ErrMalformed)
}
