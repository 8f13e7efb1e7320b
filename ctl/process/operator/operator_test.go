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
	"goldcrestshore/core/version/mark"
)

// workspace is what one operator works with: a folder and a platform.
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

// another returns another operator at the same platform.
func (d *workspace) another() *workspace {
	return &workspace{t: d.t, folder: d.t.TempDir(), fake: d.fake, address: d.address}
}

func (d *workspace) path(file string) string { return filepath.Join(d.folder, file) }

func (d *workspace) save(file, content string) {
	d.t.Helper()
	check.NoError(d.t, "save", os.WriteFile(d.path(file), []byte(content), 0o600))
}

// run carries out a command line in which FILE stands for services.jsonc and a
// command that calls the platform gets its address.
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

func (d *workspace) assertPrinted(want ...string) {
	d.t.Helper()
	printed := d.out.String() + d.err.String()
	for _, w := range want {
		if !strings.Contains(printed, w) {
			d.t.Errorf("output: got %q, want %q in it", printed, w)
		}
	}
}

// content is a text with one service in the data centre oviedo.
func content(percent string) string {
	return `{
  // The only data centre.
  "dataCentres": [{"name": "oviedo", "region": "norte-es"}],
  "services": [{"name": "redactor", "kind": "model",
    "objective": {"firstTokenMs": 1300, "percent": ` + percent + `}}],
}
`
}

// Guards against a fault that reaches the platform, and a message that does not
// name the place.
func TestCheck(t *testing.T) {
	d := newWorkspace(t)
	d.save("services.jsonc", content("95"))
	d.assertRun("check FILE", exitDone)
	d.assertPrinted("1 services")
	d.save("services.jsonc", content("950"))
	d.assertRun("check FILE", exitRefused)
	d.assertPrinted("line 5, column 52")
	d.assertRun("apply ONLINE -base 0 FILE", exitRefused)
	check.Equal(t, "stored", d.fake.Value(platform.KindConfiguration, platform.NameRoot), "")
	d.save("services.jsonc", content("95")+strings.Repeat(" ", 900<<10-len(content("95"))))
	d.assertRun("check FILE", exitRefused)
	d.assertPrinted("too large")
}

// Guards against exit codes that scripts cannot rely on.
func TestCommandLine(t *testing.T) {
	d := newWorkspace(t)
	d.assertRun("", exitUsage)
	d.assertRun("colour", exitUsage)
	d.assertRun("check", exitUsage)
	d.assertRun("apply FILE", exitUsage)
	d.assertRun("datacentre oviedo", exitUsage)
	d.assertRun("check FILE", exitFailed)
	t.Setenv("GOLDCREST_PLATFORM", "127.0.0.1:1")
	d.assertRun("ONLINE status", exitDone)
	d.assertRun("--help", exitDone)
	d.assertPrinted("goldcrestctl apply services.jsonc")
	for _, command := range []string{"check", "get", "diff", "apply", "datacentre", "datacentre out", "instance in", "status", "report burn"} {
		d.assertRun(command+" --help", exitDone)
		d.assertPrinted("xample", "goldcrestctl "+command)
	}
}

// Guards against one operator's change that silently removes another's.
func TestRacingOperators(t *testing.T) {
	first := newWorkspace(t)
	first.save("services.jsonc", content("95"))
	first.assertRun("apply ONLINE FILE", exitDone)
	second := first.another()
	second.save("services.jsonc", content("94"))
	second.assertRun("apply ONLINE FILE", exitUsage)
	second.assertPrinted("run get first")
	second.assertRun("get ONLINE FILE", exitDone)
	second.assertRun("diff ONLINE FILE", exitDone)
	first.save("services.jsonc", content("96"))
	second.save("services.jsonc", content("97"))
	first.assertRun("diff ONLINE FILE", exitDiffers)
	first.assertPrinted(`-    "objective": {"firstTokenMs": 1300, "percent": 95}`, `+    "objective": {"firstTokenMs": 1300, "percent": 96}`)
	first.assertRun("apply ONLINE FILE", exitDone)
	second.assertRun("apply ONLINE FILE", exitConflict)
	second.assertPrinted(`"percent": 96`, `"percent": 97`)
	second.assertRun("apply ONLINE -base 0 FILE", exitConflict)
	second.assertRun("get ONLINE FILE", exitDone)
	got, err := os.ReadFile(second.path("services.jsonc"))
	check.NoError(t, "read", err)
	check.Equal(t, "text", string(got), content("96"))
	second.save("services.jsonc", content("97"))
	second.assertRun("apply ONLINE FILE", exitDone)
	second.assertRun("apply ONLINE FILE", exitDone)
}

