package peek_test

import (
	"io"
	"net"
	"testing"

	"pulleygw.example/pulleygw/internal/shared/peek"
)

// What has come is seen and left in place, for a reader that waits at the same time too; an end, a reset and a close of
// this side are ends.
func TestLook(t *testing.T) {
	for name, x := range map[string]struct {
		do             func(here, there *net.TCPConn)
		waiting, ended bool
	}{
		"nothing":     {func(_, _ *net.TCPConn) {}, false, false},
		"bytes":       {func(_, there *net.TCPConn) { io.WriteString(there, "x") }, true, false},
		"an end":      {func(_, there *net.TCPConn) { there.CloseWrite() }, false, true},
		"a reset":     {func(_, there *net.TCPConn) { there.SetLinger(0); there.Close() }, false, true},
		"closed here": {func(here, _ *net.TCPConn) { here.Close() }, false, true},
	} {
		here, there := pair(t)
		x.do(here, there)
		waiting, ended := peek.Look(here)
		for x.waiting != waiting || x.ended != ended { // loopback hands it over at once, or nearly so
			if !x.waiting && !x.ended {
				t.Fatalf("%s: waiting %v, ended %v", name, waiting, ended)
			}
			waiting, ended = peek.Look(here)
		}
		if x.waiting {
			there.CloseWrite()
			if b, err := io.ReadAll(here); string(b) != "x" || err != nil {
				t.Errorf("%s: %q %v", name, b, err)
			}
		}
	}
	if waiting, ended := peek.Look(nil); waiting || ended {
		t.Error("something is known of no connection")
	}
}

// pair makes both ends of a connection.
func pair(t *testing.T) (here, there *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	dialled, err := net.Dial("tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { dialled.Close(); accepted.Close() })
	return dialled.(*net.TCPConn), accepted.(*net.TCPConn)
}
