// Package agentcheck reports the state of this gatherer to balancers: by HAProxy's agent-check protocol, in which a balancer
// connects and reads one line, and by health endpoints over HTTP.
package agentcheck

import (
	"fmt"
	"io"
	"net"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/net/http1"
)

// State is the state of a gatherer.
type State struct {
	Draining bool
	Load     float64 // fraction of its in-flight table in use, 0 to 1
}

const writeTimeout = time.Second

// Line is the answer to an agent check: drain, or up and ready with a weight that falls as the table fills.
func Line(s State) string {
	if s.Draining {
		return "drain\n"
	}
	return fmt.Sprintf("up ready %d%%\n", min(max(int(100*(1-s.Load)), 1), 100))
}

// Serve answers agent checks until the listener is closed, one at a time, as a line is written at once. The write to a
// balancer that does not read times out.
func Serve(l net.Listener, state func() State) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		c.SetWriteDeadline(time.Now().Add(writeTimeout))
		_, _ = io.WriteString(c, Line(state())) // a balancer that does not get it checks again
		c.Close()
	}
}

// Health answers the usual health paths: alive while the process answers, ready while it is not draining. It returns nil for
// any other path.
func Health(r *http1.Request, state func() State) *http1.Response {
	if r.Method != "GET" && r.Method != "HEAD" {
		return nil
	}
	var p *http1.Response
	switch r.Path {
	case "/-/healthy", "/healthz", "/livez":
		p = http1.Text(200, "healthy")
	case "/-/ready", "/readyz":
		p = http1.Text(200, "ready")
		if state().Draining {
			p = http1.Text(503, "not ready")
		}
	default:
		return nil
	}
	if r.Method == "HEAD" {
		p.Body = nil
	}
	return p
}
