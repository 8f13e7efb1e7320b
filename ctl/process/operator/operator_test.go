package operator

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"goldcrestshore/core/connection/platform"
	"goldcrestshore/core/connection/platform/fake"
	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/duty"
	"goldcrestshore/core/process/status"
	"goldcrestshore/core/version/drainflag"
)

// workspace is the environment of one operator: a folder and a platform.
type workspace struct {
	t        *testing.T
	folder   string
	fake     *fake.Platform
	address  string
	out, err bytes.Buffer
}

func newWorkspace(t *testing.T) *workspace {
	t.Helper()
	f, _ := fake.New(t)
	return &workspace{t: t, folder: t.TempDir(), fake: f, address: f.Address()}
}

// newOperator returns the workspace of another operator of the same platform.
func (d *workspace) newOperator() *workspace {
	return &workspace{t: d.t, folder: d.t.TempDir(), fake: d.fake, address: d.address}
}

func (d *workspace) path(file string) string { return filepath.Join(d.folder, file) }

func (d *workspace) save(file, content string) {
	d.t.Helper()
	check.NoError(d.t, "save", os.WriteFile(d.path(file), []byte(content), 0o600))
}

// run executes a command line in which FILE stands for the path of services.jsonc
// and ONLINE for the -platform flag.
func (d *workspace) run(line string) int {
	d.out.Reset()
	d.err.Reset()
	args := strings.Fields(strings.ReplaceAll(line, "FILE", d.path("services.jsonc")))
	for i, a := range args {
		if a == "ONLINE" {
			args = append(args[:i], append([]string{"-platform", d.address}, args[i+1:]...)...)
			break
		}
	}
	return Run(context.Background(), args, &d.out, &d.err)
}

func (d *workspace) assertRun(line string, want int) {
	d.t.Helper()
	if got := d.run(line); got != want {
		d.t.Errorf("%s: got exit code %d, want %d\n%s%s", line, got, want, d.out.String(), d.err.String())
	}
}

func (d *workspace) assertOutput(want ...string) {
	d.t.Helper()
	printed := d.out.String() + d.err.String()
	for _, w := range want {
		if !strings.Contains(printed, w) {
			d.t.Errorf("output: got %q, want %q in it", printed, w)
		}
	}
}

// sampleConfiguration returns a configuration with one service in the data centre
// oviedo.
func sampleConfiguration(percent string) string {
	return `{
  // The only data centre.
  "dataCentres": [{"name": "oviedo", "region": "norte-es"}],
  "services": [{"name": "redactor", "kind": "model",
    "objective": {"firstTokenMs": 1300, "percent": ` + percent + `}}],
}
`
}

// Guards against an invalid configuration that reaches the platform, and an error
// message without line and column.
func TestCheck(t *testing.T) {
	d := newWorkspace(t)
	d.save("services.jsonc", sampleConfiguration("95"))
	d.assertRun("check FILE", exitOK)
	d.assertOutput("1 services")
	d.save("services.jsonc", sampleConfiguration("950"))
	d.assertRun("check FILE", exitInvalid)
	d.assertOutput("line 5, column 52")
	d.assertRun("apply ONLINE -base 0 FILE", exitInvalid)
	check.Equal(t, "stored", d.fake.Value(platform.KindConfiguration, platform.NameRoot), "")
	d.save("services.jsonc", sampleConfiguration("95")+strings.Repeat(" ", 900<<10-len(sampleConfiguration("95"))))
	d.assertRun("check FILE", exitInvalid)
	d.assertOutput("too large")
}

// Guards against wrong exit codes, which operators' scripts rely on, and help texts
// without an example.
func TestCommandLine(t *testing.T) {
	d := newWorkspace(t)
	d.assertRun("", exitUsage)
	d.assertRun("colour", exitUsage)
	d.assertRun("check", exitUsage)
	d.assertRun("apply FILE", exitUsage)
	d.assertRun("datacentre oviedo", exitUsage)
	d.assertRun("check FILE", exitError)
	t.Setenv("GOLDCREST_PLATFORM", "127.0.0.1:1")
	d.assertRun("ONLINE status", exitOK)
	d.assertRun("--help", exitOK)
	d.assertOutput("goldcrestctl apply services.jsonc")
	for _, command := range []string{"check", "get", "diff", "apply", "datacentre", "datacentre out", "instance in", "status", "report burn"} {
		d.assertRun(command+" --help", exitOK)
		d.assertOutput("xample", "goldcrestctl "+command)
	}
}

