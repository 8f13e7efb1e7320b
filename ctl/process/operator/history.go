package operator

import (
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

const (
	// historyPrefix begins the comment that goldcrestctl appends to a text. At the
	// end it moves no line, so that positions of faults stay the operator's.
	historyPrefix = "\n// goldcrestctl writes: "
	// writeIDBytes is the size of a write's random id.
	writeIDBytes = 8
	// maxWriteIDs is the number of writes that a stamp remembers. An operator whose
	// answer was lost learns that the write was overwritten, unless more than
	// this number of writes followed before the read back.
	maxWriteIDs = 16
)

// writeHistory is the ids of the last writes, the latest first.
type writeHistory []string

// newWriteID returns the id of one write.
func newWriteID() (string, error) {
	id := make([]byte, writeIDBytes)
	if _, err := rand.Read(id); err != nil {
		return "", errors.Wrap(err, "draw write id")
	}
	return hex.EncodeToString(id), nil
}

// splitHistory separates an object's value into the operators' text and the stamp.
func splitHistory(value []byte) ([]byte, writeHistory) {
	at := bytes.LastIndex(value, []byte(historyPrefix))
	if at < 0 {
		return value, nil
	}
	line := string(value[at+len(historyPrefix):])
	ids := strings.TrimSuffix(line, "\n")
	if strings.Contains(ids, "\n") {
		return value, nil // the comment is not at the end: an operator's own
	}
	return value[:at], strings.Fields(ids)
}

// appendTo returns the value for a text after a further write.
func (s writeHistory) appendTo(raw []byte, id string) []byte {
	ids := append(writeHistory{id}, s...)
	ids = ids[:min(len(ids), maxWriteIDs)]
	return []byte(string(raw) + historyPrefix + strings.Join(ids, " ") + "\n")
}

// contains tells whether a write is among those remembered.
func (s writeHistory) contains(id string) bool { return slices.Contains(s, id) }

// isLatest tells whether a write is the latest one.
func (s writeHistory) isLatest(id string) bool { return len(s) > 0 && s[0] == id }
