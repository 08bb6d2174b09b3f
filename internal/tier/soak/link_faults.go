package soak

import (
	"time"

	"pulleygw.example/pulleygw/internal/tier/testbed"
)

// slowLinkTime is the delay of each read on a slow link.
const slowLinkTime = 60 * time.Millisecond

// applyToLinks injects a fault of the links of a machine for its duration.
func (h *harness) applyToLinks(fault Fault, machine *testbed.Machine) bool {
	self := machine.Settings.IP
	var releases []func()
	block := func(from, to string) { releases = append(releases, h.relay.Block(from, to)) }
	switch fault.Kind {
	case ResetConnections:
		return h.relay.Reset(self) > 0
	case DropReplies:
		releases = append(releases, h.relay.DropReplies(self))
	case PartitionHalves:
		h.partitionHalves(fault, block)
	case Isolate:
		releases = append(releases, h.isolate(machine))
	default:
		others := h.members()
		for number, other := range others {
			if other == machine || fault.Kind != SlowLinks && number != fault.Other%len(others) {
				continue
			}
			switch fault.Kind {
			case SlowLinks:
				releases = append(releases, h.relay.Delay(self, other.Settings.IP, slowLinkTime))
			case PartitionOneWay:
				block(self, other.Settings.IP)
			default:
				block(self, other.Settings.IP)
				block(other.Settings.IP, self)
			}
		}
	}
	time.Sleep(fault.For)
	for _, release := range releases {
		release()
	}
	if fault.Other%2 == 0 { // connections from before the fault do not outlive it
		h.relay.Reset(self)
	}
	return len(releases) > 0
}

// isolate partitions a machine from all others until the returned function is called.
func (h *harness) isolate(machine *testbed.Machine) (restore func()) {
	var releases []func()
	for _, other := range h.members() {
		if other != machine {
			releases = append(releases, h.relay.Block(machine.Settings.IP, other.Settings.IP))
			releases = append(releases, h.relay.Block(other.Settings.IP, machine.Settings.IP))
		}
	}
	return func() {
		for _, release := range releases {
			release()
		}
	}
}

// partitionHalves partitions the machines with a disk into two halves; edges reach both.
func (h *harness) partitionHalves(fault Fault, block func(from, to string)) {
	var disks []*testbed.Machine
	for _, machine := range h.members() {
		if machine.Settings.CountsForQuorum {
			disks = append(disks, machine)
		}
	}
	inFirstHalf := func(number int) bool { return (number*7+fault.Other)%3 == 0 }
	for i, one := range disks {
		for j, other := range disks {
			if i != j && inFirstHalf(i) != inFirstHalf(j) {
				block(one.Settings.IP, other.Settings.IP)
			}
		}
	}
}
