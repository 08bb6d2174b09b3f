package coordinator

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestConfigurationIsCommittedAndReadBack(t *testing.T) {
	withCluster(t, 3, 1, func(c *cluster) {
		status, _ := c.process("core-2").send(http.MethodGet, "/v1/config", "", "")
		assert.Equal(t, status, http.StatusNotFound)
		body := configurationOf(4, "a")
		assert.Equal(t, c.process("core-1").putConfiguration(0, body), http.StatusOK)
		c.advance(50 * time.Millisecond)
		assert.DeepEqual(t, c.generations("core-1", "core-2", "core-3"), []uint64{4, 4, 4})
		for name := range map[string]bool{"core-1": true, "core-2": true, "core-3": true} {
			status, read := c.process(name).send(http.MethodGet, "/v1/config", "", "")
			assert.Equal(t, status, http.StatusOK)
			assert.Equal(t, read, body)
		}
	})
}

func TestInvalidConfigurationsAreRejected(t *testing.T) {
	good := configurationOf(9, "b")
	cases := map[string]struct {
		ifMatch string
		body    string
		status  int
	}{
		"truncated body":  {"4", good[:len(good)-30], 400},
		"unknown service": {"4", strings.Replace(good, `"backend":"s"`, `"backend":"t"`, 1), 400},
		"duplicate route": {"4", strings.Replace(good, `"routes":[`,
			`"routes":[{"name":"x","hostname":"h.example","pathPrefix":"/b/","timeoutMs":5,"backend":"s"},`, 1), 400},
		"zero weight":          {"4", strings.Replace(good, `"backend":"s"`, `"weightedSplit":[{"backend":"s","weight":0}]`, 1), 400},
		"zero timeout":         {"4", strings.Replace(good, `"timeoutMs":1000`, `"timeoutMs":0`, 1), 400},
		"older generation":     {"4", configurationOf(3, "b"), 400},
		"same generation":      {"4", configurationOf(4, "b"), 400},
		"outdated If-Match":    {"2", good, 412},
		"future If-Match":      {"9", good, 412},
		"duplicate key":        {"4", strings.Replace(good, `{"generation":9`, `{"generation":9,"generation":9`, 1), 400},
		"missing If-Match":     {"", good, 400},
		"non-numeric If-Match": {"four", good, 400},
		"empty body":           {"4", "", 400},
	}
	withCluster(t, 3, 1, func(c *cluster) {
		committed := configurationOf(4, "a")
		assert.Equal(t, c.process("core-1").putConfiguration(0, committed), http.StatusOK)
		for name, test := range cases {
			status, answer := c.process("core-2").send(http.MethodPut, "/v1/config", test.ifMatch, test.body)
			assert.Equal(t, status, test.status, "%s: %s", name, answer)
			_, read := c.process("core-3").send(http.MethodGet, "/v1/config", "", "")
			assert.Equal(t, read, committed, name)
		}
	})
}

func TestCommittedChangeIsAcknowledgedAgain(t *testing.T) {
	withCluster(t, 3, 1, func(c *cluster) {
		for generation := 1; generation <= 4; generation++ {
			assert.Equal(t, c.process("core-1").putConfiguration(generation-1, configurationOf(generation, "a")), http.StatusOK)
		}
		for _, name := range []string{"core-1", "core-2", "core-3"} {
			assert.Equal(t, c.process(name).putConfiguration(3, configurationOf(4, "a")), http.StatusOK, "newest")
			assert.Equal(t, c.process(name).putConfiguration(1, configurationOf(2, "a")), http.StatusOK, "older change")
			assert.Equal(t, c.process(name).putConfiguration(1, configurationOf(2, "b")), http.StatusPreconditionFailed, "other body")
			assert.Equal(t, c.process(name).putConfiguration(0, configurationOf(2, "a")), http.StatusPreconditionFailed, "other If-Match")
		}
		c.advance(50 * time.Millisecond)
		assert.DeepEqual(t, c.generations("core-2"), []uint64{4})
	})
}

