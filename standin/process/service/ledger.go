package service

import (
	"bufio"
	"encoding/json"
	"os"
	"sync"

	"github.com/cockroachdb/errors"
)

// Execution is one line of the ledger.
type Execution struct {
	RequestID string `json:"requestId"`
	Echo
}

// Report is the reply to GET /ledger.
type Report struct {
	Executions []Execution `json:"executions"`
}

// Ledger records executions in their order. A ledger with a file survives the
// process, as the records of a real service would.
type Ledger struct {
	mu         sync.Mutex
	file       *os.File
	executions []Execution
}

// NewLedger returns an empty ledger in memory.
func NewLedger() *Ledger { return &Ledger{} }

// OpenLedger opens or creates a ledger file with one JSON object per line. It
// truncates an incomplete last line, as a killed process leaves it.
func OpenLedger(path string) (*Ledger, error) {
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o644)
	if err != nil {
		return nil, errors.Wrap(err, "open ledger")
	}
	l := &Ledger{file: file}
	var validBytes int64
	lines := bufio.NewReader(file)
	for {
		line, err := lines.ReadBytes('\n')
		if err != nil {
			break
		}
		var x Execution
		if err := json.Unmarshal(line, &x); err != nil {
			return nil, errors.CombineErrors(errors.Wrap(err, "decode ledger line"), file.Close())
		}
		l.executions = append(l.executions, x)
		validBytes += int64(len(line))
	}
	if err := file.Truncate(validBytes); err != nil {
		return nil, errors.CombineErrors(errors.Wrap(err, "truncate ledger"), file.Close())
	}
	_, err = file.Seek(validBytes, 0)
	return l, errors.Wrap(err, "seek ledger")
}

// Record appends an execution and returns its ordinal number, starting at 1.
func (l *Ledger) Record(requestID string, e Echo) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e.Execution = uint64(len(l.executions)) + 1
	x := Execution{requestID, e}
	if err := l.appendLine(x); err != nil {
		return 0, err
	}
	l.executions = append(l.executions, x)
	return e.Execution, nil
}

func (l *Ledger) appendLine(x Execution) error {
	if l.file == nil {
		return nil
	}
	line, err := json.Marshal(x)
	if err != nil {
		return errors.Wrap(err, "encode execution")
	}
	_, err = l.file.Write(append(line, '\n'))
	return errors.Wrap(err, "write execution to ledger")
}

// Executions returns a copy of the recorded executions.
func (l *Ledger) Executions() []Execution {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Execution{}, l.executions...)
}
