package placement

import (
	"time"

	"github.com/rotisserie/eris"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// MaxViewAge is the maximum age of the view on which a change is based, at the time the change is sent.
const MaxViewAge = time.Second

// Errors of a placement change that is rejected.
var (
	// ErrLeaseLost means that the lease under which the change was computed is no longer held, or is not granted by a majority
	// of the voters of the value that is being changed.
	ErrLeaseLost = eris.New("placement: lease lost")
	// ErrStaleView means that the view from which the change was computed is older than MaxViewAge.
	ErrStaleView = eris.New("placement: stale view")
	// ErrFenced means that the term is not the newest one, because the lease has been acquired since by another process, or
	// again by this one.
	ErrFenced = eris.New("placement: fenced by a newer term")
)

// Term is the fencing token of placement changes. After each acquisition of the lease the holder increments it, before it
// makes any other change.
type Term struct {
	Number uint64
	Holder uint64 // identity
}

// TermOf returns the term that a state records.
func TermOf(state *tierpb.ControlState) Term {
	return Term{Number: state.GetPlacementTerm(), Holder: state.GetPlacementHolder()}
}

// Next returns the term that follows this one, with the given holder.
func (t Term) Next(holder uint64) Term { return Term{Number: t.Number + 1, Holder: holder} }

// SetIn sets the term in a state.
func (t Term) SetIn(state *tierpb.ControlState) {
	state.PlacementTerm, state.PlacementHolder = t.Number, t.Holder
}

// Credentials are what a lease holder presents when it makes a change.
type Credentials struct {
	// Term is the term that the holder committed after it had acquired the lease.
	Term Term
	// LeaseOwned is true if the lease has been held without interruption since then, and is granted by a majority of the
	// voters of the value that is being changed.
	LeaseOwned bool
	// ViewAge is the age of the view from which the change was computed.
	ViewAge time.Duration
}

// CheckFence checks the credentials of a change to a value that records the term current. It returns nil if the change is
// permitted, otherwise ErrFenced, ErrLeaseLost or ErrStaleView.
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
