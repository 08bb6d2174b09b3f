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

// commitChanges has a coordinator commit configurations from one generation up to another, one on top of the other.
func (c *cluster) commitChanges(name string, from, to int) {
	c.t.Helper()
	for generation := from + 1; generation <= to; generation++ {
		assert.Equal(c.t, c.at(name).putConfiguration(generation-1, configurationOf(generation, "a")), http.StatusOK)
	}
}

// assertDecided checks that changes which were committed are acknowledged again, and others of the same generations rejected.
func (c *cluster) assertDecided(name string, generations ...int) {
	c.t.Helper()
	for _, generation := range generations {
		committed, other := configurationOf(generation, "a"), configurationOf(generation, "b")
		assert.Equal(c.t, c.at(name).putConfiguration(generation-1, committed), http.StatusOK, "%s, %d", name, generation)
		assert.Equal(c.t, c.at(name).putConfiguration(generation-1, other), http.StatusPreconditionFailed, "%s, %d", name, generation)
	}
}

// TestChangeIsKnownBehindThousandsOfLaterOnes: also at a coordinator that was away meanwhile, and at one whose disk was
// lost and that has to ask for what was committed.
func TestChangeIsKnownBehindThousandsOfLaterOnes(t *testing.T) {
	inCluster(t, 3, 1, func(c *cluster) {
		c.commitChanges("core-1", 0, 300)
		c.kill("core-3")
		c.commitChanges("core-1", 300, 1700)
		c.pass(2 * time.Second)
		old := []int{1, 2, 255, 256, 257, 300, 700, 1187, 1188, 1700}
		c.assertDecided("core-1", old...)
		c.assertDecided("core-2", old...)
		c.start("core-3", false)
		c.pass(4 * time.Second)
		c.assertDecided("core-3", old...)
		c.kill("core-2")
		c.wipe("core-2")
		c.start("core-2", false)
		c.pass(100 * time.Millisecond)
		for _, generation := range []int{1, 256, 700} {
			status := c.at("core-2").putConfiguration(generation-1, configurationOf(generation, "a"))
			assert.Equal(c.t, status, http.StatusServiceUnavailable, "not known yet, which is no rejection")
		}
		c.pass(4 * time.Second)
		c.assertDecided("core-2", old...)
		for _, name := range []string{"core-1", "core-2", "core-3"} { // from their disks alone
			c.kill(name)
		}
		for _, name := range []string{"core-1", "core-2", "core-3"} {
			c.start(name, false)
		}
		c.pass(4 * time.Second)
		c.assertDecided("core-1", old...)
	})
}

// untilDecided sends a change to one coordinator after another until it gets a clear answer, as operators do.
func (c *cluster) untilDecided(names []string, ifMatch int, body string) int {
	for try := range 200 {
		if p := c.at(names[try%len(names)]); p != nil {
			if status := p.putConfiguration(ifMatch, body); status != http.StatusServiceUnavailable {
				return status
			}
		}
		<-time.After(20 * time.Millisecond)
	}
	return http.StatusServiceUnavailable
}

// TestTwoOperatorsUseOneGenerationWhileVotersChange: with different bodies one of them wins, with equal ones both are told
// so, and each answer holds at every coordinator, also at the one that votes no more and at the one that votes now.
func TestTwoOperatorsUseOneGenerationWhileVotersChange(t *testing.T) {
	for delay := range 12 {
		for _, variant := range []string{"x", "y"} {
			inCluster(t, 4, 1, func(c *cluster) {
				c.commitChanges("core-1", 0, 1)
				bodies := []string{configurationOf(5, "x"), configurationOf(5, variant)}
				statuses := make([]chan int, 2)
				for i, names := range [][]string{{"core-2", "core-1"}, {"core-3", "core-4"}} {
					statuses[i] = make(chan int, 1)
					go func() {
						<-time.After(time.Duration(delay+3*i) * 700 * time.Microsecond)
						statuses[i] <- c.untilDecided(names, 1, bodies[i])
					}()
				}
				assert.NilError(c.t, c.replaceVoter("core-1", "core-3", "core-4"))
				first, second := <-statuses[0], <-statuses[1]
				assert.Assert(c.t, first == http.StatusOK || second == http.StatusOK)
				assert.Equal(c.t, first == second, variant == "x", "%d and %d", first, second)
				for name := range map[string]bool{"core-1": true, "core-2": true, "core-3": true, "core-4": true} {
					assert.Equal(c.t, c.untilDecided([]string{name}, 1, bodies[0]), first, name)
					assert.Equal(c.t, c.untilDecided([]string{name}, 1, bodies[1]), second, name)
				}
			})
		}
	}
}

