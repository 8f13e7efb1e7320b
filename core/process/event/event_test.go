package event

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"testing"

	"goldcrestshore/core/process/check"
)

// Guards against numbers that are used twice or out of order.
func TestNumbersIncrease(t *testing.T) {
	last := 0
	for _, e := range Catalogue() {
		if e.Number() <= last {
			t.Errorf("event %d: got a number at most %d, want a higher one", e.Number(), last)
		}
		last = e.Number()
	}
}

// Guards against a documentation page that differs from the catalogue.
// GOLDEN_UPDATE=1 rewrites the page.
func TestCatalogueMatchesDocs(t *testing.T) {
	const page = "../../../docs/EVENTS.md"
	var want bytes.Buffer
	want.WriteString("# Log events\n\nEach log line is JSON with the field `event`. The numbers are stable.\n\n| number | level | message |\n|---|---|---|\n")
	for _, e := range Catalogue() {
		fmt.Fprintf(&want, "| %d | %s | %s |\n", e.Number(), e.Level(), e.Text())
	}
	if os.Getenv("GOLDEN_UPDATE") != "" {
		check.NoError(t, "WriteFile", os.WriteFile(page, want.Bytes(), 0o644))
	}
	got, err := os.ReadFile(page)
	check.NoError(t, "ReadFile", err)
	check.Equal(t, "docs/EVENTS.md", string(got), want.String())
}

func TestEmitWritesNumberAndFields(t *testing.T) {
	var out bytes.Buffer
	log, err := NewLog(&out, "info", "entry", "e1")
	check.NoError(t, "NewLog", err)
	log.Emit(ConfigAdopted, Fields{"version": 4})
	for _, want := range []string{`"event":1200`, `"version":4`, `"instance":"e1"`} {
		check.Equal(t, want, strings.Contains(out.String(), want), true)
	}
}
