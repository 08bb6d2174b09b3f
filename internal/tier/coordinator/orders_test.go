package coordinator

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// take has a coordinator take orders from one generation up to another, one on top of the other.
func (c *cluster) take(name string, from, to int) {
	c.t.Helper()
	for generation := from + 1; generation <= to; generation++ {
		assert.Equal(c.t, c.at(name).configured(generation-1, configurationOf(generation, "a")), http.StatusOK)
	}
}

// judge checks that orders which were taken are acknowledged again, and others on top of the same versions refused.
func (c *cluster) judge(name string, generations ...int) {
	c.t.Helper()
	for _, generation := range generations {
		taken, other := configurationOf(generation, "a"), configurationOf(generation, "b")
		assert.Equal(c.t, c.at(name).configured(generation-1, taken), http.StatusOK, "%s, %d", name, generation)
		assert.Equal(c.t, c.at(name).configured(generation-1, other), http.StatusPreconditionFailed, "%s, %d", name, generation)
	}
}

// TestOrderIsKnownBehindThousandsOfLaterOnes: also at a coordinator that was away meanwhile, and at one whose disk was
// lost and that has to ask for what was taken.
func TestOrderIsKnownBehindThousandsOfLaterOnes(t *testing.T) {
	inCluster(t, 3, 1, func(c *cluster) {
		c.take("core-1", 0, 300)
		c.kill("core-3")
		c.take("core-1", 300, 1700)
		c.pass(2 * time.Second)
		old := []int{1, 2, 255, 256, 257, 300, 700, 1187, 1188, 1700}
		c.judge("core-1", old...)
		c.judge("core-2", old...)
		c.start("core-3", false)
		c.pass(4 * time.Second)
		c.judge("core-3", old...)
		c.kill("core-2")
		c.wipe("core-2")
		c.start("core-2", false)
		c.pass(100 * time.Millisecond)
		for _, generation := range []int{1, 256, 700} {
			status := c.at("core-2").configured(generation-1, configurationOf(generation, "a"))
			assert.Equal(c.t, status, http.StatusServiceUnavailable, "not known yet, which is no refusal")
		}
		c.pass(4 * time.Second)
		c.judge("core-2", old...)
		for _, name := range []string{"core-1", "core-2", "core-3"} { // from their disks alone
			c.kill(name)
		}
		for _, name := range []string{"core-1", "core-2", "core-3"} {
			c.start(name, false)
		}
		c.pass(4 * time.Second)
		c.judge("core-1", old...)
	})
}
