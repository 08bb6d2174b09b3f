package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Bounds of the time until the last agent knows a change of the weights, in simulated time, counted from the commit.
const (
	weightsBound         = 300 * time.Millisecond  // without faults
	weightsBoundOfSilent = 1500 * time.Millisecond // for agents whose sources have all just stopped replying
)

// configureAndAwait commits the next control state, and returns when the first half and the last of the agents know it.
func (f *fleet) configureAndAwait(version uint64, bound time.Duration) (half, last time.Duration) {
	f.t.Helper()
	f.configure(version)
	began := time.Now()
	for time.Since(began) <= bound {
		known := 0
		for _, a := range f.agents {
			if a.state.Control().GetVersion() >= version {
				known++
			}
		}
		if half == 0 && known*2 >= len(f.agents) {
			half = time.Since(began)
		}
		if known == len(f.agents) {
			return half, time.Since(began)
		}
		f.step()
	}
	f.t.Fatalf("not all agents know version %d within %v", version, bound)
	return 0, 0
}

// Requests that begin on older weights lose a part of their value from 1.5 s after the acknowledgement on: by then every agent
// that can reach a coordinator with a quorum knows the newer ones, whatever has just happened to its sources.
func TestNewWeightsReachAllAgentsInTime(t *testing.T) {
	for name, test := range map[string]struct {
		bound  time.Duration
		before func(f *fleet)
	}{
		"no fault":                    {weightsBound, func(*fleet) {}},
		"two coordinators lose power": {weightsBoundOfSilent, func(f *fleet) { f.coordinators[0].powerLoss(); f.coordinators[1].powerLoss() }},
		"two coordinators are killed": {weightsBoundOfSilent, func(f *fleet) { f.coordinators[0].kill(); f.coordinators[1].kill() }},
		"two coordinators cannot reach the agents": {weightsBoundOfSilent, func(f *fleet) {
			for _, a := range f.agents {
				for _, c := range f.coordinators[:2] {
					f.network.Partition(c.self.Address, a.self.Address, true)
				}
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			forEachSeed(t, 7, func(t *testing.T, f *fleet) {
				t.Helper()
				f.advance(spreadTime)
				version := uint64(1)
				for range 3 { // at three moments of the agents' polls
					version++
					half, last := f.configureAndAwait(version, weightsBound)
					t.Logf("without faults: half of the agents after %v, the last after %v", half, last)
				}
				test.before(f)
				half, last := f.configureAndAwait(version+1, test.bound)
				t.Logf("%s: half of the agents after %v, the last after %v", name, half, last)
				assert.Assert(t, last <= test.bound)
			})
		})
	}
}
