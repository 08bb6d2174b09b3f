package coordinator

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/register"
	"pulleygw.example/pulleygw/internal/tier/simulation"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// commitChanges commits configurations with the generations from+1 to to at one coordinator.
func (c *cluster) commitChanges(name string, from, to int) {
	c.t.Helper()
	for generation := from + 1; generation <= to; generation++ {
		assert.Equal(c.t, c.process(name).putConfiguration(generation-1, configurationOf(generation, "a")), http.StatusOK)
	}
}

// assertOutcomesKnown checks that committed changes are acknowledged again and other changes of the same generations rejected.
func (c *cluster) assertOutcomesKnown(name string, generations ...int) {
	c.t.Helper()
	for _, generation := range generations {
		committed, other := configurationOf(generation, "a"), configurationOf(generation, "b")
		assert.Equal(c.t, c.process(name).putConfiguration(generation-1, committed), http.StatusOK, "%s, %d", name, generation)
		assert.Equal(c.t, c.process(name).putConfiguration(generation-1, other), http.StatusPreconditionFailed, "%s, %d", name, generation)
	}
}

// The outcome of a change is known after more than a thousand later ones, also at a coordinator that was down meanwhile, and at one
// that lost its disk and has to fetch the change history.
func TestOutcomeIsKnownAfterManyLaterChanges(t *testing.T) {
	withCluster(t, 3, 1, func(c *cluster) {
		c.commitChanges("core-1", 0, 300)
		c.kill("core-3")
		c.commitChanges("core-1", 300, 1700)
		c.advance(2 * time.Second)
		old := []int{1, 2, 255, 256, 257, 300, 700, 1187, 1188, 1700}
		c.assertOutcomesKnown("core-1", old...)
		c.assertOutcomesKnown("core-2", old...)
		c.start("core-3", false)
		c.advance(4 * time.Second)
		c.assertOutcomesKnown("core-3", old...)
		c.kill("core-2")
		c.wipe("core-2")
		c.start("core-2", false)
		c.advance(100 * time.Millisecond)
		for _, generation := range []int{1, 256, 700} {
			status := c.process("core-2").putConfiguration(generation-1, configurationOf(generation, "a"))
			assert.Equal(c.t, status, http.StatusServiceUnavailable, "the outcome is not known yet")
		}
		c.advance(4 * time.Second)
		c.assertOutcomesKnown("core-2", old...)
		for _, name := range []string{"core-1", "core-2", "core-3"} { // the history must be on the disks
			c.kill(name)
		}
		for _, name := range []string{"core-1", "core-2", "core-3"} {
			c.start(name, false)
		}
		c.advance(4 * time.Second)
		c.assertOutcomesKnown("core-1", old...)
	})
}

// putUntilDecided sends a change to the named coordinators in turn, as operators do, until the status is not 503.
func (c *cluster) putUntilDecided(names []string, ifMatch int, body string) int {
	for attempt := range 200 {
		if p := c.process(names[attempt%len(names)]); p != nil {
			if status := p.putConfiguration(ifMatch, body); status != http.StatusServiceUnavailable {
				return status
			}
		}
		<-time.After(20 * time.Millisecond)
	}
	return http.StatusServiceUnavailable
}

// Two operators send changes with the same generation while a voter is replaced. With different bodies one of them is committed,
// with equal bodies both are acknowledged. Every coordinator gives the same responses afterwards, including the old and
// the new voter.
func TestConcurrentChangesOfOneGenerationWhileVotersChange(t *testing.T) {
	for delay := range 12 {
		for _, variant := range []string{"x", "y"} {
			withCluster(t, 4, 1, func(c *cluster) {
				c.commitChanges("core-1", 0, 1)
				bodies := []string{configurationOf(5, "x"), configurationOf(5, variant)}
				statuses := make([]chan int, 2)
				for i, names := range [][]string{{"core-2", "core-1"}, {"core-3", "core-4"}} {
					statuses[i] = make(chan int, 1)
					go func() {
						<-time.After(time.Duration(delay+3*i) * 700 * time.Microsecond)
						statuses[i] <- c.putUntilDecided(names, 1, bodies[i])
					}()
				}
				assert.NilError(c.t, c.replaceVoter("core-1", "core-3", "core-4"))
				first, second := <-statuses[0], <-statuses[1]
				assert.Assert(c.t, first == http.StatusOK || second == http.StatusOK)
				assert.Equal(c.t, first == second, variant == "x", "%d and %d", first, second)
				for name := range map[string]bool{"core-1": true, "core-2": true, "core-3": true, "core-4": true} {
					assert.Equal(c.t, c.putUntilDecided([]string{name}, 1, bodies[0]), first, name)
					assert.Equal(c.t, c.putUntilDecided([]string{name}, 1, bodies[1]), second, name)
				}
			})
		}
	}
}

