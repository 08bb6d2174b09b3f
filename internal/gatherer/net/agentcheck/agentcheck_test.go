package agentcheck

import (
	"io"
	"net"
	"testing"

	"pulleygw.example/pulleygw/internal/gatherer/net/http1"
)

func TestLine(t *testing.T) {
	for want, s := range map[string]State{"up ready 100%\n": {}, "up ready 25%\n": {Load: 0.75}, "up ready 1%\n": {Load: 1.2}, "drain\n": {Draining: true}} {
		if got := Line(s); got != want {
			t.Errorf("%+v: %q, want %q", s, got, want)
		}
	}
}

func TestServe(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go Serve(l, func() State { return State{Draining: true} })
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if b, err := io.ReadAll(c); err != nil || string(b) != "drain\n" {
		t.Errorf("%q %v", b, err)
	}
}

func TestHealth(t *testing.T) {
	for _, x := range []struct {
		method, path string
		draining     bool
		status       int
	}{
		{"GET", "/-/ready", false, 200}, {"HEAD", "/readyz", false, 200}, {"GET", "/readyz", true, 503},
		{"GET", "/livez", true, 200}, {"GET", "/healthz", true, 200}, {"POST", "/healthz", false, 0}, {"GET", "/x", false, 0},
	} {
		p := Health(&http1.Request{Method: x.method, Path: x.path}, func() State { return State{Draining: x.draining} })
		if p == nil && x.status != 0 || p != nil && p.Status != x.status || p != nil && x.method == "HEAD" && len(p.Body) > 0 {
			t.Errorf("%+v: %+v", x, p)
		}
	}
}
