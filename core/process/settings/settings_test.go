package settings

import (
	"flag"
	"os"
	"path/filepath"
	"testing"

	"goldcrestshore/core/process/check"
)

func parseWithFile(t *testing.T, file string, args ...string) (string, int, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.jsonc")
	check.NoError(t, "WriteFile", os.WriteFile(path, []byte(file), 0o600))
	fs := flag.NewFlagSet("test", flag.ContinueOnError)
	fs.SetOutput(os.Stderr)
	listen := fs.String("listen", "", "")
	limit := fs.Int("limit", 1, "")
	err := Parse(fs, append([]string{"-settings", path}, args...))
	return *listen, *limit, err
}

func TestParse(t *testing.T) {
	t.Run("comments are allowed and a flag overrides the file", func(t *testing.T) {
		listen, limit, err := parseWithFile(t, "{\n// address\n\"listen\": \"127.0.0.1:1\", \"limit\": 5,\n}", "-limit", "9")
		check.NoError(t, "Parse", err)
		check.Equal(t, "listen", listen, "127.0.0.1:1")
		check.Equal(t, "limit", limit, 9)
	})
	t.Run("unknown setting", func(t *testing.T) {
		_, _, err := parseWithFile(t, `{"lisen": "x"}`)
		check.Is(t, "Parse", err, ErrUnknown)
	})
	t.Run("syntax error", func(t *testing.T) {
		_, _, err := parseWithFile(t, `{"listen": `)
		check.Is(t, "Parse", err, ErrSyntax)
	})
}

func TestMissingSettings(t *testing.T) {
	fs := flag.NewFlagSet("test", flag.ContinueOnError)
	common := DefineCommon(fs)
	check.NoError(t, "Parse", Parse(fs, []string{"-instance", "a"}))
	check.Is(t, "Check", common.Check(), ErrMissing)
	check.Is(t, "Require", Require("service", ""), ErrMissing)
	check.NoError(t, "Require", Require("service", "s"))
}
