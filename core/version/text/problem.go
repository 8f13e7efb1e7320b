package text

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
)

// Causes of a refused text, for use with errors.Is.
var (
	ErrSyntax         = errors.New("syntax error")
	ErrTooLarge       = errors.New("text is too large")
	ErrUnknownField   = errors.New("unknown field")
	ErrDuplicateField = errors.New("field is given twice")
	ErrMissingField   = errors.New("field is missing")
	ErrValue          = errors.New("value is not allowed")
	ErrDuplicateName  = errors.New("name is used twice")
	ErrUnknownName    = errors.New("unknown name")
	ErrCycle          = errors.New("services depend on each other in a cycle")
	ErrDuplicateRoute = errors.New("route is used twice")
	ErrDuplicateKey   = errors.New("key hash is used twice")
)

// Problem is one fault of a text with its place. Lines and columns count from
// 1; columns count bytes.
type Problem struct {
	line   int
	column int
	cause  error
	detail string
}

// Line returns the line of the fault.
func (p *Problem) Line() int { return p.line }

// Column returns the column of the fault.
func (p *Problem) Column() int { return p.column }

// Error describes the fault in one line.
func (p *Problem) Error() string {
	return fmt.Sprintf("line %d, column %d: %v: %s", p.line, p.column, p.cause, p.detail)
}

// Unwrap returns the cause.
func (p *Problem) Unwrap() error { return p.cause }

// Problems is the error of Parse: at least one fault, in the order of the checks.
type Problems []*Problem

// Error lists the faults, one a line.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns every fault.
func (ps Problems) Unwrap() []error {
	errs := make([]error, len(ps))
	for i, p := range ps {
		errs[i] = p
	}
	return errs
}

// maxProblems bounds the report on a text that is wrong throughout.
const maxProblems = 50

// report collects the faults of one text.
type report struct {
	raw      []byte
	problems Problems
}

// add records a fault at a byte offset.
func (r *report) add(offset int, cause error, format string, args ...any) {
	if len(r.problems) >= maxProblems {
		return
	}
	line, column := position(r.raw, offset)
	r.problems = append(r.problems, &Problem{line, column, cause, fmt.Sprintf(format, args...)})
}

// line returns the line of a byte offset for a message. It is 0 once the
// report is full, since counting lines for faults that are not reported takes
// time in the square of the text's size.
func (r *report) line(offset int) int {
	if len(r.problems) >= maxProblems {
		return 0
	}
	line, _ := position(r.raw, offset)
	return line
}

// position returns the line and column of a byte offset.
func position(raw []byte, offset int) (line, column int) {
	before := raw[:min(max(offset, 0), len(raw))]
	return 1 + bytes.Count(before, []byte("\n")), len(before) - bytes.LastIndexByte(before, '\n')
}
