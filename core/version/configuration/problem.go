package configuration

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
)

// Causes of a rejected configuration, for use with errors.Is.
var (
	ErrSyntax         = errors.New("syntax error")
	ErrTooLarge       = errors.New("configuration is too large")
	ErrUnknownField   = errors.New("unknown field")
	ErrDuplicateField = errors.New("duplicate field")
	ErrMissingField   = errors.New("missing field")
	ErrValue          = errors.New("invalid value")
	ErrDuplicateName  = errors.New("duplicate name")
	ErrUnknownName    = errors.New("unknown name")
	ErrCycle          = errors.New("service dependencies form a cycle")
	ErrDuplicateRoute = errors.New("duplicate route")
	ErrDuplicateKey   = errors.New("duplicate key hash")
)

// Problem is one error in a configuration with its position. Lines and columns
// start at 1; columns count bytes.
type Problem struct {
	line   int
	column int
	cause  error
	detail string
}

// Line returns the line of the error.
func (p *Problem) Line() int { return p.line }

// Column returns the column of the error.
func (p *Problem) Column() int { return p.column }

// Error returns the position, the cause and the details in one line.
func (p *Problem) Error() string {
	return fmt.Sprintf("line %d, column %d: %v: %s", p.line, p.column, p.cause, p.detail)
}

// Unwrap returns the cause.
func (p *Problem) Unwrap() error { return p.cause }

// Problems is the error that Parse returns. It has at least one element, in the
// order of the checks.
type Problems []*Problem

// Error returns the messages of all problems, one per line.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns all problems.
func (ps Problems) Unwrap() []error {
	errs := make([]error, len(ps))
	for i, p := range ps {
		errs[i] = p
	}
	return errs
}

// maxProblems is the maximum number of problems reported for a configuration.
const maxProblems = 50

// report collects the problems of one configuration.
type report struct {
	raw      []byte
	problems Problems
}

// add records a problem at a byte offset.
func (r *report) add(offset int, cause error, format string, args ...any) {
	if len(r.problems) >= maxProblems {
		return
	}
	line, column := position(r.raw, offset)
	r.problems = append(r.problems, &Problem{line, column, cause, fmt.Sprintf(format, args...)})
}

// line returns the line of a byte offset, for use in a message. It returns 0
// once the report is full: counting lines for problems that are not reported
// would take time quadratic in the size of the configuration.
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
