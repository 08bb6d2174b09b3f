package coordinator

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/register"
	"pulleygw.example/pulleygw/internal/tier/rpc"
	"pulleygw.example/pulleygw/internal/tier/simulation"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// largeConfiguration returns a configuration of 350 routes. Each generation changes one of them.
func largeConfiguration(generation int) string {
	var body strings.Builder
	fmt.Fprintf(&body, `{"generation":%d,"routes":[`, generation)
	for route := range 350 {
		timeout := 5000
		if route == generation%350 {
			timeout += generation
		}
		if route > 0 {
			body.WriteByte(',')
		}
		fmt.Fprintf(&body, `{"name":"r-%d","hostname":"host%d.example","pathPrefix":"/prefix%d/","kind":"streaming","timeoutMs":%d,`+
			`"targetLatencyMs":250,"priority":0,"backend":"service-%d","maxAttempts":2,"retained":true,"retentionS":60.0,`+
			`"sessionAffinity":true,"resumable":false,"gap_aim_ms":400}`, route, route%7, route, timeout, route%3)
	}
	body.WriteString(`],"services":[{"name":"service-0"},{"name":"service-1"},{"name":"service-2"}],"limits":{}}`)
	return body.String()
}

// commitLargeChanges commits large configurations with the generations from+1 to to, at the named coordinators in turn.
func (c *cluster) commitLargeChanges(names []string, from, to int) {
	c.t.Helper()
	for generation := from + 1; generation <= to; generation++ {
		name := names[generation%len(names)]
		assert.Equal(c.t, c.process(name).putConfiguration(generation-1, largeConfiguration(generation)), http.StatusOK, "%d", generation)
	}
}

// assertNoOlderGeneration checks that a coordinator returns no configuration other than that of this generation, neither to an
// operator who reads it nor to an agent that has just started. Errors and an empty reply are allowed.
func (c *cluster) assertNoOlderGeneration(name string, generation int) {
	c.t.Helper()
	p := c.process(name)
	status, read := p.send(http.MethodGet, "/v1/config", "", "")
	assert.Assert(c.t, status == http.StatusServiceUnavailable || read == largeConfiguration(generation), "%d", status)
	agent := &tierpb.Node{Role: tierpb.Role_ROLE_AGENT}
	reply, err := p.poll(&tierpb.WatchRequest{Watcher: agent})
	received := reply.GetControl().GetConfiguration().GetGeneration()
	assert.Assert(c.t, err != nil || received == 0 || received == uint64(generation), "agent got generation %d", received)
}

// 500 changes are made while one coordinator is down. It is restarted and killed at several stages of catching up, and must
// never return an older configuration. Then another coordinator is killed, and it has to decide changes correctly.
func TestCoordinatorThatMissedHundredsOfChangesCatchesUp(t *testing.T) {
	withCluster(t, 3, 1, func(c *cluster) {
		others := []string{"core-1", "core-2"}
		c.commitLargeChanges(others, 0, 3)
		c.kill("core-3")
		last := 503
		if testing.Short() {
			last = 103
		}
		c.commitLargeChanges(others, 3, last)
		for _, milliseconds := range []time.Duration{0, 1, 2, 3, 5, 20, 300, 1500} {
			c.start("core-3", false)
			for range 10 {
				c.assertNoOlderGeneration("core-3", last)
				<-time.After(milliseconds * time.Millisecond / 10)
			}
			c.kill("core-3")
		}
		c.start("core-3", false)
		c.kill("core-1")
		c.assertNoOlderGeneration("core-3", last)
		assert.Equal(c.t, c.putUntilDecided([]string{"core-3"}, last-1, largeConfiguration(last)), http.StatusOK)
		assert.Equal(c.t, c.putUntilDecided([]string{"core-3"}, 3, largeConfiguration(9)), http.StatusPreconditionFailed)
		c.commitLargeChanges([]string{"core-3", "core-2"}, last, last+2)
		c.start("core-1", false)
		c.advance(time.Second)
		assert.DeepEqual(c.t, c.generations("core-1", "core-2", "core-3"), []uint64{uint64(last + 2), uint64(last + 2), uint64(last + 2)})
	})
}

