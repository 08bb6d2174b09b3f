// Package agentcheck tells balancers how this gatherer is: by the agent-check protocol, in which a
// balancer connects and reads one line, and by health endpoints over HTTP.
package agentcheck

import (
	"fmt"
	"io"
	"net"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/net/http1"
)

// State is how a gatherer is.
type State struct {
	Draining bool
	Load     float64 // share of its in-flight table that is taken, 0 to 1
}

const writeTimeout = time.Second

// Line is the agent's answer: drain, or up and ready with a weight that falls as the table fills.
func Line(s State) string {
	if s.Draining {
		return "drain\n"
	}
	return fmt.Sprintf("up ready %d%%\n", min(max(int(100*(1-s.Load)), 1), 100))
}

// Serve answers agent checks until the listener is closed, one at a time: a line is written in no time, and
// a balancer that does not read is given up.
func Serve(l net.Listener, state func() State) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		c.SetWriteDeadline(time.Now().Add(writeTimeout))
		io.WriteString(c, Line(state()))
		c.Close()
	}
}

// Health answers the health paths that balancers commonly ask: alive while the process answers, ready
// while it is not draining. It returns nil for any other path.
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
