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

// atJoint lets something happen once a machine's proposer comes to the point between the two steps of a change of
// voters: the joint ones are chosen, the final ones are not proposed. The function reports whether that has been.
func (c *cluster) atJoint(name string, fault func() (dies bool)) (struck func() bool) {
	once, mu, done := &sync.Once{}, &sync.Mutex{}, false
	c.at(name).points.set(func(passed failpoint.Point) (dies bool) {
		if passed == failpoint.VotersJoint {
			once.Do(func() {
				dies = fault()
				mu.Lock()
				defer mu.Unlock()
				done = true
			})
		}
		return dies
	})
	return func() bool {
		mu.Lock()
		defer mu.Unlock()
		return done
	}
}

// replace ends a machine for good; another comes up in its place with an empty disk and the same address.
func (c *cluster) replaceByEmpty(name string) {
	c.kill(name)
	c.wipe(name)
	c.start(name, false)
}

// awaitStableVoters waits until one set of voters is in force of which all run, and a configuration is committed at each of them.
func (c *cluster) awaitStableVoters(size int, generation int) {
	c.t.Helper()
	running := c.runningMachines()
	var voters []string
	for range 40 {
		c.pass(500 * time.Millisecond)
		voters = c.voterNames(running[0])
		alive := !slices.ContainsFunc(voters, func(name string) bool { return !slices.Contains(running, name) })
		if len(voters) == size && alive && c.votersRun(running[0]) {
			break
		}
	}
	assert.Equal(c.t, len(voters), size, "%v of %v", voters, running)
	for _, name := range voters {
		assert.Assert(c.t, slices.Contains(running, name), "%s of %v does not run", name, voters)
		assert.Equal(c.t, c.at(name).putConfiguration(generation, configurationOf(generation+1, "a")), http.StatusOK, name)
		generation++
		c.pass(100 * time.Millisecond)
	}
}

// votersRun reports whether the voters are one set, each named with the identity that runs at its address.
func (c *cluster) votersRun(name string) bool {
	sets := c.at(name).state.Control().GetVoters()
	if len(sets) != 1 {
		return false
	}
	for _, node := range sets[0].Nodes {
		p := c.at(c.machineAt(node.Address).name)
		if p == nil || p.self.Identity != node.Identity {
			return false
		}
	}
	return true
}

