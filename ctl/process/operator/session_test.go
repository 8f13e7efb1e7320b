package operator

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"goldcrestshore/core/process/check"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// writeID matches the random ID by which apply recognizes its own write.
var writeID = regexp.MustCompile(`[0-9a-f]{16,}`)

// session records the commands of operators and their output.
type session struct{ record strings.Builder }

func (s *session) run(name string, d *workspace, line string) {
	code := d.run(line)
	fmt.Fprintf(&s.record, "%s$ goldcrestctl %s\n", name, strings.ReplaceAll(line, " ONLINE", ""))
	for _, printed := range []string{d.out.String(), d.err.String()} {
		printed = strings.ReplaceAll(printed, d.path("services.jsonc"), "FILE")
		printed = strings.ReplaceAll(printed, d.address, "ADDRESS")
		s.record.WriteString(writeID.ReplaceAllString(printed, "ID"))
	}
	fmt.Fprintf(&s.record, "[exit %d]\n\n", code)
}

func (s *session) compare(t *testing.T, name string) {
	t.Helper()
	path := filepath.Join("testdata", name+".golden")
	if *update {
		check.NoError(t, "WriteFile", os.WriteFile(path, []byte(s.record.String()), 0o644))
	}
	want, err := os.ReadFile(path)
	check.NoError(t, "ReadFile", err)
	check.Equal(t, name, s.record.String(), string(want))
}

// Guards against an apply that silently overwrites the change of another operator.
func TestSessionConcurrentOperators(t *testing.T) {
	first := newWorkspace(t)
	second := first.newOperator()
	var s session
	first.save("services.jsonc", sampleConfiguration("95"))
	s.run("first", first, "apply ONLINE FILE")
	s.run("second", second, "get ONLINE FILE")
	first.save("services.jsonc", sampleConfiguration("96"))
	s.run("first", first, "diff ONLINE FILE")
	s.run("first", first, "apply ONLINE FILE")
	second.save("services.jsonc", sampleConfiguration("99"))
	s.run("second", second, "apply ONLINE FILE")
	s.run("second", second, "get ONLINE FILE")
	second.save("services.jsonc", sampleConfiguration("99"))
	s.run("second", second, "apply ONLINE FILE")
	s.compare(t, "racing")
}

// Guards against out and in commands that print nothing or fail when repeated.
func TestSessionDataCentreOutAndIn(t *testing.T) {
	d := newWorkspace(t)
	var s session
	d.save("services.jsonc", sampleConfiguration("95"))
	s.run("operator", d, "apply ONLINE FILE")
	s.run("operator", d, "datacentre out ONLINE oviedo")
	s.run("operator", d, "datacentre out ONLINE oviedo")
	s.run("operator", d, "datacentre out ONLINE nowhere")
	s.run("operator", d, "datacentre in ONLINE oviedo")
	s.run("operator", d, "datacentre in ONLINE oviedo")
	s.compare(t, "datacentre")
}
