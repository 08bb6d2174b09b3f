package coordinator

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/failpoint"
)

// injectAtJoint injects a fault when a machine's proposer is between the two steps of a change of voters for the first time: the
// joint voters are chosen, the new ones are not proposed yet. The proposer stops if fault returns true. The returned function
// reports whether the fault was injected.
func (c *cluster) injectAtJoint(name string, fault func() (stops bool)) (injected func() bool) {
	once, mu, done := &sync.Once{}, &sync.Mutex{}, false
	c.process(name).failpoints.set(func(passed failpoint.Point) (stops bool) {
		if passed == failpoint.VotersJoint {
			once.Do(func() {
				stops = fault()
				mu.Lock()
				defer mu.Unlock()
				done = true
			})
		}
		return stops
	})
	return func() bool {
		mu.Lock()
		defer mu.Unlock()
		return done
	}
}

// replaceWithEmptyDisk replaces a machine by another one with an empty disk and the same address.
func (c *cluster) replaceWithEmptyDisk(name string) {
	c.kill(name)
	c.wipe(name)
	c.start(name, false)
}

// awaitStableVoters waits up to 20 s until there is a single voter set of the given size whose voters all run. Then it commits
// a configuration at each of them, the first one on top of the given generation.
func (c *cluster) awaitStableVoters(size int, generation int) {
	c.t.Helper()
	running := c.runningMachines()
	var voters []string
	for range 40 {
		c.advance(500 * time.Millisecond)
		voters = c.voterNames(running[0])
		allRun := !slices.ContainsFunc(voters, func(name string) bool { return !slices.Contains(running, name) })
		if len(voters) == size && allRun && c.allVotersRun(running[0]) {
			break
		}
	}
	assert.Equal(c.t, len(voters), size, "%v of %v", voters, running)
	for _, name := range voters {
		assert.Assert(c.t, slices.Contains(running, name), "%s of %v does not run", name, voters)
		assert.Equal(c.t, c.process(name).putConfiguration(generation, configurationOf(generation+1, "a")), http.StatusOK, name)
		generation++
		c.advance(100 * time.Millisecond)
	}
}

// allVotersRun reports whether a machine knows a single voter set, and each voter's identity is that of the process at its address.
func (c *cluster) allVotersRun(name string) bool {
	sets := c.process(name).state.Control().GetVoters()
	if len(sets) != 1 {
		return false
	}
	for _, node := range sets[0].Nodes {
		p := c.process(c.machineAt(node.Address).name)
		if p == nil || p.self.Identity != node.Identity {
			return false
		}
	}
	return true
}