// Guards against a wrong verdict on a write whose answer was lost.
func TestLostAnswer(t *testing.T) {
	d := newWorkspace(t)
	d.save("services.jsonc", content("95"))
	d.fake.DropWriteResponses(1)
	d.assertRun("apply ONLINE -base 0 FILE", exitDone)
	d.save("services.jsonc", content("96"))
	d.fake.DropWriteResponses(1)
	d.assertRun("apply ONLINE FILE", exitDone)
	d.assertPrinted("version 2")
	d.fake.DropWriteResponses(1)
	d.assertRun("datacentre out ONLINE oviedo", exitDone)
	d.fake.DropWriteResponses(1)
	d.assertRun("datacentre in ONLINE oviedo", exitDone)
}

// Guards against a wrong verdict on each state that a read back can find.
func TestSettle(t *testing.T) {
	d := newWorkspace(t)
	w := write{file: d.path("f"), base: 4, id: "own", raw: []byte("new\n")}
	rows := []struct {
		name string
		ids  stamp
		lost bool
		want int
	}{
		{"took effect", stamp{"own", "x"}, true, exitDone},
		{"took effect although a repeat met it", stamp{"own"}, false, exitDone},
		{"overwritten since", stamp{"later", "own", "x"}, true, exitOverwritten},
		{"came too late", stamp{"other", "x"}, true, exitNotApplied},
		{"conflict", stamp{"other"}, false, exitConflict},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			tool := &tool{out: &d.out}
			err := tool.settle(w, inForce{9, []byte("other\n"), row.ids}, row.lost)
			check.Equal(t, "exit code", exitCode(err), row.want)
		})
	}
}

// Guards against a claim about a write while the platform is down.
func TestPlatformDown(t *testing.T) {
	d := newWorkspace(t)
	d.save("services.jsonc", content("95"))
	d.fake.SetDown(true)
	d.assertRun("apply ONLINE -timeout 300 -base 0 FILE", exitUnavailable)
	d.assertRun("datacentre out ONLINE -timeout 300 oviedo", exitUnavailable)
	d.assertRun("ONLINE -timeout 300 status", exitUnavailable)
	d.fake.SetDown(false)
	check.Equal(t, "stored", d.fake.Value(platform.KindConfiguration, platform.NameRoot), "")
}

// Guards against a stamp that is lost, grows, or swallows an operator's comment.
func TestStamp(t *testing.T) {
	var s stamp
	raw := []byte("{}\n// goldcrestctl writes: an operator's own comment\n{}")
	for i := range 40 {
		got, ids := split(s.joined(raw, string(rune('a'+i%26))))
		check.Equal(t, "text", string(got), string(raw))
		s = ids
	}
	check.Equal(t, "ids kept", len(s), idsKept)
	check.Equal(t, "latest", s.last("n"), true)
	_, none := split(raw)
	check.Equal(t, "ids of an unstamped text", len(none), 0)
}

// Guards against marks on names that nothing has, and against a second out or in
// that fails.
func TestMarks(t *testing.T) {
	d := newWorkspace(t)
	d.save("services.jsonc", content("95"))
	d.assertRun("apply ONLINE -base 0 FILE", exitDone)
	d.fake.SetInstances(platform.NewInstance("e1", platform.RoleEntry, "oviedo", "127.0.0.1:1"))
	d.assertRun("datacentre out ONLINE ovideo", exitRefused)
	d.assertRun("instance out ONLINE e2", exitRefused)
	for range 2 {
		d.assertRun("datacentre out ONLINE oviedo", exitDone)
		d.assertRun("instance out ONLINE e1", exitDone)
	}
	check.Equal(t, "mark", d.fake.Value(platform.KindDrainFlag, mark.DataCentre("oviedo")), "{}")
	check.Equal(t, "mark", d.fake.Value(platform.KindDrainFlag, mark.Instance("e1")), "{}")
	for range 2 {
		d.assertRun("datacentre in ONLINE oviedo", exitDone)
		d.assertRun("instance in ONLINE e1", exitDone)
	}
	check.Equal(t, "mark", d.fake.Value(platform.KindDrainFlag, mark.DataCentre("oviedo")), "")
}

// Guards against a status that counts a process twice, trusts a dead relay or
// adds capacity that is out of service.
func TestStatus(t *testing.T) {
	d := newWorkspace(t)
	d.save("services.jsonc", content("95"))
	d.assertRun("apply ONLINE -base 0 FILE", exitDone)
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
	d.fake.Set(platform.KindDrainFlag, mark.Instance("a3"), "{}")
	d.fake.Set(platform.KindDuty, "claim.0", string(duty.NewRecord("e1", 5).Encode()))
	d.assertRun("status ONLINE", exitDone)
	printed := strings.Join(strings.Fields(d.out.String()), " ")
	for _, want := range []string{
		"version in force: 1", "held by: 3 of 4 processes version 1", "held by: 1 of 4 processes version 0",
		"out of service: instance.a3", "redactor 3 1 5 10 1", "relay a1 -", "relay e1 -", "claim.0 e1 ",
	} {
		check.Equal(t, "status has "+want, strings.Contains(printed, want), true)
	}
	check.Equal(t, "status has a dead relay", strings.Contains(printed, "dead"), false)
}
