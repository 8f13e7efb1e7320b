package operator

import (
	"context"
	"flag"

	"github.com/cockroachdb/errors"

	"goldcrestshore/core/connection/platform"
	"goldcrestshore/core/version/configuration"
	"goldcrestshore/ctl/process/explain"
)

// Exit codes, as documented in docs/operators.md.
const (
	exitOK          = 0
	exitError       = 1 // an error that no other code describes
	exitUsage       = 2 // the command line is invalid
	exitInvalid     = 3 // the configuration is invalid or a name is unknown; nothing was written
	exitConflict    = 4 // another version is in force; nothing was written
	exitUnavailable = 5 // the platform is unavailable; the outcome is unknown
	exitNotApplied  = 6 // read back: the write did not take effect
	exitOverwritten = 7 // read back: the write took effect and has since been replaced
	exitDiffers     = 8 // diff found differences
)

// Errors that determine the exit code.
var (
	errUsage       = errors.New("invalid arguments")
	errUnknownName = errors.New("unknown name")
	errNotApplied  = errors.New("the write did not take effect")
	errOverwritten = errors.New("the write took effect and has since been overwritten")
	errDiffers     = errors.New("the file differs from the configuration in force")
)

// exitCode returns the exit code for the error of a command.
func exitCode(err error) int {
	var problems configuration.Problems
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
		return exitOK
	case errors.Is(err, errUsage):
		return exitUsage
	case errors.As(err, &problems), errors.Is(err, errUnknownName), errors.Is(err, explain.ErrUnknownRequest):
		return exitInvalid
	case errors.Is(err, platform.ErrConflict):
		return exitConflict
	case errors.Is(err, errNotApplied):
		return exitNotApplied
	case errors.Is(err, errOverwritten):
		return exitOverwritten
	case errors.Is(err, errDiffers):
		return exitDiffers
	case errors.Is(err, platform.ErrUnavailable), errors.Is(err, context.Canceled):
		return exitUnavailable
	}
	return exitError
}
