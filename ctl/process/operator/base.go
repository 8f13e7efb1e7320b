package operator

import (
	"encoding/json"
	"io/fs"
	"os"

	"github.com/cockroachdb/errors"
)

// errNoBase reports a file of which no read version is known.
var errNoBase = errors.New("no version is recorded beside the file")

// baseFile is the file that records which version a text was read from.
type baseFile struct {
	Version uint64 `json:"version"`
}

func basePath(file string) string { return file + ".base" }

// readBase returns the version recorded beside a file.
func readBase(file string) (uint64, error) {
	raw, err := os.ReadFile(basePath(file))
	if errors.Is(err, fs.ErrNotExist) {
		return 0, errNoBase
	}
	if err != nil {
		return 0, errors.Wrap(err, "read base")
	}
	var base baseFile
	if err := json.Unmarshal(raw, &base); err != nil {
		return 0, errors.Wrapf(err, "%s", basePath(file))
	}
	return base.Version, nil
}

// writeBase records the version that a file corresponds to.
func writeBase(file string, version uint64) error {
	raw, err := json.Marshal(baseFile{version})
	if err != nil {
		return errors.Wrap(err, "encode base")
	}
	return errors.Wrap(os.WriteFile(basePath(file), append(raw, '\n'), 0o644), "record base")
}