// The acceptor of a restarted coordinator is repaired even if no further change is made that would update it.
func TestAcceptorOfRestartedCoordinatorIsRepaired(t *testing.T) {
	withCluster(t, 3, 1, func(c *cluster) {
		c.commitLargeChanges([]string{"core-1"}, 0, 1)
		c.kill("core-3")
		c.commitLargeChanges([]string{"core-1"}, 1, 30)
		size := c.process("core-1").state.Control().SizeVT()
		c.advance(time.Second)
		before := c.trafficOf("core-3")
		c.start("core-3", false)
		c.advance(3 * time.Second)
		assert.DeepEqual(c.t, c.generations("core-3"), []uint64{30})
		assert.Equal(c.t, c.process("core-3").acceptor.AcceptedValue().GetConfiguration().GetGeneration(), uint64(30))
		used := c.trafficOf("core-3")
		accepts, received := used.accepts-before.accepts, used.received-before.received
		c.t.Logf("a value of %d bytes: core-3 received %d bytes, %d accept calls between machines", size, received, accepts)
		assert.Equal(c.t, accepts, 2, "the value must be written exactly once, to the two other machines")
		// The value arrives up to four times: in the reply to a poll and to a read from each of the two others.
		assert.Assert(c.t, received < 4*size+20_000, "received %d bytes", received)
		c.advance(2 * time.Minute)
		assert.Equal(c.t, c.trafficOf("core-3").accepts, used.accepts, "values were written after it had caught up")
	})
}

// traffic counts calls and bytes.
type traffic struct {
	accepts  int // answered accept calls between any machines
	received int // bytes received by one machine
}

func (c *cluster) trafficOf(name string) traffic {
	c.mu.Lock()
	defer c.mu.Unlock()
	return traffic{accepts: c.calls[rpc.MethodAccept], received: c.machines[name].received}
}

// Conditions and time limit for a returning machine to become a voter with the current value.
const (
	minCatchUpTime = 4100 * time.Millisecond // smallest catchUpS in the deployments' settings
	slowLink       = 30_000_000 / 8          // bytes per second: 30 Mbit/s
	usualSync      = 4 * time.Millisecond
	slowSync       = 30 * usualSync
)

// A machine that was killed, wiped or replaced by another one is a voter with the newest value on its disk again within the
// smallest catchUpS, also with slow links and slow disks. The test logs the time that it took.
func TestReturningMachineVotesWithCurrentValueWithinCatchUpTime(t *testing.T) {
	for _, rate := range []int{0, slowLink} {
		for _, sync := range []time.Duration{usualSync, slowSync} {
			if testing.Short() && (rate == 0 || sync == usualSync) {
				continue
			}
			for _, fault := range []string{"killed", "wiped", "replaced"} {
				t.Run(fmt.Sprintf("%s, %d bytes/s, syncs of %s", fault, rate, sync), func(t *testing.T) {
					withCluster(t, 3, 1, func(c *cluster) { c.measureRejoin(fault, rate, sync) })
				})
			}
		}
	}
}

// measureRejoin applies a fault to core-3 and bounds the time until core-3, or core-4 in its place, votes with the current value.
func (c *cluster) measureRejoin(fault string, rate int, sync time.Duration) {
	c.commitLargeChanges([]string{"core-1"}, 0, 2)
	c.kill("core-3")
	c.commitLargeChanges([]string{"core-1", "core-2"}, 2, 60)
	c.mu.Lock()
	c.rate = rate
	c.mu.Unlock()
	for _, m := range c.machines {
		m.hardware.Disk.SetFault(simulation.DiskFault{SyncDelay: sync})
	}
	c.advance(3 * time.Second)
	name := "core-3"
	switch fault {
	case "wiped":
		c.wipe(name)
	case "replaced":
		name = "core-4"
	}
	receivedBefore, started := c.trafficOf(name).received, time.Now()
	c.start(name, false)
	for !c.isVoterWithGeneration(name, 60) {
		assert.Assert(c.t, time.Since(started) < minCatchUpTime)
		<-time.After(5 * time.Millisecond)
	}
	c.t.Logf("%s, %d bytes/s, syncs of %s: voter with the current value after %.3f s and %.2f MB", fault, rate, sync,
		time.Since(started).Seconds(), float64(c.trafficOf(name).received-receivedBefore)/1e6)
}

// isVoterWithGeneration reports whether a machine is a voter by its known control state, and its acceptor holds this generation
// in a value that is no older than that state.
func (c *cluster) isVoterWithGeneration(name string, generation uint64) bool {
	p := c.process(name)
	known, accepted := p.state.Control(), p.acceptor.AcceptedValue()
	return register.IsVoter(known, p.self.Identity) && accepted.GetVersion() >= known.Version &&
		accepted.GetConfiguration().GetGeneration() == generation
}

