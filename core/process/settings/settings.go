// Package settings reads a program's flags and its settings file, which is
// JSON with comments. A flag takes precedence over the file.
package settings

import (
	"encoding/json"
	"flag"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3"
	"github.com/tailscale/hujson"
)

// Errors returned by Parse.
var (
	ErrSyntax  = errors.New("settings file is malformed")
	ErrUnknown = errors.New("unknown setting")
)

// maxFileBytes bounds a settings file; real ones are a few kilobytes.
const maxFileBytes = 1 << 20

// Parse sets the flags of fs from args and from the file named by the flag
// -settings, which Parse defines. A setting that fs does not define is an error.
func Parse(fs *flag.FlagSet, args []string) error {
	_ = fs.String("settings", "", "settings file, JSON with comments")
	return ff.Parse(fs, args, ff.WithConfigFileFlag("settings"), ff.WithConfigFileParser(parseFile))
}

// parseFile is an ff.ConfigFileParser; it calls set for each setting.
func parseFile(r io.Reader, set func(name, value string) error) error {
	raw, err := io.ReadAll(io.LimitReader(r, maxFileBytes))
	if err != nil {
		return errors.Wrap(err, "read settings")
	}
	standardJSON, err := hujson.Standardize(raw)
	if err != nil {
		return errors.Wrapf(ErrSyntax, "%v", err)
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(standardJSON, &fields); err != nil {
		return errors.Wrapf(ErrSyntax, "%v", err)
	}
	for name, value := range fields {
		if err := setValues(name, value, set); err != nil {
			return err
		}
	}
	return nil
}

// setValues sets name once, or once per element when value is a list.
func setValues(name string, value json.RawMessage, set func(name, value string) error) error {
	var list []json.RawMessage
	if json.Unmarshal(value, &list) != nil {
		list = []json.RawMessage{value}
	}
	for _, item := range list {
		if err := set(name, scalar(item)); err != nil {
			return errors.Wrapf(ErrUnknown, "%q: %v", name, err)
		}
	}
	return nil
}

// scalar returns a JSON string decoded and any other value as it is.
func scalar(item json.RawMessage) string {
	var s string
	if json.Unmarshal(item, &s) == nil {
		return s
	}
	return string(item)
}
