package platform

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"

	"goldcrestshore/core/process/check"
)

// newTestClient returns a client of a platform that handles each call with handler.
func newTestClient(t *testing.T, handler http.HandlerFunc) *Client {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return New(server.URL)
}

func respondWith(code int, header ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		for i := 0; i+1 < len(header); i += 2 {
			w.Header().Set(header[i], header[i+1])
		}
		w.WriteHeader(code)
	}
}

// Guards against a status that maps to the wrong error: a conflict reported as an
// outage would be retried, an outage reported as a conflict would lose a write.
func TestStatusErrors(t *testing.T) {
	rows := []struct {
		code int
		want error
	}{
		{404, ErrNotFound},
		{412, ErrConflict},
		{413, ErrTooLarge},
		{429, ErrUnavailable},
		{500, ErrUnavailable},
		{503, ErrUnavailable},
		{400, ErrUnexpectedResponse},
		{200, ErrUnexpectedResponse}, // a success without an ETag
	}
	for _, row := range rows {
		t.Run(strconv.Itoa(row.code), func(t *testing.T) {
			c := newTestClient(t, respondWith(row.code))
			_, err := c.Update(context.Background(), KindDuty, "x", 1, nil)
			check.Is(t, "update", err, row.want)
			_, err = c.Get(context.Background(), KindDuty, "x")
			check.Is(t, "get", err, row.want)
		})
	}
}

// Guards against a conflict error without the object's current version.
func TestConflictVersion(t *testing.T) {
	c := newTestClient(t, respondWith(412, "ETag", `"17"`))
	_, err := c.Create(context.Background(), KindDuty, "x", []byte("v"))
	var conflict *ConflictError
	check.Equal(t, "is a ConflictError", errors.As(err, &conflict), true)
	check.Equal(t, "current", conflict.Current(), uint64(17))
}

// Guards against a missing condition on a conditional write.
func TestConditionalWrites(t *testing.T) {
	var method, path, ifMatch, ifNoneMatch, requestBody string
	c := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
		raw, _ := io.ReadAll(r.Body)
		method, path, requestBody = r.Method, r.URL.EscapedPath(), string(raw)
		ifMatch, ifNoneMatch = r.Header.Get("If-Match"), r.Header.Get("If-None-Match")
		w.Header().Set("ETag", `"8"`)
	})
	ctx := context.Background()
	version, err := c.Update(ctx, KindDrainFlag, "datacentre.a/b", 7, []byte("v"))
	check.NoError(t, "update", err)
	check.Equal(t, "version", version, uint64(8))
	check.Equal(t, "call", method+" "+path+" "+requestBody, "PUT /objects/out/datacentre.a%2Fb v")
	check.Equal(t, "If-Match", ifMatch, `"7"`)
	_, err = c.Create(ctx, KindDrainFlag, "x", []byte("v"))
	check.NoError(t, "create", err)
	check.Equal(t, "If-None-Match", ifNoneMatch, "*")
	check.Equal(t, "If-Match of create", ifMatch, "")
	check.NoError(t, "delete", c.Delete(ctx, KindDrainFlag, "x", 9))
	check.Equal(t, "If-Match of delete", ifMatch, `"9"`)
	_, err = c.Put(ctx, KindStatus, "x", nil)
	check.NoError(t, "put", err)
	check.Equal(t, "conditions of put", ifMatch+ifNoneMatch, "")
}

// Guards against reporting success or failure for a write whose response is
// lost, and against the transport sending it a second time.
func TestLostResponse(t *testing.T) {
	var calls atomic.Int64
	c := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		_, _ = io.Copy(io.Discard, r.Body)
		panic(http.ErrAbortHandler)
	})
	_, err := c.Create(context.Background(), KindClaim, "x", []byte("v"))
	check.Is(t, "create", err, ErrUnavailable)
	check.Equal(t, "calls", calls.Load(), int64(1))
}

// Guards against a circuit breaker that refuses the calls of one duty after those
// of another failed.
func TestFailuresDoNotOpenBreaker(t *testing.T) {
	var calls atomic.Int64
	c := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	const callCount = 300
	for range callCount {
		_, err := c.Get(context.Background(), KindClaim, "x")
		check.Is(t, "get", err, ErrUnavailable)
	}
	check.Equal(t, "calls that arrived", calls.Load(), int64(callCount))
	check.Equal(t, "counted reads", c.Calls().Reads(), int64(callCount))
}

// Guards against a call that goes on after its context is cancelled.
func TestCancelledCall(t *testing.T) {
	entered := make(chan struct{})
	c := newTestClient(t, func(_ http.ResponseWriter, r *http.Request) {
		close(entered)
		<-r.Context().Done()
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-entered
		cancel()
	}()
	_, err := c.Watch(ctx, KindConfiguration, 0, 60_000)
	check.Is(t, "watch", err, ErrUnavailable)
	check.Is(t, "watch", err, context.Canceled)
}

// Guards against a call that blocks for good because the platform accepts it and
// never responds.
func TestTimeout(t *testing.T) {
	c := newTestClient(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	c.Timeout = 1
	_, err := c.Get(context.Background(), KindConfiguration, NameRoot)
	check.Is(t, "get", err, ErrUnavailable)
}

// Guards against values that are decoded wrongly, and against a deletion that is
// reported as an empty value.
func TestListAndWatch(t *testing.T) {
	var requestURL string
	c := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
		requestURL = r.URL.String()
		_, _ = io.WriteString(w, `{"items":[{"name":"a","version":3,"value":"AP8="},{"name":"b","version":5,"value":null,"deleted":true}],"version":6}`)
	})
	l, err := c.List(context.Background(), KindBurn, "e 1")
	check.NoError(t, "list", err)
	check.Equal(t, "url of list", requestURL, "/objects/burn?prefix=e+1")
	check.Equal(t, "version", l.Version(), uint64(6))
	check.Equal(t, "value", string(l.Objects()[0].Value()), "\x00\xff")
	check.Equal(t, "deleted", l.Objects()[1].Deleted(), true)
	_, err = c.Watch(context.Background(), KindBurn, 6, 1000)
	check.NoError(t, "watch", err)
	check.Equal(t, "url of watch", requestURL, "/watch/burn?after=6&timeoutMs=1000")
}

// Guards against a watch that loses its position when nothing changed.
func TestWatchWithoutChanges(t *testing.T) {
	c := newTestClient(t, respondWith(http.StatusNoContent))
	l, err := c.Watch(context.Background(), KindBurn, 6, 1000)
	check.NoError(t, "watch", err)
	check.Equal(t, "version", l.Version(), uint64(6))
	check.Equal(t, "objects", len(l.Objects()), 0)
}

// Guards against an instance that loses a field between registration and list.
func TestInstances(t *testing.T) {
	var stored []byte
	c := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPut {
			stored, _ = io.ReadAll(r.Body)
			return
		}
		_, _ = w.Write([]byte("[" + string(stored) + "]"))
	})
	want := NewInstance("agent-1", RoleAgent, "oviedo", "127.0.0.1:9").
		WithUpstream("127.0.0.1:8", "redactor").WithState(Draining)
	check.NoError(t, "register", c.Register(context.Background(), want))
	list, err := c.Instances(context.Background())
	check.NoError(t, "instances", err)
	check.Equal(t, "instances", len(list), 1)
	check.Equal(t, "instance", list[0], want)
}