// Guards against an apply that silently overwrites the change of another operator.
func TestConcurrentOperators(t *testing.T) {
	first := newWorkspace(t)
	first.save("services.jsonc", sampleConfiguration("95"))
	first.assertRun("apply ONLINE FILE", exitOK)
	second := first.newOperator()
	second.save("services.jsonc", sampleConfiguration("94"))
	second.assertRun("apply ONLINE FILE", exitUsage)
	second.assertOutput("run get first")
	second.assertRun("get ONLINE FILE", exitOK)
	second.assertRun("diff ONLINE FILE", exitOK)
	first.save("services.jsonc", sampleConfiguration("96"))
	second.save("services.jsonc", sampleConfiguration("97"))
	first.assertRun("diff ONLINE FILE", exitDiffers)
	first.assertOutput(`-    "objective": {"firstTokenMs": 1300, "percent": 95}`, `+    "objective": {"firstTokenMs": 1300, "percent": 96}`)
	first.assertRun("apply ONLINE FILE", exitOK)
	second.assertRun("apply ONLINE FILE", exitConflict)
	second.assertOutput(`"percent": 96`, `"percent": 97`)
	second.assertRun("apply ONLINE -base 0 FILE", exitConflict)
	second.assertRun("get ONLINE FILE", exitOK)
	got, err := os.ReadFile(second.path("services.jsonc"))
	check.NoError(t, "read", err)
	check.Equal(t, "configuration", string(got), sampleConfiguration("96"))
	second.save("services.jsonc", sampleConfiguration("97"))
	second.assertRun("apply ONLINE FILE", exitOK)
	second.assertRun("apply ONLINE FILE", exitOK)
}

// Guards against a wrong outcome reported for a write whose response was lost.
func TestLostResponse(t *testing.T) {
	d := newWorkspace(t)
	d.save("services.jsonc", sampleConfiguration("95"))
	d.fake.DropWriteResponses(1)
	d.assertRun("apply ONLINE -base 0 FILE", exitOK)
	d.save("services.jsonc", sampleConfiguration("96"))
	d.fake.DropWriteResponses(1)
	d.assertRun("apply ONLINE FILE", exitOK)
	d.assertOutput("version 2")
	d.fake.DropWriteResponses(1)
	d.assertRun("datacentre out ONLINE oviedo", exitOK)
	d.fake.DropWriteResponses(1)
	d.assertRun("datacentre in ONLINE oviedo", exitOK)
}

// Guards against a wrong exit code for any configuration that a read back can find.
func TestResolveOutcome(t *testing.T) {
	d := newWorkspace(t)
	w := write{file: d.path("f"), base: 4, id: "own", raw: []byte("new\n")}
	rows := []struct {
		name         string
		history      writeHistory
		maybeApplied bool
		want         int
	}{
		{"took effect", writeHistory{"own", "x"}, true, exitOK},
		{"took effect and a retry got a conflict", writeHistory{"own"}, false, exitOK},
		{"overwritten after it took effect", writeHistory{"later", "own", "x"}, true, exitOverwritten},
		{"another write replaced the base first", writeHistory{"other", "x"}, true, exitNotApplied},
		{"conflict", writeHistory{"other"}, false, exitConflict},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			tool := &tool{out: &d.out}
			err := tool.resolveOutcome(w, activeConfiguration{9, []byte("other\n"), row.history}, row.maybeApplied)
			check.Equal(t, "exit code", exitCode(err), row.want)
		})
	}
}

// Guards against reporting an outcome of a write while the platform is down.
func TestPlatformUnavailable(t *testing.T) {
	d := newWorkspace(t)
	d.save("services.jsonc", sampleConfiguration("95"))
	d.fake.SetDown(true)
	d.assertRun("apply ONLINE -timeout 300 -base 0 FILE", exitUnavailable)
	d.assertRun("datacentre out ONLINE -timeout 300 oviedo", exitUnavailable)
	d.assertRun("ONLINE -timeout 300 status", exitUnavailable)
	d.fake.SetDown(false)
	check.Equal(t, "stored", d.fake.Value(platform.KindConfiguration, platform.NameRoot), "")
}

