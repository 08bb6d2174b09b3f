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
	failureReplacement // the machine never returns; one with an empty disk replaces it at another address

	failureKinds = iota // number of failure kinds
)

// failMachine fails a random machine, unless maxFailed machines have failed already.
func (s *simulation) failMachine(kind failureKind) {
	var running []*machine
	for _, m := range s.sortedMachines() {
		if _, hasFailed := s.failed[m]; !hasFailed && m.store != nil {
			running = append(running, m)
		}
	}
	if len(s.failed) >= s.maxFailed || len(running) == 0 {
		return
	}
	s.failures++
	m := running[s.random.IntN(len(running))]
	s.logEvent("%s fails, kind %d", m.address, kind)
	s.failed[m] = time.Now().Add(time.Duration(s.random.Int64N(int64(3 * time.Second))))
	switch kind {
	case failureCrash:
		s.halt(m)
	case failurePowerLoss:
		s.halt(m)
		m.disk.losePower(s.random)
	case failureDiskLoss:
		s.halt(m)
		s.wipeDisk(m)
	case failurePartition:
		s.setPartitioned(m, true)
	case failureReplacement:
		s.replaceMachine(m)
	}
}

// wipeDisk replaces the disk of a machine by an empty one with the same sync delays.
func (s *simulation) wipeDisk(m *machine) {
	s.wipe(m)
	m.disk.setSyncDelay(s.syncDelay(m))
}

// replaceMachine replaces a machine by one with an empty disk at another address.
func (s *simulation) replaceMachine(m *machine) {
	s.halt(m)
	s.wipeDisk(m)
	s.cluster.mu.Lock()
	delete(s.machines, m.address)
	s.nextName++
	m.address = s.newAddress(s.nextName)
	s.machines[m.address] = m
	s.cluster.mu.Unlock()
}

// restart reconnects a machine and starts its store if it is down.
func (s *simulation) restart(m *machine) {
	s.setPartitioned(m, false)
	if m.store == nil {
		s.run(m)
	}
}

// losePowerEverywhere cuts the power of all machines and restarts those that have not failed.
func (s *simulation) losePowerEverywhere() {
	for _, m := range s.sortedMachines() {
		if m.store == nil {
			continue
		}
		s.halt(m)
		m.disk.losePower(s.random)
	}
	for _, m := range s.sortedMachines() {
		if _, hasFailed := s.failed[m]; !hasFailed {
			s.run(m)
		}
	}
}

// slowOneDisk makes one disk slow and all others fast.
func (s *simulation) slowOneDisk() {
	all := s.sortedMachines()
	slowIndex := s.random.IntN(len(all))
	for i, m := range all {
		m.slow.Store(i == slowIndex)
	}
}

func (s *simulation) compactRandomMachines() {
	for _, m := range s.sortedMachines() {
		if m.store != nil && s.random.IntN(2) == 0 {
			_ = m.store.Compact(context.Background())
		}
	}
}
