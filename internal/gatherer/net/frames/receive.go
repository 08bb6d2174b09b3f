package frames

import (
	"fmt"
	"slices"
	"time"

	"pulleygw.example/pulleygw/internal/gatherer/decision"
)

var statuses = map[string]decision.Status{"hit": decision.OK, "fault": decision.Error, "overload": decision.Rejected}

// receive handles one frame. An error closes the connection and ends all that is out on it.
func (c *conn) receive(letter byte, rest []byte) error {
	switch letter {
	case letterEnd:
		e, err := parseEnd(rest)
		if err != nil {
			return err
		}
		return c.ended(e)
	case letterProbe:
		if string(rest) != "hit" && string(rest) != "fault" {
			return malformed("C with %.20q", rest)
		}
		c.probed(string(rest) == "hit")
	case letterBad:
		return fmt.Errorf("the lot store could not use a frame: %.200q", rest)
	}
	return nil
}

// pastMost bounds the parts remembered of a connection: of more, none can still be answered late.
const pastMost = 64

// over notes that a part is not out here any more; the lock is held. What still comes for it, as when its
// answer crosses its cancel or comes twice, is dropped and harms nothing.
func (c *conn) over(id string) {
	delete(c.out, id)
	if len(c.past) == pastMost {
		c.past = slices.Delete(c.past, 0, 1)
	}
	c.past = append(c.past, id)
}

// ended reports a part's outcome. One that was never out here shows an answer that lost its id: the part
// that it was for would wait for nothing.
func (c *conn) ended(x end) error {
	c.t.mu.Lock()
	e := c.out[x.id]
	if e == nil && !slices.Contains(c.past, x.id) {
		c.t.mu.Unlock()
		return malformed("E for %.40q, which is not out here", x.id)
	}
	c.heard, c.silent = time.Now(), false
	if e != nil {
		c.served = true
		c.over(x.id)
		delete(c.t.where, e.a)
		c.load--
		c.settle()
	}
	c.t.mu.Unlock()
	switch {
	case e == nil:
	case statuses[x.how] == decision.OK && x.score != nil:
		c.t.report.Scored(e.a, string(x.value), *x.score)
	default:
		c.t.report.Outcome(e.a, statuses[x.how], string(x.value))
	}
	return nil
}

func (c *conn) probed(ok bool) {
	c.t.mu.Lock()
	c.heard = time.Now()
	asked := len(c.asked) > 0
	if asked {
		c.asked = c.asked[1:]
	}
	id := c.s.ID
	c.t.mu.Unlock()
	if asked {
		c.t.report.HealthChecked(id, ok)
	}
}
