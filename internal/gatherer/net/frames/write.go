package frames

import (
	"io"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
	"pulleygw.example/pulleygw/internal/gatherer/gather"
)

// write writes the next thing in line and says whether there was one. An idle connection is closed here.
func (c *conn) write() (more bool, err error) {
	if c.crossed() {
		return false, io.EOF
	}
	t, now := c.t, time.Now()
	t.mu.Lock()
	switch {
	case c.dead:
		t.mu.Unlock()
		return false, nil
	case len(c.give) > 0 || c.probes > 0:
		var b []byte
		for _, a := range c.give {
			b = appendFrame(b, letterGiveUp, partID(a))
		}
		given := c.give
		for range c.probes {
			b = appendFrame(b, letterProbe, "")
			c.asked = append(c.asked, now)
			time.AfterFunc(t.ConnectTimeout+time.Millisecond, c.kick) // to see whether it is overdue
		}
		c.give, c.probes = nil, 0
		t.mu.Unlock()
		c.nc.SetWriteDeadline(now.Add(t.WriteFor))
		_, err := c.nc.Write(b)
		if err != nil {
			c.nc.Close() // that, too, gives them up
		}
		for _, a := range given {
			t.report.Outcome(a, decision.Cancelled, "")
		}
		return true, err
	case len(c.queue) > 0:
		call := c.queue[0]
		c.queue = c.queue[1:]
		return true, c.writeCall(call, now)
	}
	if len(c.asked) > 0 && now.Sub(c.asked[0]) > t.ConnectTimeout {
		c.asked = c.asked[1:]
		c.silent = true
		id := c.s.ID
		t.mu.Unlock()
		t.report.HealthChecked(id, false)
		return true, nil
	}
	if c.load == 0 && len(c.asked) == 0 && (c.unfit() || now.Sub(c.idle) > t.ConnIdle/2) {
		c.remove()
	}
	t.mu.Unlock()
	return false, nil
}

// writeCall writes one call; the lock is held on entry and is not on return. It looks again at what time
// and the list say: a keyed part past its window, a part past its time or a server that drains by now are
// not written, and never ran.
func (c *conn) writeCall(call []*gather.Attempt, now time.Time) error {
	t := c.t
	var lines []string
	var late, attempts []*gather.Attempt
	for _, a := range call {
		if c.s.State != decision.Ready || a.Stale(now) {
			late = append(late, a)
			delete(t.where, a)
			c.load--
			continue
		}
		c.out[partID(a)] = &entry{a: a}
		attempts = append(attempts, a)
		lines = append(lines, partLine(a, a.Until.Sub(now).Milliseconds()))
	}
	c.settle()
	t.mu.Unlock()
	for _, a := range late {
		t.report.Outcome(a, decision.NotSent, "")
	}
	if len(attempts) == 0 {
		return nil
	}
	c.nc.SetWriteDeadline(gather.WriteBy(now, t.WriteFor, attempts))
	err := writeCall(c.nc, lines, attempts)
	t.mu.Lock()
	var ended []*gather.Attempt
	for _, a := range attempts {
		e := c.out[partID(a)]
		if e == nil || e.a != a {
			continue // answered or cancelled meanwhile
		}
		if err == nil && !c.dead {
			e.written = time.Now()
			continue
		}
		delete(c.out, partID(a))
		delete(t.where, a)
		ended = append(ended, a)
	}
	status := c.ran // written whole, and the connection ended before that was booked
	t.mu.Unlock()
	if err != nil {
		status = decision.ConnectFailed
	}
	for _, a := range ended {
		t.report.Outcome(a, status, "")
	}
	return err
}
