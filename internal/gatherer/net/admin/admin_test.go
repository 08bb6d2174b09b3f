package admin

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strings"
	"testing"

	"pulleygw.example/pulleygw/internal/gatherer/proptest"
	"pulleygw.example/pulleygw/internal/gatherer/testbed"
)

func TestParse(t *testing.T) {
	for line, want := range map[string]Call{"PING": {Ping, ""}, "DETACH s-1": {Detach, "s-1"}, "ATTACH s-1": {Attach, "s-1"},
		"LAMEDUCK": {LameDuck, ""}, "REJOIN": {Rejoin, ""}} {
		if c, err := Parse(line); err != nil || c != want {
			t.Errorf("%q: %+v %v", line, c, err)
		}
	}
	for _, line := range []string{"", "ping", "INFO", "PING ", "PING x", "DETACH", "DETACH ", "DETACH a b", "DETACH  a", "ATTACH a/b", "LAMEDUCK now", " PING"} {
		if c, err := Parse(line); err == nil {
			t.Errorf("%q is taken for %+v", line, c)
		}
	}
	proptest.CheckParser(t, true, func(b []byte) error {
		line, err := readLine(strings.NewReader(string(b)))
		if err == nil {
			_, err = Parse(line)
		}
		return err
	}, "PING\n", "DETACH s-5be2a07c\n", "REJOIN\r\n")
}

func serve(t *testing.T, h Handler) func(string) net.Conn {
	t.Helper()
	l := testbed.Listen(t)
	go New(l, h).Serve()
	return func(text string) net.Conn {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		io.WriteString(c, text)
		return c
	}
}

// Each call gets one line, and the connection ends with it. Callers that send nothing, or a partial call, do nothing and
// block nobody, however many.
func TestServe(t *testing.T) {
	calls := make(chan Call, 10)
	call := serve(t, func(c Call) (string, error) {
		calls <- c
		if c.Name == "unknown" {
			return "", errors.New("no such lot store")
		}
		return "done", nil
	})
	for range 3 * maxConns {
		call("")
	}
	half := call("DETACH s-1")
	for text, want := range map[string]string{"PING\n": "200 ", "DETACH s-2\r\n": "200 ", "ATTACH unknown\n": "400 ", "FLY\n": "400 ",
		strings.Repeat("x", 2*maxLine): "400 "} {
		b, _ := io.ReadAll(call(text))
		if !strings.HasPrefix(string(b), want) || strings.Count(string(b), "\n") != 1 {
			t.Errorf("%.20q is answered %q", text, b)
		}
	}
	half.(*net.TCPConn).CloseWrite()
	if b, err := bufio.NewReader(half).ReadByte(); err == nil {
		t.Errorf("half a call is answered %q", b)
	}
	close(calls)
	for c := range calls {
		if c.Name == "s-1" {
			t.Error("half a call was carried out")
		}
	}
}
