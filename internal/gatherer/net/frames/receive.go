package frames

import (
	"fmt"
	"slices"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
)

var statuses = map[string]decision.Status{"hit": decision.OK, "fault": decision.Error, "overload": decision.Rejected}

// receive handles one frame. An error closes the connection and ends all that is in flight on it.
func (c *conn) receive(message byte, payload []byte) error {
	switch message {
	case messageOutcome:
		e, err := parseOutcome(payload)
		if err != nil {
			return err
		}
		return c.handleOutcome(e)
	case messageHealthCheck:
		if string(payload) != "hit" && string(payload) != "fault" {
			return malformed("C with %.20q", payload)
		}
		c.handleHealthCheck(string(payload) == "hit")
	case messageError:
		return fmt.Errorf("the lot store could not use a frame: %.200q", payload)
	}
	return nil
}

// maxRecent bounds the ids remembered of a connection: of more, none can still be answered late.
const maxRecent = 64

// forget records that a subquery is no longer in flight here. What is still received for it, as when its answer crosses its
// cancellation or comes twice, is ignored. The lock is held.
func (c *conn) forget(id string) {
	delete(c.inFlight, id)
	if len(c.recent) == maxRecent {
		c.recent = slices.Delete(c.recent, 0, 1)
	}
	c.recent = append(c.recent, id)
}

// handleOutcome reports the outcome of a subquery. One that was never in flight here is an error, as an answer has lost its
// id: the subquery that it was for would wait in vain.
func (c *conn) handleOutcome(x outcome) error {
	c.t.mu.Lock()
	e := c.inFlight[x.id]
	if e == nil && !slices.Contains(c.recent, x.id) {
		c.t.mu.Unlock()
		return malformed("E for %.40q, which is not out here", x.id)
	}
	c.receivedAt, c.unresponsive = time.Now(), false
	if e != nil {
		c.served = true
		c.forget(x.id)
		delete(c.t.byAttempt, e.a)
		c.load--
		c.updateIdle()
	}
	c.t.mu.Unlock()
	switch {
	case e == nil:
	case statuses[x.status] == decision.OK && x.score != nil:
		c.t.report.Scored(e.a, string(x.value), *x.score)
	default:
		c.t.report.Outcome(e.a, statuses[x.status], string(x.value))
	}
	return nil
}

// handleHealthCheck reports the answer to a health check.
func (c *conn) handleHealthCheck(ok bool) {
	c.t.mu.Lock()
	c.receivedAt = time.Now()
	expected := len(c.checksSent) > 0
	if expected {
		c.checksSent = c.checksSent[1:]
	}
	id := c.s.ID
	c.t.mu.Unlock()
	if expected {
		c.t.report.HealthChecked(id, ok)
	}
}
