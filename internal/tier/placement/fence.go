package placement

import (
	"time"

	"github.com/rotisserie/eris"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// MaxViewAge is the greatest age of a view on which a change may rest when it is sent.
const MaxViewAge = time.Second

// Refusals of a change by placement.
var (
	// ErrLeaseLost: the lease under which the change was computed is not held any more, or not by the voters in force.
	ErrLeaseLost = eris.New("placement: the lease is lost")
	// ErrStaleView: the change was computed from a view that is too old by now.
	ErrStaleView = eris.New("placement: the view is too old")
	// ErrFenced: the term is not the newest, for the lease was acquired by another, or anew, since it was raised.
	ErrFenced = eris.New("placement: the term is not the newest")
)

// Term is the fencing token of placement: each holding of the lease raises it once, before it makes any change.
type Term struct {
	Number uint64
	Holder uint64 // identity
}

// TermOf returns the newest term that a state has seen.
func TermOf(state *tierpb.ControlState) Term {
	return Term{Number: state.GetPlacementTerm(), Holder: state.GetPlacementHolder()}
}

// Next is the term that a holder raises this one to.
func (t Term) Next(holder uint64) Term { return Term{Number: t.Number + 1, Holder: holder} }

// Stamp writes the term into a state.
func (t Term) Stamp(state *tierpb.ControlState) {
	state.PlacementTerm, state.PlacementHolder = t.Number, t.Holder
}

// Credentials is what a holder brings forward for a change.
type Credentials struct {
	Term       Term          // raised by the holder when it acquired the lease
	LeaseOwned bool          // the lease is held since then, by a majority of the voters of the value to be changed
	ViewAge    time.Duration // of the view from which the change was computed
}

// CheckFence is the fence: it decides whether a change by placement may follow a value with this term. Nil admits it.
func CheckFence(current Term, claim Credentials) error {
	switch {
	case current != claim.Term:
		return ErrFenced
	case !claim.LeaseOwned:
		return ErrLeaseLost
	case claim.ViewAge > MaxViewAge:
		return ErrStaleView
	}
	return nil
}
