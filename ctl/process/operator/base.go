package operator

import (
	"encoding/json"
	"io/fs"
	"os"

	"github.com/cockroachdb/errors"
)

// errNoBase means that a configuration file has no .base file.
var errNoBase = errors.New("no base version is recorded for the file")

// baseFile is the content of a .base file: the version of the configuration that
// the file next to it was read from or applied as.
type baseFile struct {
	Version uint64 `json:"version"`
}

func basePath(file string) string { return file + ".base" }

// readBase returns the base version recorded for a file.
func readBase(file string) (uint64, error) {
	raw, err := os.ReadFile(basePath(file))
	if errors.Is(err, fs.ErrNotExist) {
		return 0, errNoBase
	}
	if err != nil {
		return 0, errors.Wrap(err, "read base version")
	}
	var base baseFile
	if err := json.Unmarshal(raw, &base); err != nil {
		return 0, errors.Wrapf(err, "decode %s", basePath(file))
	}
	return base.Version, nil
}

// writeBase records the configuration version that a file corresponds to.
func writeBase(file string, version uint64) error {
	raw, err := json.Marshal(baseFile{version})
	if err != nil {
		return errors.Wrap(err, "encode base version")
	}
	return errors.Wrap(os.WriteFile(basePath(file), append(raw, '\n'), 0o644), "write base version")
}
