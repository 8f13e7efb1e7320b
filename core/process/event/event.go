// Package event has the numbered log events of all programs. The catalogue in
// docs/EVENTS.md is checked against it by a test.
package event

import (
	"fmt"
	"io"

	"github.com/sirupsen/logrus"
)

// timeFormat has milliseconds, so that lines of several processes can be put in
// order.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// Event is one kind of log line.
type Event struct {
	number int
	level  logrus.Level
	text   string
}

// Number returns the number used in logs and refusals.
func (e Event) Number() int { return e.number }

// Level returns the severity.
func (e Event) Level() logrus.Level { return e.level }

// Text returns the fixed message.
func (e Event) Text() string { return e.text }

// Fields are the variable parts of a log line.
type Fields = logrus.Fields

// Log writes events of one process as JSON lines.
type Log struct {
	// Count is called with each event, also with those that are not written; nil
	// counts nothing. It is set before use.
	Count func(Event)

	logger *logrus.Logger
}

// NewLog returns a log that writes to w; each line carries the role and the instance.
func NewLog(w io.Writer, level, role, instance string) (*Log, error) {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log level: %w", err)
	}
	logger := logrus.New()
	logger.SetOutput(w)
	logger.SetLevel(parsed)
	fixed, err := fixedFields(role, instance)
	if err != nil {
		return nil, fmt.Errorf("log fields: %w", err)
	}
	logger.SetFormatter(&lineFormatter{fixed})
	return &Log{logger: logger}, nil
}

// fixedFields encodes what every line of a process has.
func fixedFields(role, instance string) ([]byte, error) {
	b, err := appendField(nil, "role", role)
	if err != nil {
		return nil, err
	}
	return appendField(b, "instance", instance)
}

// Emit writes one event; fields may be nil, and belong to the log afterwards.
func (l *Log) Emit(e Event, fields Fields) {
	l.count(e)
	if !l.logger.IsLevelEnabled(e.level) {
		return
	}
	if fields == nil {
		fields = make(Fields, 1)
	}
	fields[keyEvent] = e.number
	entry := logrus.Entry{Logger: l.logger, Data: fields}
	entry.Log(e.level, e.text)
}

func (l *Log) count(e Event) {
	if l.Count != nil {
		l.Count(e)
	}
}

// Error writes one event with the error that caused it.
func (l *Log) Error(e Event, err error, fields Fields) {
	if fields == nil {
		fields = make(Fields, 2)
	}
	fields[keyError] = err.Error()
	l.Emit(e, fields)
}