// replaceVoter makes a coordinator replace a voter by a standby.
func (c *cluster) replaceVoter(at, old, standby string) error {
	p := c.process(at)
	var nodes []*tierpb.Node
	for _, node := range register.VoterNodes(p.state.Control()) {
		if c.machineAt(node.Address).name != old {
			nodes = append(nodes, node)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	_, err := p.register.Reconfigure(ctx, func(current *tierpb.ControlState) (*tierpb.ControlState, error) {
		current.Voters = []*tierpb.VoterSet{{Nodes: append(nodes, c.process(standby).self)}}
		return current, nil
	})
	return err
}

// A change of voters was interrupted after its first step, and a voter of the old set is down. Outcomes are still known, and new
// changes are committed.
func TestOutcomeIsKnownWhileVotersAreJoint(t *testing.T) {
	withCluster(t, 4, 1, func(c *cluster) {
		c.commitChanges("core-1", 0, 3)
		p := c.process("core-1")
		_, err := p.register.Change(context.Background(), func(current *tierpb.ControlState) (*tierpb.ControlState, error) {
			nodes := append([]*tierpb.Node{c.process("core-4").self}, current.Voters[0].Nodes[:2]...)
			current.Voters = append(current.Voters, &tierpb.VoterSet{Nodes: nodes})
			return current, nil
		})
		assert.NilError(c.t, err)
		c.kill("core-3")
		c.assertOutcomesKnown("core-1", 1, 2, 3)
		c.commitChanges("core-4", 3, 4)
		c.assertOutcomesKnown("core-2", 1, 4)
		c.advance(5 * time.Second)
		assert.Equal(c.t, len(c.process("core-2").state.Control().Voters), 1, "the lease holder did not complete the change of voters")
		c.assertOutcomesKnown("core-4", 1, 2, 3, 4)
	})
}

// A coordinator that has just started, with its disk or with an empty one, acknowledges a committed change or answers with 503.
func TestCommittedChangeIsNotRejectedAfterRestart(t *testing.T) {
	for _, wiped := range []bool{false, true} {
		for delay := range 10 {
			withCluster(t, 3, 1, func(c *cluster) {
				c.commitChanges("core-1", 0, 3)
				c.kill("core-2")
				if wiped {
					c.wipe("core-2")
				}
				c.commitChanges("core-1", 3, 5)
				c.start("core-2", false)
				<-time.After(time.Duration(delay) * 300 * time.Microsecond)
				for _, generation := range []int{1, 3, 5} {
					status := c.process("core-2").putConfiguration(generation-1, configurationOf(generation, "a"))
					assert.Assert(c.t, status == http.StatusOK || status == http.StatusServiceUnavailable, "%d", status)
				}
				assert.Equal(c.t, c.putUntilDecided([]string{"core-2"}, 4, configurationOf(5, "a")), http.StatusOK)
				assert.Equal(c.t, c.putUntilDecided([]string{"core-2"}, 4, configurationOf(5, "b")), http.StatusPreconditionFailed)
			})
		}
	}
}

// A committed change that is sent again over a slow link must not get a 400, which would be a rejection.
func TestSlowBodyIsNotRejected(t *testing.T) {
	withCluster(t, 3, 1, func(c *cluster) {
		c.commitChanges("core-1", 0, 1)
		body := strings.NewReader(configurationOf(1, "a")[:40])
		slow := io.MultiReader(body, iotest.ErrReader(&net.OpError{Op: "read", Err: os.ErrDeadlineExceeded}))
		request := httptest.NewRequest(http.MethodPut, "/v1/config", slow)
		request.Header.Set("If-Match", "0")
		recorder := httptest.NewRecorder()
		c.process("core-2").handler.ServeHTTP(recorder, request)
		assert.Equal(c.t, recorder.Code, http.StatusRequestTimeout)
	})
}

// syncCount returns the total number of syncs of all disks.
func (c *cluster) syncCount() int {
	sum := 0
	for _, m := range c.machines {
		used := m.hardware.Disk.Stats()
		sum += used.FileSyncs + used.FolderSyncs
	}
	return sum
}

// Repeated changes whose outcome is decided, committed or rejected, are answered by reads, without a disk sync.
func TestDecidedChangeNeedsNoSync(t *testing.T) {
	withCluster(t, 3, 1, func(c *cluster) {
		c.commitChanges("core-1", 0, 5)
		c.advance(time.Second)
		before, accepts := c.syncCount(), c.trafficOf("core-1").accepts
		for _, name := range []string{"core-1", "core-2", "core-3"} {
			c.assertOutcomesKnown(name, 1, 3, 5)
		}
		assert.Equal(c.t, c.syncCount(), before)
		assert.Equal(c.t, c.trafficOf("core-1").accepts, accepts)
	})
}

// Eight operators replace the same generation at once, with 350 routes each, slow links and disks ten times slower than usual.
// One change is committed; the rejected ones do not delay each other beyond ackMs.
func TestConcurrentOperatorsOnSlowDisksAllGetADecision(t *testing.T) {
	const operators, ackTimeout = 8, 4 * time.Second
	names := []string{"core-1", "core-2", "core-3", "core-1", "core-2"}
	withCluster(t, 3, 1, func(c *cluster) {
		c.commitLargeChanges([]string{"core-1"}, 0, 2)
		c.advance(time.Second)
		c.mu.Lock()
		c.rate = slowLink
		c.mu.Unlock()
		for _, m := range c.machines {
			m.hardware.Disk.SetFault(simulation.DiskFault{SyncDelay: 10 * usualSync})
		}
		started := time.Now()
		statuses := make(chan int, operators)
		for i := range operators {
			go func() { statuses <- c.putUntilDecided(names[i%3:i%3+3], 2, largeConfiguration(3+i)) }()
		}
		counts := map[int]int{}
		for range operators {
			counts[<-statuses]++
		}
		c.t.Logf("all changes decided after %s", time.Since(started))
		assert.DeepEqual(c.t, counts, map[int]int{http.StatusOK: 1, http.StatusPreconditionFailed: operators - 1})
		assert.Assert(c.t, time.Since(started) < ackTimeout)
	})
}
