package outcome

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"goldcrestshore/core/process/check"
)

// Guards against a refusal code that is missing from the operators' manual.
func TestEveryCodeIsDocumented(t *testing.T) {
	source, err := os.ReadFile("outcome.go")
	check.NoError(t, "read source", err)
	page, err := os.ReadFile("../../../docs/operators.md")
	check.NoError(t, "read page", err)
	codes := regexp.MustCompile(`Code = "(\w+)"`).FindAllStringSubmatch(string(source), -1)
	check.Equal(t, "found codes", len(codes) > 0, true)
	for _, code := range codes {
		check.Equal(t, code[1]+" is documented", strings.Contains(string(page), "| `"+code[1]+"` |"), true)
	}
}
