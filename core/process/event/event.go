// Package event defines the numbered log events of all programs. A test compares
// docs/EVENTS.md with the catalogue of this package.
package event

import (
	"fmt"
	"io"

	"github.com/sirupsen/logrus"
)

// timeFormat includes milliseconds, so that the lines of several processes can be
// ordered.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// Event is a kind of log line.
type Event struct {
	number int
	level  logrus.Level
	text   string
}

// Number returns the number used in logs and refusals.
func (e Event) Number() int { return e.number }

// Level returns the severity of the event.
func (e Event) Level() logrus.Level { return e.level }

// Text returns the constant log message.
func (e Event) Text() string { return e.text }

// Fields are the variable parts of a log line.
type Fields = logrus.Fields

// Log writes the events of one process as JSON lines.
type Log struct {
	// Count, if not nil, is called with each event, including those below the log
	// level. It must be set before the log is used.
	Count func(Event)

	logger *logrus.Logger
}

// NewLog returns a Log that writes to w. Each line includes role and instance.
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

// fixedFields encodes the fields that all lines of a process have.
func fixedFields(role, instance string) ([]byte, error) {
	b, err := appendField(nil, "role", role)
	if err != nil {
		return nil, err
	}
	return appendField(b, "instance", instance)
}

// Emit writes one event. fields may be nil; the caller must not use it afterwards.
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

// Error writes one event with the error that caused it. The same rules apply to
// fields as for Emit.
func (l *Log) Error(e Event, err error, fields Fields) {
	if fields == nil {
		fields = make(Fields, 2)
	}
	fields[keyError] = err.Error()
	l.Emit(e, fields)
}
