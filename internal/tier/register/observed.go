package register

import (
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// newestKnownState returns the newest state that this process knows, whose voters are contacted first. It is safe if that
// state is outdated, because the replies contain the voters of the accepted values.
func (p *Proposer) newestKnownState() *tierpb.ControlState {
	if p.options.KnownState != nil {
		p.observe(p.options.KnownState())
	}
	if p.options.Local != nil {
		p.observe(p.options.Local.AcceptedValue())
	}
	return p.newest
}

// observePrepared records the result of a prepare phase. The result may be older than what is already known, if only lagging
// acceptors replied.
func (p *Proposer) observePrepared(prepared prepareResult) {
	p.observe(prepared.value)
	p.counter = max(p.counter, prepared.accepted.GetCounter())
	if prepared.value != nil && !isHigher(p.cachedValue.number, prepared.accepted) {
		p.cachedValue = acceptedValue{number: prepared.accepted, value: prepared.value}
	}
}

// observe records a state that may or may not be chosen.
func (p *Proposer) observe(state *tierpb.ControlState) {
	if len(state.GetVoters()) == 0 {
		return
	}
	if p.newest == nil || isNewer(state, p.newest) {
		p.newest = state
	}
}

// observeChosen records a chosen state.
func (p *Proposer) observeChosen(state *tierpb.ControlState) {
	p.observe(state)
	if p.chosen == nil || isNewer(state, p.chosen) {
		p.chosen = state
	}
	if p.options.OnChosen != nil {
		p.options.OnChosen(state)
	}
}

// isEpochChosen reports whether any value with the voters of this epoch is known to be chosen.
func (p *Proposer) isEpochChosen(epoch uint64) bool {
	return p.chosen != nil && p.chosen.GetEpoch() == epoch
}

// isNewer compares states by epoch, then by version.
func isNewer(state, than *tierpb.ControlState) bool {
	if state.GetEpoch() != than.GetEpoch() {
		return state.GetEpoch() > than.GetEpoch()
	}
	return state.GetVersion() > than.GetVersion()
}
