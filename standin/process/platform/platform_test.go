package platform

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/clock"
)

func call(t *testing.T, h http.Handler, method, path, body string, header ...string) *httptest.ResponseRecorder {
	t.Helper()
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

// Guards against a write that ignores its precondition, which would let two
// processes acquire the same duty.
func TestConditionalWrites(t *testing.T) {
	p := New(clock.NewManual(0))
	steps := []struct {
		name, method, path, body, header, value string
		code                                    int
		etag                                    string
	}{
		{"absent", "GET", "/objects/duty/a", "", "", "", 404, ""},
		{"create", "PUT", "/objects/duty/a", "one", "If-None-Match", "*", 204, `"1"`},
		{"create again", "PUT", "/objects/duty/a", "two", "If-None-Match", "*", 412, `"1"`},
		{"stale update", "PUT", "/objects/duty/a", "two", "If-Match", `"9"`, 412, `"1"`},
		{"update", "PUT", "/objects/duty/a", "two", "If-Match", `"1"`, 204, `"2"`},
		{"read", "GET", "/objects/duty/a", "", "", "", 200, `"2"`},
		{"malformed match", "PUT", "/objects/duty/a", "x", "If-Match", `"x"`, 400, ""},
		{"stale delete", "DELETE", "/objects/duty/a", "", "If-Match", `"1"`, 412, `"2"`},
		{"delete", "DELETE", "/objects/duty/a", "", "If-Match", `"2"`, 204, `"3"`},
		{"update of deleted", "PUT", "/objects/duty/a", "x", "If-Match", `"3"`, 412, ""},
		{"create after delete", "PUT", "/objects/duty/a", "x", "If-None-Match", "*", 204, `"4"`},
		{"too large", "PUT", "/objects/duty/a", strings.Repeat("x", maxValueBytes+1), "", "", 413, ""},
	}
	for _, s := range steps {
		w := call(t, p, s.method, s.path, s.body, s.header, s.value)
		check.Equal(t, s.name+" status", w.Code, s.code)
		check.Equal(t, s.name+" ETag", w.Header().Get("ETag"), s.etag)
	}
	check.Equal(t, "writes", p.Calls().Writes, 10)
	check.Equal(t, "reads", p.Calls().Reads, 2)
}

func TestListAndWatch(t *testing.T) {
	p := New(clock.NewManual(0))
	call(t, p, "PUT", "/objects/out/instance.b", "x")
	call(t, p, "PUT", "/objects/out/datacentre.a", "y")
	call(t, p, "PUT", "/objects/duty/other", "z")
	var got page
	w := call(t, p, "GET", "/objects/out?prefix=datacentre.", "")
	check.NoError(t, "decode", json.Unmarshal(w.Body.Bytes(), &got))
	check.Equal(t, "items with prefix", len(got.Items), 1)
	check.Equal(t, "value", string(got.Items[0].Value), "y")
	check.Equal(t, "version", got.Version, 3)

	w = call(t, p, "GET", "/watch/out?after=1&timeoutMs=0", "")
	check.NoError(t, "decode", json.Unmarshal(w.Body.Bytes(), &got))
	check.Equal(t, "changed item", got.Items[0].Name, "datacentre.a")
	check.Equal(t, "no change", call(t, p, "GET", "/watch/out?after=3&timeoutMs=0", "").Code, 204)

	done := make(chan *httptest.ResponseRecorder)
	go func() { done <- call(t, p, "GET", "/watch/out?after=3&timeoutMs=60000", "") }()
	call(t, p, "DELETE", "/objects/out/datacentre.a", "")
	w = <-done
	check.NoError(t, "decode", json.Unmarshal(w.Body.Bytes(), &got))
	check.Equal(t, "watch reports deletion", got.Items[0].Deleted, true)
}

func TestInstanceListLags(t *testing.T) {
	c := clock.NewManual(1000)
	p := New(c)
	p.SetFault(Fault{ListLagMs: 500})
	call(t, p, "PUT", "/instances/a", `{"role":"entry","state":"live"}`)
	list := func() string { return strings.TrimSpace(call(t, p, "GET", "/instances", "").Body.String()) }
	check.Equal(t, "before the lag", list(), "[]")
	c.Advance(500)
	check.Equal(t, "after the lag", strings.Contains(list(), `"state":"live"`), true)
	call(t, p, "DELETE", "/instances/a", "")
	check.Equal(t, "removed but lagging", strings.Contains(list(), `"name":"a"`), true)
	c.Advance(500)
	check.Equal(t, "removed", list(), "[]")
}

// Guards against a dropped response that also loses the write: processes must
// tolerate writes that took effect although no response arrived.
func TestFaults(t *testing.T) {
	p := New(clock.NewManual(0))
	check.Equal(t, "set", call(t, p, "PUT", "/fault", `{"loseAnswers":1}`).Code, 204)
	func() {
		defer func() { check.Equal(t, "aborted", recover(), any(http.ErrAbortHandler)) }()
		call(t, p, "PUT", "/objects/claim/a", "x")
	}()
	check.Equal(t, "write took effect", call(t, p, "GET", "/objects/claim/a", "").Code, 200)
	check.Equal(t, "next response arrives", call(t, p, "PUT", "/objects/claim/b", "x").Code, 204)
	p.SetFault(Fault{Down: true})
	check.Equal(t, "down", call(t, p, "GET", "/objects/claim/a", "").Code, 503)
}
