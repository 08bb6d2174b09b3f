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
	firstSeed = flag.Uint64("first-seed", 1, "first seed of the random days of orders")
	seedCount = flag.Int("seeds", 6, "number of random days of orders")
)

// Times of a random day.
const (
	dayTime     = 20 * time.Second
	troubleGap  = 700 * time.Millisecond
	recoverTime = 8 * time.Second
	syncStep    = 20 * time.Millisecond
	callStep    = 10 * time.Millisecond
)

// drawnOrder is an order that operators send, perhaps several of them, and again.
type drawnOrder struct {
	ifMatch, generation int
	variant             string
}

// clearAnswers are those that an order got.
type clearAnswers struct{ taken, refused bool }

// day is a random run of operators among troubles.
type day struct {
	*cluster
	names []string

	mu     sync.Mutex
	orders map[drawnOrder]clearAnswers
	sent   []drawnOrder
	newest int // generation that some operator was told to be in force
	counts map[int]int
	tally  map[string]int
}

// TestRandomDaysOfOrders has operators send orders under few numbers with few bodies, new and old ones, to any coordinator,
// among kills, losses of disks, cuts both ways and one way, and changes of voters that follow from them. No order is
// ever both acknowledged and refused, and no two on top of one version are acknowledged.
func TestRandomDaysOfOrders(t *testing.T) {
	days := *seedCount
	if testing.Short() {
		days = min(days, 2)
	}
	counts, tally := map[int]int{}, map[string]int{}
	for seed := *firstSeed; seed < *firstSeed+uint64(days); seed++ {
		inCluster(t, 4, 1, func(c *cluster) {
			d := &day{
				cluster: c, names: []string{"core-1", "core-2", "core-3", "core-4"}, orders: map[drawnOrder]clearAnswers{},
				counts: counts, tally: tally,
			}
			d.play(seed)
		})
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
	t.Logf("%d days: answers %v, troubles %v", days, counts, tally)
	assert.Assert(t, counts[http.StatusOK] > 0 && counts[http.StatusPreconditionFailed] > 0)
}

func (d *day) play(seed uint64) {
	d.slowDown(seed)
	until := time.Now().Add(dayTime)
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
		d.trouble(random)
		<-time.After(time.Duration(random.Int64N(int64(troubleGap))))
	}
	operators.Wait()
	d.recover()
	d.judgeAll()
}

// slowDown gives the disks and the links of a day some of four and three speeds.
func (d *day) slowDown(seed uint64) {
	for _, m := range d.machines {
		m.hardware.Disk.SetFault(simulation.DiskFault{SyncDelay: time.Duration(seed%4) * syncStep})
	}
	d.delay.Store(int64(callDelay + time.Duration(seed%3)*callStep))
}

// operate sends one order: a new one on top of the newest version that is known, or one that somebody sent before.
func (d *day) operate(random *rand.Rand) {
	d.mu.Lock()
	order := drawnOrder{ifMatch: d.newest, generation: d.newest + 1 + random.IntN(2), variant: string("ab"[random.IntN(2)])}
	if len(d.sent) > 0 && random.IntN(3) == 0 {
		order = d.sent[random.IntN(len(d.sent))]
	}
	if _, known := d.orders[order]; !known {
		d.orders[order] = clearAnswers{}
		d.sent = append(d.sent, order)
	}
	d.mu.Unlock()
	d.send(d.names[random.IntN(len(d.names))], order)
}

// send sends an order to one coordinator and checks its answer against all that was told before.
func (d *day) send(name string, order drawnOrder) int {
	p := d.at(name)
	if p == nil {
		return http.StatusServiceUnavailable
	}
	status := p.configured(order.ifMatch, configurationOf(order.generation, order.variant))
	if d.at(name) != p {
		return http.StatusServiceUnavailable // it was killed before its answer left
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.counts[status]++
	known := d.orders[order]
	switch status {
	case http.StatusOK:
		known.taken = true
		d.newest = max(d.newest, order.generation)
	case http.StatusPreconditionFailed:
		known.refused = true
	default:
		assert.Check(d.t, status == http.StatusServiceUnavailable, "%v at %s: %d", order, name, status)
	}
	d.orders[order] = known
	assert.Check(d.t, !known.taken || !known.refused, "%v is acknowledged and refused, at last at %s", order, name)
	for other, told := range d.orders {
		twice := other != order && other.ifMatch == order.ifMatch && told.taken && known.taken
		assert.Check(d.t, !twice, "%v and %v are both acknowledged", order, other)
	}
	return status
}

// trouble brings one about.
func (d *day) trouble(random *rand.Rand) {
	name, other := d.names[random.IntN(len(d.names))], d.names[random.IntN(len(d.names))]
	lasts := time.Duration(random.Int64N(int64(3 * time.Second)))
	kind := []string{"kill", "wipe", "cut off", "cut one way", "kill all"}[random.IntN(5)]
	switch kind {
	case "wipe":
		if !d.whole() {
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
	case "cut off":
		d.isolate(name, true)
		<-time.After(lasts)
		d.isolate(name, false)
	case "cut one way":
		d.setCut(name, other, name != other)
		<-time.After(lasts)
		d.setCut(name, other, false)
	}
	d.tally[kind]++
}

// whole says that every voter runs and has the newest value on its disk, so that one disk may be lost.
func (d *day) whole() bool {
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

// recover lets the members find each other again.
func (d *day) recover() {
	d.pass(recoverTime)
	for range 20 {
		if d.whole() {
			return
		}
		d.pass(time.Second)
	}
	assert.Assert(d.t, d.whole(), "the members do not recover")
}

// judgeAll has all orders sent again, the newest to every coordinator, and checks that those taken follow each other.
func (d *day) judgeAll() {
	inForce := int(d.generations(d.names[0])[0]) // an order without an answer may have been the last one taken
	assert.Assert(d.t, inForce >= d.newest, "%d was acknowledged, %d is in force", d.newest, inForce)
	d.newest = inForce
	for i, name := range d.names {
		for j, order := range d.sent {
			if order.ifMatch < d.newest && (j%len(d.names) == i || j+20 > len(d.sent)) {
				status := d.send(name, order)
				assert.Check(d.t, status != http.StatusServiceUnavailable, "%v at %s", order, name)
			}
		}
	}
	taken := map[int]drawnOrder{}
	for order, told := range d.orders {
		if told.taken {
			taken[order.ifMatch] = order
		}
	}
	generation := 0
	for generation < d.newest {
		next, found := taken[generation]
		assert.Assert(d.t, found, "nobody was told what follows %d of %d", generation, d.newest)
		generation = next.generation
	}
	assert.Equal(d.t, fmt.Sprint(d.generations(d.names...)), fmt.Sprint([]int{generation, generation, generation, generation}))
}
