package burn

import (
	"bytes"
	"os"
	"testing"

	"goldcrestshore/core/connection/platform"
	"goldcrestshore/core/process/burn"
	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/version/configuration"
)

const now = 1000 * clock.Hour

// entryCounts returns the stored counts of one entry: good and bad requests of
// asistente, and requests of two other services.
func entryCounts(name string, good, bad int) platform.Object {
	var c burn.Counter
	for i := range good + bad {
		c.Count(now, "asistente", burn.FirstToken, i < good)
		c.Count(now, "loan-desk", burn.Answered, true)
		c.Count(now, "removed", burn.Answered, false)
	}
	return platform.NewObject(name, 1, c.Report(name, now).Encode())
}

// Guards against unintended changes of the report's format or totals.
// GOLDEN_UPDATE=1 rewrites the golden files.
func TestGolden(t *testing.T) {
	raw, err := os.ReadFile("../../../core/version/configuration/testdata/handcycles.jsonc")
	check.NoError(t, "read configuration", err)
	parsed, err := configuration.Parse(raw)
	check.NoError(t, "parse configuration", err)
	report := New(now, parsed, []platform.Object{entryCounts("e1", 70, 30), entryCounts("e2", 100, 0), platform.NewObject("x", 1, []byte("{"))})
	var table, jsonReport bytes.Buffer
	check.NoError(t, "text", report.WriteText(&table))
	check.NoError(t, "JSON", report.WriteJSON(&jsonReport))
	assertGolden(t, "testdata/report.txt", table.Bytes())
	assertGolden(t, "testdata/report.json", jsonReport.Bytes())
}

func assertGolden(t *testing.T, file string, got []byte) {
	t.Helper()
	if os.Getenv("GOLDEN_UPDATE") != "" {
		check.NoError(t, "write", os.WriteFile(file, got, 0o644))
	}
	want, err := os.ReadFile(file)
	check.NoError(t, "read", err)
	check.Equal(t, file, string(got), string(want))
}
