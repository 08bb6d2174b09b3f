package peek_test

import (
	"io"
	"net"
	"testing"

	"pulleygw.example/pulleygw/internal/shared/peek"
)

// Unread bytes are reported and left for the reader. A close or reset by the peer and a close by this side are reported
// as the end of the connection.
func TestStatus(t *testing.T) {
	for name, x := range map[string]struct {
		do             func(here, there *net.TCPConn)
		waiting, ended bool
	}{
		"idle":               {func(_, _ *net.TCPConn) {}, false, false},
		"unread bytes":       {func(_, there *net.TCPConn) { io.WriteString(there, "x") }, true, false},
		"closed by peer":     {func(_, there *net.TCPConn) { there.CloseWrite() }, false, true},
		"reset by peer":      {func(_, there *net.TCPConn) { there.SetLinger(0); there.Close() }, false, true},
		"closed by our side": {func(here, _ *net.TCPConn) { here.Close() }, false, true},
	} {
		here, there := pair(t)
		x.do(here, there)
		waiting, ended := peek.Status(here)
		for x.waiting != waiting || x.ended != ended { // the loopback interface may take a moment
			if !x.waiting && !x.ended {
				t.Fatalf("%s: waiting %v, ended %v, want neither", name, waiting, ended)
			}
			waiting, ended = peek.Status(here)
		}
		if x.waiting {
			there.CloseWrite()
			if b, err := io.ReadAll(here); string(b) != "x" || err != nil {
				t.Errorf("%s: read %q, %v, want the unread byte", name, b, err)
			}
		}
	}
	if waiting, ended := peek.Status(nil); waiting || ended {
		t.Errorf("nil connection: waiting %v, ended %v, want neither", waiting, ended)
	}
}

// pair returns both ends of a TCP connection.
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