// Time limits for coordinators that were all killed at once to know the configuration again, counted from when a majority of them
// runs. A coordinator that started earlier may additionally be in the backoff between two polls.
const (
	learnTimeout = 150 * time.Millisecond
	pollBackoff  = 750 * time.Millisecond
)

// After all coordinators were killed at once, none of them knows which value is chosen, and agents wait for it.
func TestConfigurationIsKnownSoonAfterAllWereKilled(t *testing.T) {
	for startGap, limit := range map[time.Duration]time.Duration{
		0: learnTimeout, 10 * time.Millisecond: learnTimeout, 700 * time.Millisecond: learnTimeout + pollBackoff,
	} {
		withCluster(t, 3, 1, func(c *cluster) {
			names := []string{"core-1", "core-2", "core-3"}
			c.commitLargeChanges([]string{"core-1"}, 0, 3)
			for _, name := range names {
				c.kill(name)
			}
			c.advance(time.Second)
			for _, name := range names[:2] {
				<-time.After(startGap)
				c.start(name, false)
			}
			started := time.Now()
			for !slices.Equal(c.generations("core-1", "core-2"), []uint64{3, 3}) {
				assert.Assert(c.t, time.Since(started) < 5*time.Second)
				<-time.After(time.Millisecond)
			}
			c.t.Logf("started %s apart: known everywhere after %s", startGap, time.Since(started))
			assert.Assert(c.t, time.Since(started) < limit)
		})
	}
}

// callerTimeout is how long callers of the control API wait for a response before they switch to another coordinator.
const callerTimeout = time.Second

// After the loss of any coordinator, including the lease holder and one in the middle of a change, the next change is
// acknowledged at another coordinator within a tenth of callerTimeout. The test logs the time that it took.
func TestNextChangeAfterLossOfCoordinator(t *testing.T) {
	for _, isolated := range []bool{false, true} {
		for _, lost := range []string{"core-1", "core-2", "core-3"} {
			for _, busy := range []bool{false, true} {
				withCluster(t, 3, 1, func(c *cluster) {
					c.commitLargeChanges([]string{"core-1"}, 0, 2)
					if busy {
						go c.process(lost).putConfiguration(2, largeConfiguration(3))
						<-time.After(2500 * time.Microsecond)
					}
					if isolated {
						c.isolate(lost, true)
					} else {
						c.kill(lost)
					}
					other := "core-1"
					if lost == other {
						other = "core-2"
					}
					started := time.Now()
					status := c.putUntilDecided([]string{other}, 2, largeConfiguration(3))
					assert.Equal(c.t, status, http.StatusOK)
					c.t.Logf("lost %s, isolated %v, busy %v: acknowledged after %s", lost, isolated, busy, time.Since(started))
					assert.Assert(c.t, time.Since(started) < callerTimeout/10)
				})
			}
		}
	}
}

// Voters that are no seeds find each other after they were all killed at once and the machines of all seeds are gone for good.
func TestVotersFindEachOtherWithoutSeeds(t *testing.T) {
	withCluster(t, 6, 1, func(c *cluster) {
		c.commitLargeChanges([]string{"core-1"}, 0, 3)
		c.advance(time.Second)
		for i := 1; i <= 3; i++ {
			seed, voter := fmt.Sprintf("core-%d", i), fmt.Sprintf("core-%d", i+3)
			assert.NilError(c.t, c.replaceVoter("core-6", seed, voter))
			c.advance(100 * time.Millisecond)
		}
		names := []string{"core-4", "core-5", "core-6"}
		assert.DeepEqual(c.t, c.voterNames("core-5"), names)
		for i := 1; i <= 6; i++ {
			c.kill(fmt.Sprintf("core-%d", i))
		}
		c.advance(time.Second)
		for _, name := range names {
			c.start(name, false)
		}
		started := time.Now()
		for !slices.Equal(c.generations(names...), []uint64{3, 3, 3}) {
			assert.Assert(c.t, time.Since(started) < learnTimeout, "%v", c.generations(names...))
			<-time.After(time.Millisecond)
		}
		c.t.Logf("known everywhere after %s", time.Since(started))
	})
}
