package turnstore

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
	"pulleygw.example/pulleygw/internal/tier/turns"
)

// seedsVariable asks for more schedules than a usual run plays.
const (
	seedsVariable = "PULLEYTIER_SCHEDULES"
	usualSeeds    = 4
)

func worldSeeds() int {
	if asked, err := strconv.Atoi(os.Getenv(seedsVariable)); err == nil {
		return asked
	}
	return usualSeeds
}

// playWorld plays one schedule, and then lets everything come back.
func playWorld(t *testing.T, seed uint64, of size) {
	t.Helper()
	t.Logf("seed %d, %d members of which %d may be lost", seed, of.members, of.tolerance)
	w := newWorld(t, seed, of)
	defer w.end()
	for range worldEvents {
		w.event()
		if t.Failed() {
			return
		}
	}
	for _, m := range w.machines {
		m.slow.Store(false)
	}
	for range of.tolerance { // for machines that were emptied while others were lost
		w.grow()
	}
	for m := range w.lost {
		w.lost[m] = time.Time{}
	}
	w.waitFor(func() bool { return len(w.lost) == 0 && len(w.control.Stores.Previous) == 0 })
	w.clients.Wait()
	for _, retirement := range w.control.Retirements {
		assert.Check(t, retirement.Completed, "%s", retirement.Node)
	}
	w.checkReads()
	t.Logf("epoch %d, %d losses, %d turns, %d claims, %d machines emptied", w.control.Stores.Epoch, w.losses,
		len(w.oracle.turns), len(w.oracle.spent), len(w.control.Retirements))
}

// Two disks are lost, the second while the first one's move is under way. What only they held may be gone; the others
// serve on, and take writes again.
func TestSecondLossInsideAMoveDoesNotStopTheTier(t *testing.T) {
	for seed := range uint64(worldSeeds()) {
		for _, of := range []size{{1, 3}, {1, 4}, {2, 5}} {
			synctest.Test(t, func(t *testing.T) {
				t.Logf("seed %d, %d members of which %d may be lost", seed, of.members, of.tolerance)
				w := newWorld(t, seed, of)
				defer w.end()
				for range 20 {
					w.save()
					w.spend()
					w.passTime(50 * time.Millisecond)
				}
				for range of.tolerance {
					w.lose(lossWipe)
				}
				w.waitFor(func() bool { return len(w.control.Stores.Previous) > 0 })
				w.beyond = true
				w.tolerated++
				w.lose(lossWipe)
				w.waitFor(func() bool { return len(w.lost) == 0 && len(w.control.Stores.Previous) == 0 })
				w.clients.Wait()
				assert.NilError(t, turns.NewClient(w.nowOptions()).Save(context.Background(), w.record("last", "")))
			})
		}
	}
}

// waitFor lets time go by until the tier has come to a state.
func (w *world) waitFor(reached func() bool) {
	limit := time.Now().Add(settleWithin)
	for !reached() {
		w.passTime(100 * time.Millisecond)
		if w.t.Failed() {
			return
		}
		assert.Assert(w.t, time.Now().Before(limit), "%s", w.describe())
	}
}

func (w *world) checkReads() {
	for _, id := range w.oracle.turns {
		chain, err := turns.NewClient(w.nowOptions()).Chain(context.Background(), id)
		assert.NilError(w.t, err, "%s\n%s", id, w.describe())
		assert.Equal(w.t, string(chain[0].Input), "in of "+id)
	}
	for _, m := range w.machines {
		w.teach(m.store)
	}
	assert.NilError(w.t, turns.NewClient(w.nowOptions()).Save(context.Background(), w.record("last", "")))
}

// event lets one thing happen, and some time go by.
func (w *world) event() {
	moved := len(w.control.Stores.Previous) > 0
	switch number := w.random.IntN(100); {
	case number < 30:
		w.save()
	case number < 45:
		w.spend()
	case number < 60:
		w.read()
		if moved { // answers from before and after the end of a move meet
			w.read()
			w.read()
		}
	case number < 68:
		w.lose(w.random.IntN(5))
	case number < 71 && len(w.machines) < w.most:
		w.grow()
	case number < 74:
		w.retire()
	case number < 77:
		w.allLosePower()
	case number < 79:
		w.merge()
	case number < 83:
		w.slowDown()
	}
	pause := time.Duration(w.random.Int64N(int64(10 * time.Millisecond)))
	if w.random.IntN(2) == 0 {
		pause = time.Duration(w.random.Int64N(int64(300 * time.Millisecond)))
	}
	w.passTime(pause)
	if moved && len(w.control.Stores.Previous) == 0 && w.random.IntN(2) == 0 {
		w.passTime(5 * time.Millisecond) // right after a repair
		w.lose(lossWipe)
	}
}