func (c *cluster) runningMachines() (names []string) {
	for name := range c.machines {
		if c.process(name) != nil {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// jointFault is a fault between the two steps of a change of voters. The change replaces core-2, which was lost, by core-4, which
// also holds the lease. core-5 is another standby.
type jointFault struct {
	name       string
	inject     func(c *cluster) (stops bool) // injects the fault; returns whether the lease holder's proposer stops
	afterwards func(c *cluster)              // runs after the fault; may be nil
}

var jointFaults = []jointFault{
	{"no fault", func(*cluster) bool { return false }, nil},
	{"the lease holder is killed", func(c *cluster) bool {
		c.kill("core-4")
		return true
	}, nil},
	{"the lease holder is killed and restarted", func(c *cluster) bool {
		c.kill("core-4")
		return true
	}, func(c *cluster) { c.start("core-4", false) }},
	{"the lease holder is isolated for 20 s", func(c *cluster) bool {
		c.isolate("core-4", true)
		return false
	}, func(c *cluster) {
		c.advance(20 * time.Second)
		c.isolate("core-4", false)
	}},
	{"the other standby is killed", func(c *cluster) bool {
		c.kill("core-5")
		return false
	}, nil},
	{"the other standby is wiped", func(c *cluster) bool {
		c.replaceWithEmptyDisk("core-5")
		return false
	}, nil},
	{"the old voter is restarted", func(c *cluster) bool {
		c.start("core-2", false)
		return false
	}, nil},
	{"the old voter is restarted with an empty disk", func(c *cluster) bool {
		c.replaceWithEmptyDisk("core-2")
		return false
	}, nil},
	{"a voter of both sets is killed and restarted", func(c *cluster) bool {
		c.kill("core-3")
		return false
	}, func(c *cluster) {
		c.advance(2 * time.Second)
		c.start("core-3", false)
	}},
	{"all are killed and restarted", func(c *cluster) bool {
		for _, name := range []string{"core-1", "core-3", "core-4", "core-5"} {
			c.kill(name)
		}
		return true
	}, func(c *cluster) {
		c.advance(2 * time.Second)
		for _, name := range []string{"core-1", "core-3", "core-4", "core-5"} {
			c.start(name, false)
		}
	}},
}

// A voter is lost, and a second fault occurs between the two steps of its replacement. In the end there are three running voters,
// and changes are committed.
func TestFaultDuringJointVoters(t *testing.T) {
	for _, fault := range jointFaults {
		t.Run(fault.name, func(t *testing.T) {
			withLeaseHolder(t, "core-4", 5, 1, func(c *cluster) {
				close(c.openCandidacy)
				injected := c.injectAtJoint("core-4", func() bool { return fault.inject(c) })
				c.kill("core-2")
				for range 50 {
					if c.advance(100 * time.Millisecond); injected() {
						break
					}
				}
				assert.Assert(t, injected())
				if fault.afterwards != nil {
					fault.afterwards(c)
				}
				c.awaitStableVoters(3, 1)
			})
		})
	}
}

// Two of five voters are lost at once, and the lease holder or a remaining voter restarts between the two steps of their
// replacement.
func TestTwoOfFiveVotersLostWithFaultDuringJointVoters(t *testing.T) {
	for _, restarted := range []string{"core-6", "core-3"} {
		t.Run(restarted, func(t *testing.T) {
			withLeaseHolder(t, "core-6", 7, 2, func(c *cluster) {
				c.advance(3 * time.Second)
				assert.Equal(t, len(c.voterNames("core-1")), 5)
				close(c.openCandidacy)
				var lost []string
				for _, name := range c.voterNames("core-1") {
					if name != "core-6" && name != "core-3" && len(lost) < 2 {
						lost = append(lost, name)
					}
				}
				injected := c.injectAtJoint("core-6", func() bool {
					c.kill(restarted)
					return restarted == "core-6"
				})
				for _, name := range lost {
					c.kill(name)
				}
				for range 50 {
					if c.advance(100 * time.Millisecond); injected() {
						break
					}
				}
				assert.Assert(t, injected())
				c.advance(2 * time.Second)
				c.start(restarted, false)
				c.awaitStableVoters(5, 1)
			})
		})
	}
}

// A voter is killed between the two steps of its vote transfer. Then another voter shuts down, and its transfer completes that of
// the first. Then a third voter is lost, and the cluster still recovers.
func TestVoteTransferCompletesInterruptedTransfer(t *testing.T) {
	withLeaseHolder(t, "core-6", 6, 1, func(c *cluster) {
		c.kill("core-6") // from now on no machine holds the lease
		ctx, cancel := context.WithCancel(context.Background())
		injected := c.injectAtJoint("core-2", func() bool {
			c.kill("core-2")
			cancel()
			return true
		})
		c.process("core-2").transfer.Run(ctx)
		assert.Assert(t, injected())
		c.advance(100 * time.Millisecond)
		assert.Equal(t, len(c.process("core-1").acceptor.AcceptedValue().Voters), 2)
		c.process("core-1").transfer.Run(context.Background())
		c.kill("core-1")
		c.advance(1500 * time.Millisecond) // until the others know the chosen value
		assert.DeepEqual(t, c.voterNames("core-3"), []string{"core-3", "core-4", "core-5"})
		c.replaceWithEmptyDisk("core-3")
		assert.Equal(t, c.process("core-5").putConfiguration(1, configurationOf(2, "a")), http.StatusOK)
		close(c.openCandidacy)
		c.awaitStableVoters(3, 2)
	})
}

// A voter is lost and replaced. At various stages of this replacement another voter is shut down, whose replacement machine
// already runs.
func TestPlannedReplacementDuringReplacementOfLostVoter(t *testing.T) {
	for delay := time.Duration(0); delay <= 3*time.Second; delay += 150 * time.Millisecond {
		t.Run(fmt.Sprint(delay), func(t *testing.T) {
			withLeaseHolder(t, "core-1", 5, 1, func(c *cluster) {
				close(c.openCandidacy)
				c.replaceWithEmptyDisk("core-2")
				c.advance(delay)
				c.process("core-3").transfer.Run(context.Background())
				c.kill("core-3")
				c.awaitStableVoters(3, 1)
			})
		})
	}
}

// All coordinators shut down one after the other, each with a vote transfer, and restart at once.
func TestRollingRestartWithVoteTransfers(t *testing.T) {
	withLeaseHolder(t, "core-1", 4, 1, func(c *cluster) {
		close(c.openCandidacy)
		for generation, name := range []string{"core-1", "core-2", "core-3", "core-4", "core-1", "core-2"} {
			c.process(name).transfer.Run(context.Background())
			c.kill(name)
			c.start(name, false)
			c.advance(time.Second)
			assert.Equal(t, c.process("core-4").putConfiguration(1+generation, configurationOf(2+generation, "a")), http.StatusOK, name)
		}
		c.awaitStableVoters(3, 7)
	})
}

// Between the two steps of a vote transfer, another voter or the standby that receives the vote loses its disk. The transfer is
// completed before the process ends.
func TestVoterIsWipedDuringVoteTransfer(t *testing.T) {
	for _, wiped := range []string{"core-1", "core-3", "core-4"} {
		t.Run(wiped, func(t *testing.T) {
			withLeaseHolder(t, "core-5", 5, 1, func(c *cluster) {
				close(c.openCandidacy)
				injected := c.injectAtJoint("core-2", func() bool {
					c.replaceWithEmptyDisk(wiped)
					return false
				})
				c.process("core-2").transfer.Run(context.Background())
				assert.Assert(t, injected())
				c.kill("core-2")
				c.awaitStableVoters(3, 1)
			})
		})
	}
}
