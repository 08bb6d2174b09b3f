package store

import (
	"errors"
	"io"
	"net"
	"strings"
	"testing"
)

// member is one store and what it was told of.
type member struct {
	*Store
	Config
	changes chan map[string]string
}

func open(t *testing.T, c Config) *member {
	t.Helper()
	m := &member{Config: c, changes: make(chan map[string]string, 100)}
	m.Changed = func(v map[string]string) { m.changes <- v }
	var err error
	if m.Store, err = Open(m.Config); err != nil {
		t.Fatal(err)
	}
	return m
}

// until waits for a change after which a key has a value.
func (m *member) until(key, value string) {
	for v := range m.changes {
		if v[key] == value {
			return
		}
	}
}

// Three members agree; one that is not the leader says where the leader is; a member that restarts has what it had and
// what it missed.
func TestReplicated(t *testing.T) {
	var nodes []Node
	var listeners []net.Listener
	for _, name := range []string{"n1", "n2", "n3"} {
		// An address of its own: a port that is closed for a moment there is nobody else's to take.
		l, err := net.Listen("tcp", "127.77.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners = append(listeners, l)
		nodes = append(nodes, Node{name, l.Addr().String(), "operations-of-" + name})
	}
	var all []*member
	for i, n := range nodes {
		all = append(all, open(t, Config{Name: n.Name, Dir: t.TempDir(), Nodes: nodes, Log: io.Discard, Listener: listeners[i]}))
	}
	lead := 0
	select {
	case <-all[0].LeaderCh():
	case <-all[1].LeaderCh():
		lead = 1
	case <-all[2].LeaderCh():
		lead = 2
	}
	if err := all[lead].Set("drain/n1", "on"); err != nil {
		t.Fatal(err)
	}
	for _, m := range all {
		m.until("drain/n1", "on")
	}
	other := all[(lead+1)%3]
	var not *NotLeaderError
	if err := other.Set("drain/n2", "on"); !errors.As(err, &not) || not.Operations != nodes[lead].Operations {
		t.Errorf("a follower says %v", err)
	}
	if err := other.Close(); err != nil {
		t.Fatal(err)
	}
	if err := all[lead].Set("drain/n2", "on"); err != nil { // two of three are enough
		t.Fatal(err)
	}
	other.Listener = nil // it listens at its own address again
	other = open(t, other.Config)
	other.until("drain/n2", "on")
	if v := other.All(); v["drain/n1"] != "on" {
		t.Errorf("after its restart: %v", v)
	}
	if err := all[lead].Set("drain/n1", ""); err != nil {
		t.Fatal(err)
	}
	if _, has := all[lead].All()["drain/n1"]; has {
		t.Error("the key is still there")
	}
	if err := all[lead].Set("x", strings.Repeat("x", MaxValue+1)); err == nil {
		t.Error("took a value too large")
	}
	for _, m := range []*member{all[lead], all[(lead+2)%3], other} {
		if err := m.Close(); err != nil {
			t.Error(err)
		}
	}
}

func TestNotANode(t *testing.T) {
	if _, err := Open(Config{Name: "n9", Dir: t.TempDir(), Nodes: []Node{{Name: "n1"}}, Log: io.Discard}); err == nil || !strings.Contains(err.Error(), "store.nodes") {
		t.Errorf("error %v", err)
	}
}
