package coordinator

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/register"
	"pulleygw.example/pulleygw/internal/tier/simulation"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

var (
	firstSeed = flag.Uint64("first-seed", 1, "first seed of the random schedules of configuration changes")
	seedCount = flag.Int("seeds", 6, "number of random schedules of configuration changes")
)

// Times of a random schedule.
const (
	scheduleTime  = 20 * time.Second
	faultInterval = 700 * time.Millisecond
	recoveryTime  = 8 * time.Second
	syncDelayStep = 20 * time.Millisecond
	callDelayStep = 10 * time.Millisecond
)

// randomChange identifies a change. It may be sent several times and by several operators.
type randomChange struct {
	ifMatch, generation int
	variant             string
}

// outcomes records which responses a change has received.
type outcomes struct{ committed, rejected bool }

// changeSchedule is a random schedule of configuration changes and faults.
type changeSchedule struct {
	*cluster
	names []string

	mu           sync.Mutex
	changes      map[randomChange]outcomes
	sent         []randomChange
	newest       int            // newest acknowledged generation
	statusCounts map[int]int    // responses by status
	faultCounts  map[string]int // faults by kind
}

// Operators send new and repeated changes, with few generations and bodies, to random coordinators. Meanwhile coordinators are
// killed, wiped and partitioned in one or both directions, which also causes changes of the voters. No change may be both
// acknowledged and rejected, and no two changes with the same If-Match may be acknowledged.
func TestRandomConfigurationChangesUnderFaults(t *testing.T) {
	schedules := *seedCount
	if testing.Short() {
		schedules = min(schedules, 2)
	}
	statusCounts, faultCounts := map[int]int{}, map[string]int{}
	for seed := *firstSeed; seed < *firstSeed+uint64(schedules); seed++ {
		withCluster(t, 4, 1, func(c *cluster) {
			d := &changeSchedule{
				cluster: c, names: []string{"core-1", "core-2", "core-3", "core-4"}, changes: map[randomChange]outcomes{},
				statusCounts: statusCounts, faultCounts: faultCounts,
			}
			d.run(seed)
		})
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
	t.Logf("%d schedules: responses by status %v, faults %v", schedules, statusCounts, faultCounts)
	assert.Assert(t, statusCounts[http.StatusOK] > 0 && statusCounts[http.StatusPreconditionFailed] > 0)
}

// run runs the schedule of a seed and checks the outcomes.
func (d *changeSchedule) run(seed uint64) {
	d.setDelays(seed)
	until := time.Now().Add(scheduleTime)
	var operators sync.WaitGroup
	for i := range 4 {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		operators.Go(func() {
			for time.Now().Before(until) {
				d.sendRandomChange(random)
				<-time.After(time.Duration(random.IntN(250)) * time.Millisecond)
			}
		})
	}
	random := rand.New(rand.NewPCG(seed, 99))
	for time.Now().Before(until) {
		d.injectFault(random)
		<-time.After(time.Duration(random.Int64N(int64(faultInterval))))
	}
	operators.Wait()
	d.awaitRecovery()
	d.verifyOutcomes()
}

// setDelays sets one of four sync delays and one of three call delays, depending on the seed.
func (d *changeSchedule) setDelays(seed uint64) {
	for _, m := range d.machines {
		m.hardware.Disk.SetFault(simulation.DiskFault{SyncDelay: time.Duration(seed%4) * syncDelayStep})
	}
	d.delay.Store(int64(callDelay + time.Duration(seed%3)*callDelayStep))
}

// sendRandomChange sends a new change based on the newest acknowledged generation, or repeats an earlier one.
func (d *changeSchedule) sendRandomChange(random *rand.Rand) {
	d.mu.Lock()
	change := randomChange{ifMatch: d.newest, generation: d.newest + 1 + random.IntN(2), variant: string("ab"[random.IntN(2)])}
	if len(d.sent) > 0 && random.IntN(3) == 0 {
		change = d.sent[random.IntN(len(d.sent))]
	}
	if _, known := d.changes[change]; !known {
		d.changes[change] = outcomes{}
		d.sent = append(d.sent, change)
	}
	d.mu.Unlock()
	d.send(d.names[random.IntN(len(d.names))], change)
}

// send sends a change to one coordinator and checks the response against all earlier ones.
func (d *changeSchedule) send(name string, change randomChange) int {
	p := d.process(name)
	if p == nil {
		return http.StatusServiceUnavailable
	}
	status := p.putConfiguration(change.ifMatch, configurationOf(change.generation, change.variant))
	if d.process(name) != p {
		return http.StatusServiceUnavailable // the process was killed before it could respond
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.statusCounts[status]++
	known := d.changes[change]
	switch status {
	case http.StatusOK:
		known.committed = true
		d.newest = max(d.newest, change.generation)
	case http.StatusPreconditionFailed:
		known.rejected = true
	default:
		assert.Check(d.t, status == http.StatusServiceUnavailable, "%v at %s: %d", change, name, status)
	}
	d.changes[change] = known
	assert.Check(d.t, !known.committed || !known.rejected, "%v was both acknowledged and rejected, last by %s", change, name)
	for other, outcome := range d.changes {
		conflict := other != change && other.ifMatch == change.ifMatch && outcome.committed && known.committed
		assert.Check(d.t, !conflict, "%v and %v were both acknowledged", change, other)
	}
	return status
}

// injectFault injects one random fault and ends it after a random time.
func (d *changeSchedule) injectFault(random *rand.Rand) {
	name, other := d.names[random.IntN(len(d.names))], d.names[random.IntN(len(d.names))]
	duration := time.Duration(random.Int64N(int64(3 * time.Second)))
	kind := []string{"kill", "wipe", "isolate", "block one way", "kill all"}[random.IntN(5)]
	switch kind {
	case "wipe":
		if !d.fullyReplicated() {
			return // only one disk may be lost at a time
		}
		d.kill(name)
		d.wipe(name)
		<-time.After(duration / 10)
		d.start(name, false)
	case "kill":
		d.kill(name)
		<-time.After(duration / 3)
		d.start(name, false)
	case "kill all":
		for _, each := range d.names {
			d.kill(each)
		}
		<-time.After(duration / 10)
		for _, each := range d.names {
			d.start(each, false)
		}
	case "isolate":
		d.isolate(name, true)
		<-time.After(duration)
		d.isolate(name, false)
	case "block one way":
		d.setBlocked(name, other, name != other)
		<-time.After(duration)
		d.setBlocked(name, other, false)
	}
	d.faultCounts[kind]++
}

// fullyReplicated reports whether every voter runs and has the newest value on its disk, so that one disk may be lost. The voters
// must not be joint.
func (d *changeSchedule) fullyReplicated() bool {
	var newest *tierpb.ControlState
	accepted := map[uint64]uint64{}
	for _, name := range d.names {
		p := d.process(name)
		if value := p.acceptor.AcceptedValue(); value.GetVersion() >= newest.GetVersion() {
			newest = value
		}
		accepted[p.self.Identity] = p.acceptor.AcceptedValue().GetVersion()
	}
	if len(newest.GetVoters()) != 1 {
		return false
	}
	for _, voter := range register.VoterNodes(newest) {
		if version, runs := accepted[voter.Identity]; !runs || version < newest.Version {
			return false
		}
	}
	return true
}

// awaitRecovery waits until all voters run and have the newest value.
func (d *changeSchedule) awaitRecovery() {
	d.advance(recoveryTime)
	for range 20 {
		if d.fullyReplicated() {
			return
		}
		d.advance(time.Second)
	}
	assert.Assert(d.t, d.fullyReplicated(), "the coordinators did not recover")
}

// verifyOutcomes sends all changes again, the newest ones to every coordinator, and checks that the committed ones form a single
// sequence up to the current generation.
func (d *changeSchedule) verifyOutcomes() {
	current := int(d.generations(d.names[0])[0]) // may be above newest: the last committed change may have got no response
	assert.Assert(d.t, current >= d.newest, "generation %d was acknowledged, but %d is current", d.newest, current)
	d.newest = current
	for i, name := range d.names {
		for j, change := range d.sent {
			if change.ifMatch < d.newest && (j%len(d.names) == i || j+20 > len(d.sent)) {
				status := d.send(name, change)
				assert.Check(d.t, status != http.StatusServiceUnavailable, "%v at %s", change, name)
			}
		}
	}
	committed := map[int]randomChange{}
	for change, outcome := range d.changes {
		if outcome.committed {
			committed[change.ifMatch] = change
		}
	}
	generation := 0
	for generation < d.newest {
		next, found := committed[generation]
		assert.Assert(d.t, found, "no acknowledged change follows generation %d, current is %d", generation, d.newest)
		generation = next.generation
	}
	assert.Equal(d.t, fmt.Sprint(d.generations(d.names...)), fmt.Sprint([]int{generation, generation, generation, generation}))
}
