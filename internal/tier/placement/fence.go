package placement

import (
	"time"

	"github.com/rotisserie/eris"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// MaxViewAge is the maximum age of a view on which a change may be based when it is sent.
const MaxViewAge = time.Second

// Reasons for which a change by placement is rejected.
var (
	// ErrLeaseLost: the lease under which the change was computed is no longer held, or not by the voters in force.
	ErrLeaseLost = eris.New("placement: lease lost")
	// ErrStaleView: the view from which the change was computed is older than MaxViewAge.
	ErrStaleView = eris.New("placement: stale view")
	// ErrFenced: the term is not the newest, because the lease has been acquired since by another process, or again by this
	// one.
	ErrFenced = eris.New("placement: fenced by a newer term")
)

// Term is the fencing token of placement. The holder raises it once after each acquisition of the lease, before any other
// change.
type Term struct {
	Number uint64
	Holder uint64 // identity
}

// TermOf returns the newest term in a state.
func TermOf(state *tierpb.ControlState) Term {
	return Term{Number: state.GetPlacementTerm(), Holder: state.GetPlacementHolder()}
}

// Next returns the term to which a holder raises this one.
func (t Term) Next(holder uint64) Term { return Term{Number: t.Number + 1, Holder: holder} }

// Stamp writes the term into a state.
func (t Term) Stamp(state *tierpb.ControlState) {
	state.PlacementTerm, state.PlacementHolder = t.Number, t.Holder
}

// Credentials are what a lease holder presents for a change.
type Credentials struct {
	// Term was raised by the holder after it had acquired the lease.
	Term Term
	// LeaseOwned is true if the lease was held without interruption since then, by a majority of the voters of the value to
	// be changed.
	LeaseOwned bool
	// ViewAge is the age of the view from which the change was computed.
	ViewAge time.Duration
}

// CheckFence decides whether a change by placement may follow a value with this term. It returns nil, ErrFenced,
// ErrLeaseLost or ErrStaleView.
func CheckFence(current Term, credentials Credentials) error {
	switch {
	case current != credentials.Term:
		return ErrFenced
	case !credentials.LeaseOwned:
		return ErrLeaseLost
	case credentials.ViewAge > MaxViewAge:
		return ErrStaleView
	}
	return nil
}
