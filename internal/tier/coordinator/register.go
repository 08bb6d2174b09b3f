package coordinator

import (
	"context"

	"pulleygw.example/pulleygw/internal/tier/register"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
	"pulleygw.example/pulleygw/internal/tier/watch"
)

// controlRegister is the proposer for the control state, extended by methods that change the voters.
type controlRegister struct{ *register.Proposer }

// newControlRegister returns a proposer. Each value that it learns was chosen is written to the state and to
// the change history.
func newControlRegister(o options, state *watch.State) controlRegister {
	return controlRegister{register.NewProposer(register.ProposerOptions{
		Caller: o.caller, Local: o.acceptor, KnownState: state.Control, Failpoints: o.faults,
		OnChosen: func(chosen *tierpb.ControlState) {
			state.SetControl(chosen)
			o.history.Observe(chosen)
		},
	})}
}

// Reconfigure changes the voters in two steps: joint voters, then the new voters.
func (r controlRegister) Reconfigure(ctx context.Context, change register.ChangeFunc) (*tierpb.ControlState, error) {
	return register.Reconfigure(ctx, r.Proposer, change)
}

// LeaveJoint completes a change of voters that was interrupted between its two steps.
func (r controlRegister) LeaveJoint(ctx context.Context) (*tierpb.ControlState, error) {
	return register.LeaveJoint(ctx, r.Proposer)
}
