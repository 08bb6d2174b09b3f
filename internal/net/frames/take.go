package frames

import (
	"fmt"
	"time"

	"pulleygw.example/pulleygw/policy"
)

var statuses = map[string]policy.Status{"hit": policy.OK, "fault": policy.Error, "overload": policy.Full}

// take takes in one frame. An error closes the connection, and all that is out on it ends as reset.
func (c *conn) take(letter byte, rest []byte) error {
	switch letter {
	case letterEnd:
		e, err := parseEnd(rest)
		if err != nil {
			return err
		}
		c.ended(e)
	case letterProbe:
		if string(rest) != "hit" && string(rest) != "fault" {
			return fmt.Errorf("malformed frame: C with %.20q", rest)
		}
		c.probed(string(rest) == "hit")
	case letterBad:
		return fmt.Errorf("the lot store could not use a frame: %.200q", rest)
	default:
		return fmt.Errorf("malformed frame: letter %q", letter)
	}
	return nil
}

// ended reports a part's outcome. One that is not out here was cancelled, and its answer crossed that.
func (c *conn) ended(x end) {
	c.t.mu.Lock()
	c.heard, c.silent = time.Now(), false
	e := c.out[x.id]
	if e != nil {
		delete(c.out, x.id)
		delete(c.t.where, e.a)
		c.load--
		c.settle()
	}
	c.t.mu.Unlock()
	if e != nil {
		c.t.report.Outcome(e.a, statuses[x.how], string(x.value))
	}
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
		c.t.report.Probed(id, ok)
	}
}