func TestOneOfTwoConcurrentChangesIsCommitted(t *testing.T) {
	for round := range 20 {
		withCluster(t, 3, 1, func(c *cluster) {
			assert.Equal(t, c.process("core-1").putConfiguration(0, configurationOf(1, "a")), http.StatusOK)
			statuses := make(chan int, 2)
			changes := []string{configurationOf(2, "x"), configurationOf(2, "y")}
			for i, name := range []string{"core-1", "core-2"} {
				go func() {
					<-time.After(time.Duration(round*(i*2-1)+20) * 200 * time.Microsecond)
					statuses <- c.process(name).putConfiguration(1, changes[i])
				}()
			}
			first, second := <-statuses, <-statuses
			assert.Equal(t, min(first, second), http.StatusOK)
			assert.Equal(t, max(first, second), http.StatusPreconditionFailed)
		})
	}
}

func TestIsolatedCoordinatorNeitherAcknowledgesNorRejects(t *testing.T) {
	withCluster(t, 3, 1, func(c *cluster) {
		assert.Equal(t, c.process("core-1").putConfiguration(0, configurationOf(1, "a")), http.StatusOK)
		c.isolate("core-1", true)
		for _, change := range []struct{ ifMatch, generation int }{{1, 2}, {0, 1}, {0, 7}, {1, 1}} {
			started := time.Now()
			status := c.process("core-1").putConfiguration(change.ifMatch, configurationOf(change.generation, "a"))
			assert.Equal(t, status, http.StatusServiceUnavailable, "%v", change)
			assert.Assert(t, time.Since(started) < time.Second)
		}
		status, _ := c.process("core-1").send(http.MethodGet, "/v1/config", "", "")
		assert.Equal(t, status, http.StatusServiceUnavailable)
		assert.Equal(t, c.process("core-2").putConfiguration(1, configurationOf(5, "b")), http.StatusOK)
		c.isolate("core-1", false)
		c.advance(3 * time.Second)
		assert.DeepEqual(t, c.generations("core-1"), []uint64{5})
		assert.Equal(t, c.process("core-1").putConfiguration(1, configurationOf(2, "a")), http.StatusPreconditionFailed)
	})
}

// The proposals of core-2 and core-3 must exceed those of core-1. They need not wait for core-1, which is isolated, to do so.
func TestChangeDoesNotWaitForUnreachableVoter(t *testing.T) {
	withCluster(t, 3, 1, func(c *cluster) {
		for generation := range 5 {
			assert.Equal(t, c.process("core-1").putConfiguration(generation, configurationOf(generation+1, "a")), http.StatusOK)
		}
		c.isolate("core-1", true)
		started := time.Now()
		for generation, name := range []string{"core-2", "core-3", "core-2"} {
			assert.Equal(t, c.process(name).putConfiguration(5+generation, configurationOf(6+generation, "b")), http.StatusOK)
		}
		assert.Assert(t, time.Since(started) < 300*time.Millisecond, "simulated time: %v", time.Since(started))
	})
}

func TestChangeAcknowledgedByKilledCoordinatorIsKnownToOthers(t *testing.T) {
	withCluster(t, 3, 1, func(c *cluster) {
		c.setBlocked("core-3", "core-1", true) // core-3 can neither poll core-1 nor reply to it
		c.advance(2 * time.Second)
		assert.Equal(t, c.process("core-1").putConfiguration(0, configurationOf(6, "a")), http.StatusOK)
		c.kill("core-1")
		c.kill("core-2")
		c.start("core-2", false) // has the value on disk but does not know that it was chosen
		c.advance(1500 * time.Millisecond)
		assert.DeepEqual(t, c.generations("core-2", "core-3"), []uint64{6, 6})
	})
}

func TestAcknowledgedChangeSurvivesKillOfAllCoordinators(t *testing.T) {
	withCluster(t, 3, 1, func(c *cluster) {
		names := []string{"core-1", "core-2", "core-3"}
		assert.Equal(t, c.process("core-1").putConfiguration(0, configurationOf(6, "a")), http.StatusOK)
		for _, name := range names {
			c.kill(name)
		}
		c.wipe("core-1")
		for _, name := range names {
			c.start(name, false)
		}
		c.advance(5 * time.Second)
		assert.DeepEqual(t, c.generations(names...), []uint64{6, 6, 6})
		assert.DeepEqual(t, c.voterNames("core-2"), names)
		c.kill("core-2") // now the quorum needs the vote of the wiped machine
		assert.Equal(t, c.process("core-1").putConfiguration(6, configurationOf(7, "a")), http.StatusOK)
	})
}