// Kinds of losses.
const (
	lossKill = iota
	lossPower
	lossWipe
	lossCut
	lossReplace // the machine never comes back, another one comes at another address
)

// lose takes a machine away, as long as no more are lost than are tolerated.
func (w *world) lose(kind int) {
	var running []*machine
	for _, m := range w.ordered() {
		if _, isLost := w.lost[m]; !isLost && m.store != nil {
			running = append(running, m)
		}
	}
	if len(w.lost) >= w.tolerated || len(running) == 0 {
		return
	}
	w.losses++
	m := running[w.random.IntN(len(running))]
	w.note("%s is lost, kind %d", m.address, kind)
	w.lost[m] = time.Now().Add(time.Duration(w.random.Int64N(int64(3 * time.Second))))
	switch kind {
	case lossKill:
		w.halt(m)
	case lossPower:
		w.halt(m)
		m.disk.losePower(w.random)
	case lossWipe:
		w.halt(m)
		w.wipeDisk(m)
	case lossCut:
		w.setCut(m, true)
	case lossReplace:
		w.moveTo(m)
	}
}

func (w *world) wipeDisk(m *machine) {
	w.wipe(m)
	m.disk.setSyncTime(w.syncTime(m))
}

// moveTo has an empty machine at another address take the place of one that is gone.
func (w *world) moveTo(m *machine) {
	w.halt(m)
	w.wipeDisk(m)
	w.cluster.mu.Lock()
	delete(w.machines, m.address)
	w.names++
	m.address = w.freshAddress(w.names)
	w.machines[m.address] = m
	w.cluster.mu.Unlock()
}

func (w *world) comeBack(m *machine) {
	w.setCut(m, false)
	if m.store == nil {
		w.run(m)
	}
}

// retire gives the order to empty a machine, where enough stay.
func (w *world) retire() {
	next := w.control.CloneVT()
	stores := next.Stores
	if len(stores.Current) <= 2*w.tolerance+1 {
		return
	}
	at := w.random.IntN(len(stores.Current))
	leaver := stores.Current[at]
	if len(stores.Previous) == 0 {
		stores.Previous = stores.Current
	}
	current := make([]*tierpb.Node, 0, len(stores.Current))
	stores.Current = append(append(current, stores.Current[:at]...), stores.Current[at+1:]...)
	stores.Epoch++
	w.note("retire %s", leaver.Name)
	next.Retirements = append(next.Retirements, &tierpb.Retirement{Node: leaver.Name, Identity: leaver.Identity})
	w.publish(next)
}

func (w *world) allLosePower() {
	for _, m := range w.ordered() {
		if m.store == nil {
			continue
		}
		w.halt(m)
		m.disk.losePower(w.random)
	}
	for _, m := range w.ordered() {
		if _, isLost := w.lost[m]; !isLost {
			w.run(m)
		}
	}
}

// slowDown makes one disk slow, and all others quick.
func (w *world) slowDown() {
	all := w.ordered()
	chosen := w.random.IntN(len(all))
	for i, m := range all {
		m.slow.Store(i == chosen)
	}
}

func (w *world) merge() {
	for _, m := range w.ordered() {
		if m.store != nil && w.random.IntN(2) == 0 {
			_ = m.store.Compact(context.Background())
		}
	}
}

// describe tells how the members and the machines are.
func (w *world) describe() string {
	stores := w.control.Stores
	text := strings.Join(w.log, "\n") + "\n"
	text += fmt.Sprintf("epoch %d, current %v, previous %v", stores.Epoch, identitiesOf(stores.Current), identitiesOf(stores.Previous))
	for _, m := range w.ordered() {
		_, isLost := w.lost[m]
		if m.store == nil {
			text += fmt.Sprintf("\n%s is down", m.address)
			continue
		}
		known, _ := m.store.Membership()
		text += fmt.Sprintf("\n%s identity %d knows %d copied %d lost %v cut %v", m.address, m.store.Identity(),
			known.GetEpoch(), w.movers[m].mover.CompletedEpoch(), isLost, w.cut[m.address])
	}
	return text
}

func identitiesOf(nodes []*tierpb.Node) []uint64 {
	var found []uint64
	for _, node := range nodes {
		found = append(found, node.Identity)
	}
	return found
}
