package turnstore

import (
	"context"
	"time"
)

// failureKind is how a machine fails.
type failureKind int

const (
	failureCrash failureKind = iota
	failurePowerLoss
	failureDiskLoss
	failurePartition
	failureReplacement // the machine never returns, an empty one replaces it at another address

	failureKinds = iota // number of kinds
)

// failMachine fails a random machine, unless as many have failed as are tolerated.
func (w *simulation) failMachine(kind failureKind) {
	var running []*machine
	for _, m := range w.sortedMachines() {
		if _, hasFailed := w.failed[m]; !hasFailed && m.store != nil {
			running = append(running, m)
		}
	}
	if len(w.failed) >= w.tolerated || len(running) == 0 {
		return
	}
	w.failures++
	m := running[w.random.IntN(len(running))]
	w.logEvent("%s fails, kind %d", m.address, kind)
	w.failed[m] = time.Now().Add(time.Duration(w.random.Int64N(int64(3 * time.Second))))
	switch kind {
	case failureCrash:
		w.halt(m)
	case failurePowerLoss:
		w.halt(m)
		m.disk.losePower(w.random)
	case failureDiskLoss:
		w.halt(m)
		w.wipeDisk(m)
	case failurePartition:
		w.setPartitioned(m, true)
	case failureReplacement:
		w.replaceMachine(m)
	}
}

func (w *simulation) wipeDisk(m *machine) {
	w.wipe(m)
	m.disk.setSyncTime(w.syncTime(m))
}

// replaceMachine replaces a machine by an empty one at another address.
func (w *simulation) replaceMachine(m *machine) {
	w.halt(m)
	w.wipeDisk(m)
	w.cluster.mu.Lock()
	delete(w.machines, m.address)
	w.nextName++
	m.address = w.newAddress(w.nextName)
	w.machines[m.address] = m
	w.cluster.mu.Unlock()
}

func (w *simulation) restart(m *machine) {
	w.setPartitioned(m, false)
	if m.store == nil {
		w.run(m)
	}
}

func (w *simulation) losePowerEverywhere() {
	for _, m := range w.sortedMachines() {
		if m.store == nil {
			continue
		}
		w.halt(m)
		m.disk.losePower(w.random)
	}
	for _, m := range w.sortedMachines() {
		if _, hasFailed := w.failed[m]; !hasFailed {
			w.run(m)
		}
	}
}

// slowOneDisk makes one disk slow and all others fast.
func (w *simulation) slowOneDisk() {
	all := w.sortedMachines()
	chosen := w.random.IntN(len(all))
	for i, m := range all {
		m.slow.Store(i == chosen)
	}
}

func (w *simulation) compactSome() {
	for _, m := range w.sortedMachines() {
		if m.store != nil && w.random.IntN(2) == 0 {
			_ = m.store.Compact(context.Background())
		}
	}
}
