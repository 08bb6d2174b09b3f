package handover

import (
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"pulleygw.example/pulleygw/internal/gatherer/proptest"
)

var state = State{Hosts: []byte(`{"seq":0,"whole":true,"hosts":[]}`), Banned: []string{"s-1"}, Attached: map[string]int64{"s-2": 1764600000000},
	Drain: true, PerSecond: 12.5, Records: []Record{{Name: "s-1", Answers: []float64{0, 1.5}, Latency: 0.04, Failing: 0.1, Cap: 4, SlowStartMs: -1}}}

func line(m Message) string { return strings.TrimSuffix(string(m.Append(nil)), "\n") }

func TestParse(t *testing.T) {
	valid := []string{line(Message{Kind: Hello}), line(Message{Kind: CallMade, ID: 1, Verb: "DETACH", Name: "s-1", AtMs: 1}),
		line(Message{Kind: CallDone, ID: 1}), line(Message{Kind: StateSent, State: &state})}
	proptest.CheckParser(t, true, func(b []byte) error { _, err := Parse(b); return err }, valid...)
	for _, text := range []string{`{}`, `[]`, `{"kind":"call"}`, `{"kind":"state"}`, `{"kind":"call","verb":"DETACH","at_ms":-1}`,
		strings.Replace(valid[3], `"failing":0.1`, `"failing":2`, 1), strings.Replace(valid[3], `1.5`, `-1.5`, 1),
		strings.Replace(valid[3], `"per_second":12.5`, `"per_second":-1`, 1), strings.Replace(valid[3], `"per_second":12.5`, `"per_second":1e9`, 1)} {
		if m, err := Parse([]byte(text)); err == nil {
			t.Errorf("took %s for %+v", text, m)
		}
	}
}

// pair links two sides over a socket in its own folder.
func pair(t *testing.T, do func(Message)) (successor *Link, s *State, path string) {
	t.Helper()
	path = filepath.Join(t.TempDir(), "s")
	l, err := Listen(path)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		if x, err := Accept(nc, func(*Link) {}, func() State { return state }); err == nil {
			x.Serve(do)
		}
	}()
	successor, s, err = Connect(path)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(successor.Close)
	return successor, s, path
}

// The successor gets the state, and a call is in force at the other side before Call returns.
func TestLink(t *testing.T) {
	heard := make(chan Message, 1)
	x, s, path := pair(t, func(m Message) { heard <- m })
	if !s.Drain || s.PerSecond != 12.5 || len(s.Records) != 1 || s.Records[0].Answers[1] != 1.5 || s.Attached["s-2"] != 1764600000000 {
		t.Errorf("%+v", s)
	}
	go x.Serve(func(Message) {})
	if err := x.Call(Message{Verb: "DETACH", Name: "s-3", AtMs: 5}); err != nil {
		t.Fatal(err)
	}
	if m := <-heard; m.Name != "s-3" || m.AtMs != 5 {
		t.Errorf("%+v", m)
	}
	// The name leads to the youngest, and the older one's end does not take it away.
	young, err := Listen(path)
	if err != nil {
		t.Fatal(err)
	}
	defer young.Close()
	nc, err := net.Dial("unix", path)
	if err != nil {
		t.Fatal(err)
	}
	nc.Close()
	if got, err := young.Accept(); err != nil {
		t.Error(err)
	} else {
		got.Close()
	}
}

// A peer that fails within a call is not waited for.
func TestPeerFails(t *testing.T) {
	var x *Link
	ready := make(chan struct{})
	x, _, _ = pair(t, func(Message) { <-ready; x.nc.Close() })
	go x.Serve(func(Message) {})
	close(ready)
	if err := x.Call(Message{Verb: "DETACH", Name: "s-3", AtMs: 5}); err == nil {
		t.Error("a call that nobody confirmed counts as heard")
	}
}

// A socket with a truncated or stale state, or no socket at all, is an error at once.
func TestConnectInvalid(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	if _, _, err := Connect(path); err == nil {
		t.Error("greeted nobody")
	}
	if err := os.WriteFile(path, []byte("stale"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, _, err := Connect(path); err == nil {
		t.Error("greeted a file")
	}
	l, err := Listen(path) // takes the name, whatever has it
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			nc.Write([]byte(line(Message{Kind: StateSent, State: &state})[:40] + "\n"))
			nc.Close()
		}
	}()
	if _, _, err := Connect(path); err == nil {
		t.Error("took a torn state")
	}
}
