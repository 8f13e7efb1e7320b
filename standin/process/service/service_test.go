package service

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"goldcrestshore/core/process/check"
)

func post(t *testing.T, h http.Handler, body string) (echo Echo, aborted bool) {
	t.Helper()
	defer func() { aborted = recover() != nil }()
	r := httptest.NewRequest("POST", "/loans/7", strings.NewReader(body))
	r.Header.Set("X-Request-Id", "id-"+body)
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	check.NoError(t, "decode", json.Unmarshal(w.Body.Bytes(), &echo))
	return echo, false
}

func TestEcho(t *testing.T) {
	ledger := NewLedger()
	s := New(Options{}, ledger)
	_, _ = post(t, s, "one")
	echo, _ := post(t, s, "two")
	check.Equal(t, "echo", echo, Echo{"POST", "/loans/7", Hash([]byte("two")), 2})
	check.Equal(t, "recorded", ledger.Executions()[1], Execution{"id-two", echo})
}

// Guards against faults that contradict the ledger: a dropped request must not be
// recorded, a call with a dropped response must be.
func TestFaults(t *testing.T) {
	ledger := NewLedger()
	s := New(Options{CrashMarker: "poison"}, ledger)
	steps := []struct {
		name, body string
		fault      Fault
		aborted    bool
		executions int
	}{
		{"request dropped", "a", Fault{DropRequests: 1}, true, 0},
		{"response dropped", "b", Fault{DropResponses: 1}, true, 1},
		{"no fault", "c", Fault{}, false, 2},
		{"crash", "with poison", Fault{}, true, 3},
		{"after the crash", "d", Fault{}, true, 3},
	}
	for _, step := range steps {
		s.SetFault(step.fault)
		_, aborted := post(t, s, step.body)
		check.Equal(t, step.name+" aborted", aborted, step.aborted)
		check.Equal(t, step.name+" executions", len(ledger.Executions()), step.executions)
	}
}

// Guards against a ledger that loses executions when the process is killed in the
// middle of a write.
func TestLedgerFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "ledger")
	l, err := OpenLedger(path)
	check.NoError(t, "open", err)
	_, err = l.Record("one", Echo{Method: "POST"})
	check.NoError(t, "record", err)
	_, err = l.file.WriteString(`{"requestId":"to`)
	check.NoError(t, "write an incomplete line", err)

	l, err = OpenLedger(path)
	check.NoError(t, "open again", err)
	n, err := l.Record("two", Echo{Method: "POST"})
	check.NoError(t, "record", err)
	check.Equal(t, "ordinal", n, 2)
	raw, err := os.ReadFile(path)
	check.NoError(t, "read", err)
	check.Equal(t, "lines", strings.Count(string(raw), "\n"), 2)
}