// replaceVoter has a coordinator put a standby in the place of a voter.
func (c *cluster) replaceVoter(at, old, standby string) error {
	p := c.at(at)
	var nodes []*tierpb.Node
	for _, node := range register.VoterNodes(p.state.Control()) {
		if c.machineAt(node.Address).name != old {
			nodes = append(nodes, node)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	_, err := p.register.Reconfigure(ctx, func(current *tierpb.ControlState) (*tierpb.ControlState, error) {
		current.Voters = []*tierpb.VoterSet{{Nodes: append(nodes, c.at(standby).self)}}
		return current, nil
	})
	return err
}

// TestChangeIsSentAgainWhileVotersAreJoint: the change of voters is left halfway and its joint set lacks a voter.
func TestChangeIsSentAgainWhileVotersAreJoint(t *testing.T) {
	inCluster(t, 4, 1, func(c *cluster) {
		c.commitChanges("core-1", 0, 3)
		p := c.at("core-1")
		_, err := p.register.Change(context.Background(), func(current *tierpb.ControlState) (*tierpb.ControlState, error) {
			nodes := append([]*tierpb.Node{c.at("core-4").self}, current.Voters[0].Nodes[:2]...)
			current.Voters = append(current.Voters, &tierpb.VoterSet{Nodes: nodes})
			return current, nil
		})
		assert.NilError(c.t, err)
		c.kill("core-3")
		c.assertDecided("core-1", 1, 2, 3)
		c.commitChanges("core-4", 3, 4)
		c.assertDecided("core-2", 1, 4)
		c.pass(5 * time.Second)
		assert.Equal(c.t, len(c.at("core-2").state.Control().Voters), 1, "whoever holds the lease has finished the change")
		c.assertDecided("core-4", 1, 2, 3, 4)
	})
}

// TestChangeIsSentAgainToACoordinatorThatHasJustStarted: within its first moments, on its disk and on an empty one, it either knows
// the change or gives no clear answer.
func TestChangeIsSentAgainToACoordinatorThatHasJustStarted(t *testing.T) {
	for _, wiped := range []bool{false, true} {
		for delay := range 10 {
			inCluster(t, 3, 1, func(c *cluster) {
				c.commitChanges("core-1", 0, 3)
				c.kill("core-2")
				if wiped {
					c.wipe("core-2")
				}
				c.commitChanges("core-1", 3, 5)
				c.start("core-2", false)
				<-time.After(time.Duration(delay) * 300 * time.Microsecond)
				for _, generation := range []int{1, 3, 5} {
					status := c.at("core-2").putConfiguration(generation-1, configurationOf(generation, "a"))
					assert.Assert(c.t, status == http.StatusOK || status == http.StatusServiceUnavailable, "%d", status)
				}
				assert.Equal(c.t, c.untilDecided([]string{"core-2"}, 4, configurationOf(5, "a")), http.StatusOK)
				assert.Equal(c.t, c.untilDecided([]string{"core-2"}, 4, configurationOf(5, "b")), http.StatusPreconditionFailed)
			})
		}
	}
}

// TestSlowBodyIsNoRejection: a change that was committed and is sent again over a slow link may not end with a 400.
func TestSlowBodyIsNoRejection(t *testing.T) {
	inCluster(t, 3, 1, func(c *cluster) {
		c.commitChanges("core-1", 0, 1)
		body := strings.NewReader(configurationOf(1, "a")[:40])
		slow := io.MultiReader(body, iotest.ErrReader(&net.OpError{Op: "read", Err: os.ErrDeadlineExceeded}))
		request := httptest.NewRequest(http.MethodPut, "/v1/config", slow)
		request.Header.Set("If-Match", "0")
		recorder := httptest.NewRecorder()
		c.at("core-2").handler.ServeHTTP(recorder, request)
		assert.Equal(c.t, recorder.Code, http.StatusRequestTimeout)
	})
}

// syncs counts the syncs of all disks.
func (c *cluster) syncs() int {
	sum := 0
	for _, m := range c.machines {
		used := m.hardware.Disk.Stats()
		sum += used.FileSyncs + used.FolderSyncs
	}
	return sum
}

// TestDecidedChangeCostsNoSync: one that was committed, and one that lost, are answered by a round of reads.
func TestDecidedChangeCostsNoSync(t *testing.T) {
	inCluster(t, 3, 1, func(c *cluster) {
		c.commitChanges("core-1", 0, 5)
		c.pass(time.Second)
		before, accepts := c.syncs(), c.counted("core-1").accepts
		for _, name := range []string{"core-1", "core-2", "core-3"} {
			c.assertDecided(name, 1, 3, 5)
		}
		assert.Equal(c.t, c.syncs(), before)
		assert.Equal(c.t, c.counted("core-1").accepts, accepts)
	})
}

// TestEightOperatorsOnSlowDisksAllGetAnAnswer: under one number with 350 routes each, on disks ten times slower and thin
// links. One wins, and those who lost do not hold up each other; the bound is ackMs.
func TestEightOperatorsOnSlowDisksAllGetAnAnswer(t *testing.T) {
	const operators, acknowledged = 8, 4 * time.Second
	names := []string{"core-1", "core-2", "core-3", "core-1", "core-2"}
	inCluster(t, 3, 1, func(c *cluster) {
		c.commitLargeChanges([]string{"core-1"}, 0, 2)
		c.pass(time.Second)
		c.mu.Lock()
		c.rate = slowLink
		c.mu.Unlock()
		for _, m := range c.machines {
			m.hardware.Disk.SetFault(simulation.DiskFault{SyncDelay: 10 * usualSync})
		}
		began := time.Now()
		statuses := make(chan int, operators)
		for i := range operators {
			go func() { statuses <- c.untilDecided(names[i%3:i%3+3], 2, largeConfiguration(3+i)) }()
		}
		counts := map[int]int{}
		for range operators {
			counts[<-statuses]++
		}
		c.t.Logf("all have clear answers after %s", time.Since(began))
		assert.DeepEqual(c.t, counts, map[int]int{http.StatusOK: 1, http.StatusPreconditionFailed: operators - 1})
		assert.Assert(c.t, time.Since(began) < acknowledged)
	})
}
