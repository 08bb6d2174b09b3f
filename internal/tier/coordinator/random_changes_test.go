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

// randomChange is a change that operators send, perhaps several of them, and again.
type randomChange struct {
	ifMatch, generation int
	variant             string
}

// outcomes are those that a change got.
type outcomes struct{ committed, rejected bool }

// changeSchedule is a random run of operators among faults.
type changeSchedule struct {
	*cluster
	names []string

	mu      sync.Mutex
	changes map[randomChange]outcomes
	sent    []randomChange
	newest  int // generation that some operator was told to be in force
	counts  map[int]int
	tally   map[string]int
}

// TestRandomConfigurationChangesUnderFaults has operators send changes under few numbers with few bodies, new and old ones, to any coordinator,
// among kills, losses of disks, partitions both ways and one way, and changes of voters that follow from them. No change is
// ever both acknowledged and rejected, and no two on top of one version are acknowledged.
func TestRandomConfigurationChangesUnderFaults(t *testing.T) {
	schedules := *seedCount
	if testing.Short() {
		schedules = min(schedules, 2)
	}
	counts, tally := map[int]int{}, map[string]int{}
	for seed := *firstSeed; seed < *firstSeed+uint64(schedules); seed++ {
		inCluster(t, 4, 1, func(c *cluster) {
			d := &changeSchedule{
				cluster: c, names: []string{"core-1", "core-2", "core-3", "core-4"}, changes: map[randomChange]outcomes{},
				counts: counts, tally: tally,
			}
			d.play(seed)
		})
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
	t.Logf("%d schedules: answers %v, faults %v", schedules, counts, tally)
	assert.Assert(t, counts[http.StatusOK] > 0 && counts[http.StatusPreconditionFailed] > 0)
}

func (d *changeSchedule) play(seed uint64) {
	d.slowDown(seed)
	until := time.Now().Add(scheduleTime)
	var operators sync.WaitGroup
	for i := range 4 {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		operators.Go(func() {
			for time.Now().Before(until) {
				d.operate(random)
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
	d.verifyAll()
}

// slowDown gives the disks and the links of a schedule some of four and three speeds.
func (d *changeSchedule) slowDown(seed uint64) {
	for _, m := range d.machines {
		m.hardware.Disk.SetFault(simulation.DiskFault{SyncDelay: time.Duration(seed%4) * syncDelayStep})
	}
	d.delay.Store(int64(callDelay + time.Duration(seed%3)*callDelayStep))
}

// operate sends one change: a new one on top of the newest version that is known, or one that somebody sent before.
func (d *changeSchedule) operate(random *rand.Rand) {
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

// send sends a change to one coordinator and checks its answer against all that was told before.
func (d *changeSchedule) send(name string, change randomChange) int {
	p := d.at(name)
	if p == nil {
		return http.StatusServiceUnavailable
	}
	status := p.putConfiguration(change.ifMatch, configurationOf(change.generation, change.variant))
	if d.at(name) != p {
		return http.StatusServiceUnavailable // it was killed before its answer left
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.counts[status]++
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
	assert.Check(d.t, !known.committed || !known.rejected, "%v is acknowledged and rejected, at last at %s", change, name)
	for other, told := range d.changes {
		twice := other != change && other.ifMatch == change.ifMatch && told.committed && known.committed
		assert.Check(d.t, !twice, "%v and %v are both acknowledged", change, other)
	}
	return status
}

// injectFault injects one fault and heals it.
func (d *changeSchedule) injectFault(random *rand.Rand) {
	name, other := d.names[random.IntN(len(d.names))], d.names[random.IntN(len(d.names))]
	lasts := time.Duration(random.Int64N(int64(3 * time.Second)))
	kind := []string{"kill", "wipe", "isolate", "block one way", "kill all"}[random.IntN(5)]
	switch kind {
	case "wipe":
		if !d.fullyReplicated() {
			return // one lost disk at a time
		}
		d.kill(name)
		d.wipe(name)
		<-time.After(lasts / 10)
		d.start(name, false)
	case "kill":
		d.kill(name)
		<-time.After(lasts / 3)
		d.start(name, false)
	case "kill all":
		for _, each := range d.names {
			d.kill(each)
		}
		<-time.After(lasts / 10)
		for _, each := range d.names {
			d.start(each, false)
		}
	case "isolate":
		d.isolate(name, true)
		<-time.After(lasts)
		d.isolate(name, false)
	case "block one way":
		d.setBlocked(name, other, name != other)
		<-time.After(lasts)
		d.setBlocked(name, other, false)
	}
	d.tally[kind]++
}

// fullyReplicated reports that every voter runs and has the newest value on its disk, so that one disk may be lost.
func (d *changeSchedule) fullyReplicated() bool {
	var newest *tierpb.ControlState
	accepted := map[uint64]uint64{}
	for _, name := range d.names {
		p := d.at(name)
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

// awaitRecovery lets the members find each other again.
func (d *changeSchedule) awaitRecovery() {
	d.pass(recoveryTime)
	for range 20 {
		if d.fullyReplicated() {
			return
		}
		d.pass(time.Second)
	}
	assert.Assert(d.t, d.fullyReplicated(), "the members do not recover")
}

// verifyAll has all changes sent again, the newest to every coordinator, and checks that those committed follow each other.
func (d *changeSchedule) verifyAll() {
	inForce := int(d.generations(d.names[0])[0]) // a change without an answer may have been the last one committed
	assert.Assert(d.t, inForce >= d.newest, "%d was acknowledged, %d is in force", d.newest, inForce)
	d.newest = inForce
	for i, name := range d.names {
		for j, change := range d.sent {
			if change.ifMatch < d.newest && (j%len(d.names) == i || j+20 > len(d.sent)) {
				status := d.send(name, change)
				assert.Check(d.t, status != http.StatusServiceUnavailable, "%v at %s", change, name)
			}
		}
	}
	committed := map[int]randomChange{}
	for change, told := range d.changes {
		if told.committed {
			committed[change.ifMatch] = change
		}
	}
	generation := 0
	for generation < d.newest {
		next, found := committed[generation]
		assert.Assert(d.t, found, "nobody was told what follows %d of %d", generation, d.newest)
		generation = next.generation
	}
	assert.Equal(d.t, fmt.Sprint(d.generations(d.names...)), fmt.Sprint([]int{generation, generation, generation, generation}))
}
