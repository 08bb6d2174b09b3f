package watch

import (
	"slices"
	"time"

	"pulleygw.example/pulleygw/internal/tier/invariant"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// Change says what a merge did to an instance.
type Change uint8

// The kinds of change.
const (
	Unchanged Change = iota
	Heartbeat        // only the sequence or the rest of the cold time differs
	Material         // followers that send requests need to know
)

// IsTerminal says that a state stays, whatever comes later.
func IsTerminal(state tierpb.InstanceState) bool {
	return state >= tierpb.InstanceState_INSTANCE_DRAINING
}

// join merges two descriptions of one instance. It is commutative, associative and idempotent, so descriptions may
// arrive in any order: the higher sequence wins, at the same one the higher state, and terminal states stay.
func join(known, told *tierpb.Instance) (*tierpb.Instance, Change) {
	if known == nil {
		return told, Material
	}
	newer := told.Sequence > known.Sequence || told.Sequence == known.Sequence && told.State > known.State
	merged := known
	if newer {
		merged = told
	}
	state := joinStates(known.State, told.State, merged.State)
	if merged.State != state {
		merged = merged.CloneVT()
		merged.State = state
	}
	invariant.Check(!IsTerminal(known.State) || merged.State >= known.State, invariant.TerminalStateFinal, merged.State, known.State)
	return merged, compare(known, merged)
}

func joinStates(known, told, newest tierpb.InstanceState) tierpb.InstanceState {
	highest := max(known, told)
	if IsTerminal(highest) {
		return highest
	}
	return newest
}

func compare(known, merged *tierpb.Instance) Change {
	switch {
	case known == merged:
		return Unchanged
	case known.State != merged.State || !sameDescription(known, merged):
		return Material
	case known.Sequence == merged.Sequence && known.SlowStartRemainingMs == merged.SlowStartRemainingMs:
		return Unchanged
	}
	return Heartbeat
}

// sameDescription says that two describe an instance alike, whatever its state.
func sameDescription(a, b *tierpb.Instance) bool {
	return a.Address == b.Address && a.Backend == b.Backend && a.Zone == b.Zone && a.Generation == b.Generation &&
		a.Slots == b.Slots && slices.Equal(a.Models, b.Models)
}

// aged returns the instance with the rest of its cold time as it stands when this much time has passed.
func aged(instance *tierpb.Instance, passed time.Duration) *tierpb.Instance {
	if instance.SlowStartRemainingMs == 0 || passed < time.Millisecond {
		return instance
	}
	older := instance.CloneVT()
	older.SlowStartRemainingMs -= uint32(min(passed.Milliseconds(), int64(instance.SlowStartRemainingMs)))
	return older
}
