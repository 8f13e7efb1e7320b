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
	// historyPrefix starts the comment that goldcrestctl appends to a configuration.
	// The comment is at the end so that line numbers in error messages match the
	// operator's file.
	historyPrefix = "\n// goldcrestctl writes: "
	// writeIDBytes is the size of the random ID of a write.
	writeIDBytes = 8
	// maxWriteIDs is the number of writes recorded in a history. After a lost
	// response, apply reports that the write was overwritten only if fewer than
	// this number of writes followed before the read back.
	maxWriteIDs = 16
)

// writeHistory holds the IDs of the most recent writes, the latest first.
type writeHistory []string

// newWriteID returns a random ID for one write.
func newWriteID() (string, error) {
	id := make([]byte, writeIDBytes)
	if _, err := rand.Read(id); err != nil {
		return "", errors.Wrap(err, "generate write ID")
	}
	return hex.EncodeToString(id), nil
}

// splitHistory separates the stored value into the operators' configuration and
// the write history.
func splitHistory(value []byte) ([]byte, writeHistory) {
	at := bytes.LastIndex(value, []byte(historyPrefix))
	if at < 0 {
		return value, nil
	}
	line := string(value[at+len(historyPrefix):])
	ids := strings.TrimSuffix(line, "\n")
	if strings.Contains(ids, "\n") {
		return value, nil // not the last line: a comment written by an operator
	}
	return value[:at], strings.Fields(ids)
}

// appendTo returns the value to store: the configuration followed by the history
// with one more write.
func (s writeHistory) appendTo(raw []byte, id string) []byte {
	ids := append(writeHistory{id}, s...)
	ids = ids[:min(len(ids), maxWriteIDs)]
	return []byte(string(raw) + historyPrefix + strings.Join(ids, " ") + "\n")
}

// contains reports whether the history has the write.
func (s writeHistory) contains(id string) bool { return slices.Contains(s, id) }

// isLatest reports whether the write is the most recent one.
func (s writeHistory) isLatest(id string) bool { return len(s) > 0 && s[0] == id }
