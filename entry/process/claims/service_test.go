package claims

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/connection/peer"
	"goldcrestshore/core/connection/platform"
	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/event"
	"goldcrestshore/core/request/outcome"
	"goldcrestshore/core/request/stored"
	"goldcrestshore/core/version/drainflag"
	"goldcrestshore/core/version/relay"
	"goldcrestshore/entry/request/claim"
)

// testTimeout stops a test that hangs. No test result depends on its length.
const testTimeout = 20 * time.Second

// objectStore is a fake implementation of the platform's object API.
type objectStore struct {
	mu      sync.Mutex
	down    bool
	version uint64
	values  map[string]claim.Object
}

func (o *objectStore) setDown(down bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.down = down
}

func (o *objectStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	name := strings.TrimPrefix(r.URL.Path, "/objects/claim/")
	switch {
	case r.Method == http.MethodPut:
		o.put(w, r, name)
	case r.URL.Path == "/objects/claim":
		o.list(w, r.URL.Query().Get("prefix"))
	case o.values[name].Version() == 0:
		w.WriteHeader(http.StatusNotFound)
	default:
		w.Header().Set("ETag", fmt.Sprintf(`"%d"`, o.values[name].Version()))
		_, _ = w.Write(o.values[name].Value())
	}
}

func (o *objectStore) put(w http.ResponseWriter, r *http.Request, name string) {
	want := ""
	if v := o.values[name].Version(); v != 0 {
		want = fmt.Sprintf(`"%d"`, v)
	}
	if r.Header.Get("If-Match") != want {
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	body, _ := io.ReadAll(r.Body)
	o.version++
	o.values[name] = claim.NewObject(name, o.version, body)
	w.Header().Set("ETag", fmt.Sprintf(`"%d"`, o.version))
}

func (o *objectStore) list(w http.ResponseWriter, prefix string) {
	type item struct {
		Name    string `json:"name"`
		Version uint64 `json:"version"`
		Value   []byte `json:"value"`
	}
	items := []item{}
	for name, x := range o.values {
		if strings.HasPrefix(name, prefix) {
			items = append(items, item{name, x.Version(), x.Value()})
		}
	}
	_ = json.NewEncoder(w).Encode(struct {
		Items   []item `json:"items"`
		Version uint64 `json:"version"`
	}{items, o.version})
}

// startCluster starts entries that share a platform and list each other as
// instances.
func startCluster(t *testing.T, names ...string) (*objectStore, []*Service) {
	t.Helper()
	store := &objectStore{values: map[string]claim.Object{}}
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	log, err := event.NewLog(io.Discard, "error", "entry", "test")
	check.NoError(t, "NewLog", err)
	var instances []platform.Instance
	var listeners []net.Listener
	for _, name := range names {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		check.NoError(t, "Listen", err)
		listeners = append(listeners, l)
		instances = append(instances, platform.NewInstance(name, platform.RoleEntry, "bilbao", l.Addr().String()))
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	t.Cleanup(func() { cancel(); running.Wait() })
	var services []*Service
	for i, name := range names {
		s := &Service{
			Platform:        platform.New(server.URL),
			Clock:           clock.System(),
			Log:             log,
			Self:            peer.NewIdentity(platform.RoleEntry, name, "bilbao"),
			Key:             []byte("shared key"),
			CurrentSnapshot: func() *relay.Snapshot { return relay.NewSnapshot(1, nil, drainflag.Set{}, instances) },
			Query: func(context.Context, string, string) (*frame.ClaimState, error) {
				return frame.NewClaimState("running", 1, 0, nil, nil), nil
			},
		}
		services = append(services, s)
		listener := &peer.Listener{Self: s.Self, Key: s.Key, Log: log, Serve: s.Serve}
		running.Go(func() { _ = s.Run(ctx) })
		running.Go(func() { _ = listener.Run(ctx, listeners[i]) })
	}
	return store, services
}

func openCall(s *Service, key string) *Call {
	return s.Open("customer", key, "POST", "/certificates", []byte("body"), s.Clock.Now()+10*clock.Second)
}

// requireStep returns the step as a T, or stops the test.
func requireStep[T Step](t *testing.T, got Step, err error) T {
	t.Helper()
	check.NoError(t, "step", err)
	want, ok := got.(T)
	if !ok {
		t.Fatalf("step: got %T, want %T", got, want)
	}
	return want
}

// TestKeyUsedThroughTwoEntries guards against a second grant for a key that is
// sent to two entries in turn, whichever of them owns its shard.
func TestKeyUsedThroughTwoEntries(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	_, services := startCluster(t, "e1", "e2")
	for i := range 2 * claim.Shards {
		key := fmt.Sprintf("key%d", i)
		first, second := services[i%2], services[(i+1)%2]
		c := openCall(first, key)
		got, err := c.Acquire(ctx, "u", 1)
		requireStep[Submit](t, got, err)
		c.Finished(stored.New(200, nil, []byte(key)))
		c.Close()
		again := openCall(second, key)
		got, err = again.Acquire(ctx, "u", 1)
		check.Equal(t, "response", string(requireStep[Stored](t, got, err).Response().Body()), key)
		again.Close()
	}
}

// TestPlatformDown guards against a blocked request or a wrong outcome while no
// idempotency record can be written, and against a service that does not recover
// after the outage.
func TestPlatformDown(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	store, services := startCluster(t, "e1")
	c := openCall(services[0], "before")
	got, err := c.Acquire(ctx, "u", 1)
	requireStep[Submit](t, got, err)
	store.setDown(true)
	during := openCall(services[0], "during")
	got, err = during.Acquire(ctx, "u", 1)
	refusal := requireStep[Refused](t, got, err).Refusal()
	check.Equal(t, "code", refusal.Code(), outcome.PlatformDown)
	again := openCall(services[0], "before")
	got, err = again.Abandoned(ctx, outcome.Refuse(outcome.Overloaded, outcome.NotRun, 0))
	check.Equal(t, "outcome of a granted key", requireStep[Refused](t, got, err).Refusal().Outcome(), outcome.Unknown)
	store.setDown(false)
	for ctx.Err() == nil {
		after := openCall(services[0], "after")
		got, err = after.Acquire(ctx, "u", 1)
		if _, granted := got.(Submit); granted {
			return
		}
		after.Close()
	}
	t.Errorf("after the outage: got %T and %v, want Submit", got, err)
}