func (c *cluster) runningMachines() (names []string) {
	for name := range c.machines {
		if c.at(name) != nil {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// jointFault is a fault between the two steps of a change of voters that puts core-5 in the place of core-2, which
// was lost; core-4 and core-5 stand by or one of them does, and core-4 holds the lease.
type jointFault struct {
	name string
	hit  func(c *cluster) (dies bool)
	then func(c *cluster)
}

var jointFaults = []jointFault{
	{"nothing", func(*cluster) bool { return false }, nil},
	{"the lease holder dies", func(c *cluster) bool {
		c.kill("core-4")
		return true
	}, nil},
	{"the lease holder dies and comes back", func(c *cluster) bool {
		c.kill("core-4")
		return true
	}, func(c *cluster) { c.start("core-4", false) }},
	{"the lease holder is isolated for 20 s", func(c *cluster) bool {
		c.isolate("core-4", true)
		return false
	}, func(c *cluster) {
		c.pass(20 * time.Second)
		c.isolate("core-4", false)
	}},
	{"the new voter dies", func(c *cluster) bool {
		c.kill("core-5")
		return false
	}, nil},
	{"the new voter is wiped", func(c *cluster) bool {
		c.replaceByEmpty("core-5")
		return false
	}, nil},
	{"the old one is back", func(c *cluster) bool {
		c.start("core-2", false)
		return false
	}, nil},
	{"the old one is back, wiped", func(c *cluster) bool {
		c.replaceByEmpty("core-2")
		return false
	}, nil},
	{"a voter that stays is killed and comes back", func(c *cluster) bool {
		c.kill("core-3")
		return false
	}, func(c *cluster) {
		c.pass(2 * time.Second)
		c.start("core-3", false)
	}},
	{"all are killed and come back", func(c *cluster) bool {
		for _, name := range []string{"core-1", "core-3", "core-4", "core-5"} {
			c.kill(name)
		}
		return true
	}, func(c *cluster) {
		c.pass(2 * time.Second)
		for _, name := range []string{"core-1", "core-3", "core-4", "core-5"} {
			c.start(name, false)
		}
	}},
}

// TestFaultBetweenTheStepsOfAReplacement: a voter is lost, and a second fault comes while its replacement is half
// done. The voters come to be three that run, and changes are committed.
func TestFaultBetweenTheStepsOfAReplacement(t *testing.T) {
	for _, fault := range jointFaults {
		t.Run(fault.name, func(t *testing.T) {
			inClusterLedBy(t, "core-4", 5, 1, func(c *cluster) {
				close(c.free)
				struck := c.atJoint("core-4", func() bool { return fault.hit(c) })
				c.kill("core-2")
				for range 50 {
					if c.pass(100 * time.Millisecond); struck() {
						break
					}
				}
				assert.Assert(t, struck())
				if fault.then != nil {
					fault.then(c)
				}
				c.awaitStableVoters(3, 1)
			})
		})
	}
}

// TestTwoOfFiveLostWithAFaultBetweenTheSteps: two of five voters are lost at once, and the lease holder dies or a voter that
// stays restarts while their replacement is half done.
func TestTwoOfFiveLostWithAFaultBetweenTheSteps(t *testing.T) {
	for _, back := range []string{"core-6", "core-3"} {
		t.Run(back, func(t *testing.T) {
			inClusterLedBy(t, "core-6", 7, 2, func(c *cluster) {
				c.pass(3 * time.Second)
				assert.Equal(t, len(c.voterNames("core-1")), 5)
				close(c.free)
				var lost []string
				for _, name := range c.voterNames("core-1") {
					if name != "core-6" && name != "core-3" && len(lost) < 2 {
						lost = append(lost, name)
					}
				}
				struck := c.atJoint("core-6", func() bool {
					c.kill(back)
					return back == "core-6"
				})
				for _, name := range lost {
					c.kill(name)
				}
				for range 50 {
					if c.pass(100 * time.Millisecond); struck() {
						break
					}
				}
				assert.Assert(t, struck())
				c.pass(2 * time.Second)
				c.start(back, false)
				c.awaitStableVoters(5, 1)
			})
		})
	}
}

// TestShutdownWhileAnotherChangeOfVotersIsHalfDone: a voter's vote transfer is left between its two steps, for its machine was
// taken away; then the next voter is told to stop, and a third is lost. The first transfer is finished by the second.
func TestShutdownWhileAnotherChangeOfVotersIsHalfDone(t *testing.T) {
	inClusterLedBy(t, "core-6", 6, 1, func(c *cluster) {
		c.kill("core-6") // nobody holds the lease
		life, end := context.WithCancel(context.Background())
		struck := c.atJoint("core-2", func() bool {
			c.kill("core-2")
			end()
			return true
		})
		c.at("core-2").transfer.Run(life)
		assert.Assert(t, struck())
		c.pass(100 * time.Millisecond)
		assert.Equal(t, len(c.at("core-1").acceptor.AcceptedValue().Voters), 2)
		c.at("core-1").transfer.Run(context.Background())
		c.kill("core-1")
		c.pass(1500 * time.Millisecond) // the others find out what was chosen
		assert.DeepEqual(t, c.voterNames("core-3"), []string{"core-3", "core-4", "core-5"})
		c.replaceByEmpty("core-3")
		assert.Equal(t, c.at("core-5").putConfiguration(1, configurationOf(2, "a")), http.StatusOK)
		close(c.free)
		c.awaitStableVoters(3, 2)
	})
}

// TestPlannedReplacementAtEveryMoment: the new machine comes first, then the old one is told to stop, while the
// replacement of another voter, which was lost, is at any stage.
func TestPlannedReplacementAtEveryMoment(t *testing.T) {
	for moment := time.Duration(0); moment <= 3*time.Second; moment += 150 * time.Millisecond {
		t.Run(fmt.Sprint(moment), func(t *testing.T) {
			inClusterLedBy(t, "core-1", 5, 1, func(c *cluster) {
				close(c.free)
				c.replaceByEmpty("core-2")
				c.pass(moment)
				c.at("core-3").transfer.Run(context.Background())
				c.kill("core-3")
				c.awaitStableVoters(3, 1)
			})
		})
	}
}

// TestRollingRestartWithVoteTransfers: all coordinators are told to stop one after the other, and start again at once.
func TestRollingRestartWithVoteTransfers(t *testing.T) {
	inClusterLedBy(t, "core-1", 4, 1, func(c *cluster) {
		close(c.free)
		for generation, name := range []string{"core-1", "core-2", "core-3", "core-4", "core-1", "core-2"} {
			c.at(name).transfer.Run(context.Background())
			c.kill(name)
			c.start(name, false)
			c.pass(time.Second)
			assert.Equal(t, c.at("core-4").putConfiguration(1+generation, configurationOf(2+generation, "a")), http.StatusOK, name)
		}
		c.awaitStableVoters(3, 7)
	})
}

// TestVoterIsWipedBetweenTheStepsOfAVoteTransfer: a voter that is told to stop has made the joint voters when another voter,
// or the standby that it gives its vote to, loses its disk. It finishes before it ends.
func TestVoterIsWipedBetweenTheStepsOfAVoteTransfer(t *testing.T) {
	for _, wiped := range []string{"core-1", "core-3", "core-4"} {
		t.Run(wiped, func(t *testing.T) {
			inClusterLedBy(t, "core-5", 5, 1, func(c *cluster) {
				close(c.free)
				struck := c.atJoint("core-2", func() bool {
					c.replaceByEmpty(wiped)
					return false
				})
				c.at("core-2").transfer.Run(context.Background())
				assert.Assert(t, struck())
				c.kill("core-2")
				c.awaitStableVoters(3, 1)
			})
		})
	}
}
