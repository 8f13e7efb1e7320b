package relay

import (
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"goldcrestshore/core/connection/peer"
	"goldcrestshore/core/connection/platform"
	"goldcrestshore/core/connection/platform/fake"
	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/event"
	"goldcrestshore/core/version/drainflag"
)

// node is one process of a test: a client with its listener.
type node struct {
	*Client
	instance platform.Instance
	stop     func()
}

// startNode starts a client and its listener, which run until stop is called.
func startNode(t *testing.T, name string, p *platform.Client, contacts ...string) *node {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check.NoError(t, "listen", err)
	log, err := event.NewLog(io.Discard, "error", "test", name)
	check.NoError(t, "log", err)
	address := l.Addr().String()
	c := &Client{
		Platform: p,
		Log:      log,
		Clock:    clock.System(),
		Self:     peer.NewIdentity(platform.RoleAgent, name, "x"),
		Address:  address,
		Key:      []byte("key"),
		Contacts: contacts,
	}
	ctx, cancel := context.WithCancel(context.Background())
	listener := &peer.Listener{Self: c.Self, Key: c.Key, Log: log, Serve: c.Serve}
	done := make(chan struct{}, 2)
	go func() { _ = c.Run(ctx); done <- struct{}{} }()
	go func() { _ = listener.Run(ctx, l); done <- struct{}{} }()
	stop := func() {
		cancel()
		<-done
		<-done
	}
	n := &node{c, platform.NewInstance(name, platform.RoleAgent, "x", address), stop}
	return n
}

// await blocks until the snapshot of the node meets the condition. It has no
// timeout of its own: a test that hangs here has failed.
func (n *node) await(condition func(*Snapshot) bool) *Snapshot {
	for {
		changed := n.Changed()
		if s := n.Current(); condition(s) {
			return s
		}
		<-changed
	}
}

func configJSON(model string) string {
	return fmt.Sprintf(`{"dataCentres":[],"services":[],"models":[{"name":"%s"}]}`, model)
}

func hasModel(model string) func(*Snapshot) bool {
	return func(s *Snapshot) bool { return s.Ready() && s.Configuration().Models()[0] == model }
}

// Guards against a change that relays fail to deliver: initial values and later
// changes of the configuration and the drain flags, and the instance list.
func TestChangesReachEveryProcess(t *testing.T) {
	f, p := fake.New(t)
	f.Set(platform.KindConfiguration, platform.NameRoot, configJSON("first"))
	var nodes []*node
	var list []platform.Instance
	for i := range 6 {
		n := startNode(t, fmt.Sprintf("n%d", i), p)
		defer n.stop()
		nodes, list = append(nodes, n), append(list, n.instance)
	}
	f.SetInstances(list...)
	for _, n := range nodes {
		n.await(hasModel("first"))
		n.await(func(s *Snapshot) bool { return len(s.Instances()) == 6 })
	}
	version := f.Set(platform.KindConfiguration, platform.NameRoot, configJSON("second"))
	f.Set(platform.KindDrainFlag, drainflag.DataCentre("x"), "")
	for _, n := range nodes {
		s := n.await(hasModel("second"))
		check.Equal(t, "version", s.ConfigurationVersion(), version)
		n.await(func(s *Snapshot) bool { return s.IsDrained("any", "x") })
	}
}

// changeTime is the time within which a configuration is in force everywhere.
const changeTime = 3 * time.Second

// Guards against a configuration that comes into force late because one response of the platform
// was lost: the watch was given up 4 s after it had begun, and repeated after a pause.
func TestLostResponseDelaysNoConfigurationBeyondItsBound(t *testing.T) {
	f, p := fake.New(t)
	f.Set(platform.KindConfiguration, platform.NameRoot, configJSON("first"))
	n := startNode(t, "n", p)
	defer n.stop()
	f.SetInstances(n.instance)
	n.await(hasModel("first"))
	n.await(func(s *Snapshot) bool { return len(s.Instances()) == 1 })
	f.LoseNextChange(platform.KindConfiguration)
	changed := time.Now()
	f.Set(platform.KindConfiguration, platform.NameRoot, configJSON("second"))
	n.await(hasModel("second"))
	check.AtMost(t, "time until the configuration was in force", float64(time.Since(changed)), float64(changeTime))
}

// Guards against a process that stays without a configuration while the platform
// is down although other processes hold it, and against a late reader of the
// platform that rolls back to an old version.
func TestStartWhilePlatformIsDown(t *testing.T) {
	f, p := fake.New(t)
	f.Set(platform.KindConfiguration, platform.NameRoot, configJSON("held"))
	a, b := startNode(t, "a", p), startNode(t, "b", p)
	defer a.stop()
	defer b.stop()
	a.await(hasModel("held"))
	b.await(hasModel("held"))
	f.SetDown(true)
	late := startNode(t, "c", p, a.Address, b.Address)
	defer late.stop()
	late.await(hasModel("held"))
}

// Guards against a subscriber that misses a change because it does not replace a
// terminated relay.
func TestSubscribersReplaceTerminatedRelays(t *testing.T) {
	f, p := fake.New(t)
	f.Set(platform.KindConfiguration, platform.NameRoot, configJSON("first"))
	var nodes []*node
	var list []platform.Instance
	for i := range 5 {
		n := startNode(t, fmt.Sprintf("n%d", i), p)
		nodes, list = append(nodes, n), append(list, n.instance)
	}
	f.SetInstances(list...)
	for _, n := range nodes {
		n.await(func(s *Snapshot) bool { return len(s.Instances()) == 5 })
	}
	chosen := tiersOf(list, "x").sources
	for i, n := range nodes {
		if n.instance.Name() == chosen[0] || n.instance.Name() == chosen[1] {
			n.stop()
			nodes[i] = nil
		}
	}
	f.Set(platform.KindConfiguration, platform.NameRoot, configJSON("second"))
	for _, n := range nodes {
		if n != nil {
			n.await(hasModel("second"))
			n.stop()
		}
	}
}
