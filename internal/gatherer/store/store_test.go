package store

import (
	"errors"
	"io"
	"net"
	"strings"
	"testing"
)

// testMember is a member with its configuration and the changes that it reported.
type testMember struct {
	*Store
	Config
	changes chan map[string]string
}

// openMember starts a member that reports its changes to a channel.
func openMember(t *testing.T, c Config) *testMember {
	t.Helper()
	m := &testMember{Config: c, changes: make(chan map[string]string, 100)}
	m.OnChange = func(v map[string]string) { m.changes <- v }
	var err error
	if m.Store, err = Open(m.Config); err != nil {
		t.Fatal(err)
	}
	return m
}

// waitForValue waits for a change after which a key has a value.
func (m *testMember) waitForValue(key, value string) {
	for v := range m.changes {
		if v[key] == value {
			return
		}
	}
}

// Changes reach all three members. A follower names the leader, and after a restart it has both the changes from before and
// those that it missed.
func TestReplicationAndRestart(t *testing.T) {
	var nodes []Node
	var listeners []net.Listener
	for _, name := range []string{"n1", "n2", "n3"} {
		// No other test listens on this address, so none takes the port of the restarting member while it is closed.
		l, err := net.Listen("tcp", "127.77.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners = append(listeners, l)
		nodes = append(nodes, Node{name, l.Addr().String(), "operations-of-" + name})
	}
	var all []*testMember
	for i, n := range nodes {
		all = append(all, openMember(t, Config{Name: n.Name, Dir: t.TempDir(), Nodes: nodes, Log: io.Discard, Listener: listeners[i]}))
	}
	leader := 0
	select {
	case <-all[0].LeaderCh():
	case <-all[1].LeaderCh():
		leader = 1
	case <-all[2].LeaderCh():
		leader = 2
	}
	if err := all[leader].Set("drain/n1", "on"); err != nil {
		t.Fatal(err)
	}
	for _, m := range all {
		m.waitForValue("drain/n1", "on")
	}
	follower := all[(leader+1)%3]
	var notLeader *NotLeaderError
	if err := follower.Set("drain/n2", "on"); !errors.As(err, &notLeader) || notLeader.Operations != nodes[leader].Operations {
		t.Errorf("change at a follower: %v, want a NotLeaderError with the address of the leader", err)
	}
	if err := follower.Close(); err != nil {
		t.Fatal(err)
	}
	if err := all[leader].Set("drain/n2", "on"); err != nil { // two of three members are a majority
		t.Fatal(err)
	}
	follower.Listener = nil // the first one is closed; Open listens at the address again
	follower = openMember(t, follower.Config)
	follower.waitForValue("drain/n2", "on")
	if v := follower.Values(); v["drain/n1"] != "on" {
		t.Errorf("the restarted member has the values %v, want drain/n1 on", v)
	}
	if err := all[leader].Set("drain/n1", ""); err != nil {
		t.Fatal(err)
	}
	if _, exists := all[leader].Values()["drain/n1"]; exists {
		t.Error("the leader still has a deleted key")
	}
	if err := all[leader].Set("x", strings.Repeat("x", MaxValue+1)); err == nil {
		t.Error("no error for a value over MaxValue")
	}
	for _, m := range []*testMember{all[leader], all[(leader+2)%3], follower} {
		if err := m.Close(); err != nil {
			t.Error(err)
		}
	}
}

func TestOpenUnlistedName(t *testing.T) {
	if _, err := Open(Config{Name: "n9", Dir: t.TempDir(), Nodes: []Node{{Name: "n1"}}, Log: io.Discard}); err == nil || !strings.Contains(err.Error(), "store.nodes") {
		t.Errorf("%v, want an error about store.nodes", err)
	}
}
