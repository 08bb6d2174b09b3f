package frames

import (
	"io"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/gatherer/gather"
)

// write writes the next message and reports whether there was one. It closes an idle connection.
func (c *conn) write() (more bool, err error) {
	if c.closedByPeer() {
		return false, io.EOF
	}
	t, now := c.t, time.Now()
	t.mu.Lock()
	switch {
	case c.removed:
		t.mu.Unlock()
		return false, nil
	case len(c.cancels) > 0 || c.checksQueued > 0:
		var b []byte
		for _, a := range c.cancels {
			b = appendFrame(b, messageCancel, subqueryID(a))
		}
		cancelled := c.cancels
		for range c.checksQueued {
			b = appendFrame(b, messageHealthCheck, "")
			c.checksSent = append(c.checksSent, now)
			time.AfterFunc(t.ConnectTimeout+time.Millisecond, c.wakeWriter) // to check whether it is overdue
		}
		c.cancels, c.checksQueued = nil, 0
		t.mu.Unlock()
		c.nc.SetWriteDeadline(now.Add(t.WriteFor))
		_, err := c.nc.Write(b)
		if err != nil {
			c.nc.Close() // which cancels them as well
		}
		for _, a := range cancelled {
			t.report.Outcome(a, decision.Cancelled, "")
		}
		return true, err
	case len(c.queue) > 0:
		call := c.queue[0]
		c.queue = c.queue[1:]
		return true, c.writeCall(call, now)
	}
	if len(c.checksSent) > 0 && now.Sub(c.checksSent[0]) > t.ConnectTimeout {
		c.checksSent = c.checksSent[1:]
		c.unresponsive = true
		id := c.s.ID
		t.mu.Unlock()
		t.report.HealthChecked(id, false)
		return true, nil
	}
	if c.load == 0 && len(c.checksSent) == 0 && (c.unusable() || now.Sub(c.idleSince) > t.ConnIdle/2) {
		c.remove()
	}
	t.mu.Unlock()
	return false, nil
}

// writeCall writes one call. The lock is held on entry and released on return. It checks the time and the server list again:
// an attempt past its deduplication window or time-out, or to a server that is draining by now, is not written and never ran.
func (c *conn) writeCall(call []*gather.Attempt, now time.Time) error {
	t := c.t
	var lines []string
	var late, attempts []*gather.Attempt
	for _, a := range call {
		if c.s.State != decision.Ready || a.Stale(now) {
			late = append(late, a)
			delete(t.byAttempt, a)
			c.load--
			continue
		}
		c.inFlight[subqueryID(a)] = &entry{a: a}
		attempts = append(attempts, a)
		lines = append(lines, subqueryHeader(a, a.Deadline.Sub(now).Milliseconds()))
	}
	c.updateIdle()
	t.mu.Unlock()
	for _, a := range late {
		t.report.Outcome(a, decision.NotSent, "")
	}
	if len(attempts) == 0 {
		return nil
	}
	c.nc.SetWriteDeadline(gather.WriteDeadline(now, t.WriteFor, attempts))
	err := writeCall(c.nc, lines, attempts)
	t.mu.Lock()
	var ended []*gather.Attempt
	for _, a := range attempts {
		e := c.inFlight[subqueryID(a)]
		if e == nil || e.a != a {
			continue // answered or cancelled meanwhile
		}
		if err == nil && !c.removed {
			e.written = time.Now()
			continue
		}
		delete(c.inFlight, subqueryID(a))
		delete(t.byAttempt, a)
		ended = append(ended, a)
	}
	status := c.endStatus // written completely, but the connection ended before that was recorded
	t.mu.Unlock()
	if err != nil {
		status = decision.ConnectFailed
	}
	for _, a := range ended {
		t.report.Outcome(a, status, "")
	}
	return err
}