// Guards against a write history that is lost, grows without bound, or removes an
// operator's comment.
func TestWriteHistory(t *testing.T) {
	var history writeHistory
	raw := []byte("{}\n// goldcrestctl writes: an operator's own comment\n{}")
	for i := range 40 {
		got, ids := splitHistory(history.appendTo(raw, string(rune('a'+i%26))))
		check.Equal(t, "configuration", string(got), string(raw))
		history = ids
	}
	check.Equal(t, "number of IDs", len(history), maxWriteIDs)
	check.Equal(t, "latest", history.isLatest("n"), true)
	_, none := splitHistory(raw)
	check.Equal(t, "IDs in a configuration without history", len(none), 0)
}

// Guards against drain flags on unknown names, and against a repeated out or in
// that fails.
func TestDrainFlags(t *testing.T) {
	d := newWorkspace(t)
	d.save("services.jsonc", sampleConfiguration("95"))
	d.assertRun("apply ONLINE -base 0 FILE", exitOK)
	d.fake.SetInstances(platform.NewInstance("e1", platform.RoleEntry, "oviedo", "127.0.0.1:1"))
	d.assertRun("datacentre out ONLINE ovideo", exitInvalid)
	d.assertRun("instance out ONLINE e2", exitInvalid)
	for range 2 {
		d.assertRun("datacentre out ONLINE oviedo", exitOK)
		d.assertRun("instance out ONLINE e1", exitOK)
	}
	check.Equal(t, "drain flag", d.fake.Value(platform.KindDrainFlag, drainflag.DataCentre("oviedo")), "{}")
	check.Equal(t, "drain flag", d.fake.Value(platform.KindDrainFlag, drainflag.Instance("e1")), "{}")
	for range 2 {
		d.assertRun("datacentre in ONLINE oviedo", exitOK)
		d.assertRun("instance in ONLINE e1", exitOK)
	}
	check.Equal(t, "drain flag", d.fake.Value(platform.KindDrainFlag, drainflag.DataCentre("oviedo")), "")
}

// Guards against a status that counts a process twice, includes the report of a
// terminated relay, or counts capacity that is out of service.
func TestStatus(t *testing.T) {
	d := newWorkspace(t)
	d.save("services.jsonc", sampleConfiguration("95"))
	d.assertRun("apply ONLINE -base 0 FILE", exitOK)
	var list []platform.Instance
	for _, name := range []string{"a1", "a2", "a3", "e1"} {
		list = append(list, platform.NewInstance(name, platform.RoleAgent, "oviedo", name))
	}
	d.fake.SetInstances(list...)
	const now = 100 * clock.Second
	report := func(relay string, at clock.Millis, processes ...status.Process) {
		d.fake.Set(platform.KindStatus, status.Name(relay), string(status.NewReport(relay, at, processes).Encode()))
	}
	load := func(held, limit int, cold bool) status.Load {
		return status.NewLoad("redactor", held, limit, cold, false)
	}
	report("e1", now, status.NewProcess("a1", 1, load(3, 8, false)), status.NewProcess("e1", 1, status.Load{}))
	report("a1", now-1, status.NewProcess("a1", 0, load(9, 9, false)), status.NewProcess("a2", 0, load(1, 2, true)), status.NewProcess("a3", 1, load(1, 50, false)))
	report("dead", now-maxReportAge-1, status.NewProcess("gone", 1, load(1, 1, false)))
	d.fake.Set(platform.KindDrainFlag, drainflag.Instance("a3"), "{}")
	d.fake.Set(platform.KindDuty, "claim.0", string(duty.NewRecord("e1", 5).Encode()))
	d.assertRun("status ONLINE", exitOK)
	printed := strings.Join(strings.Fields(d.out.String()), " ")
	for _, want := range []string{
		"version in force: 1", "held by: 3 of 4 processes version 1", "held by: 1 of 4 processes version 0",
		"out of service: instance.a3", "redactor 3 1 5 10 1", "relay a1 -", "relay e1 -", "claim.0 e1 ",
	} {
		check.Equal(t, "status has "+want, strings.Contains(printed, want), true)
	}
	check.Equal(t, "status has a terminated relay", strings.Contains(printed, "dead"), false)
}
