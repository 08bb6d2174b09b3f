package placement

import "time"

// Tenure is one acquisition of the lease by a holder, and the term that it raised for it. A tenure whose term was overtaken is
// over for good: its holder presents that term no more, and acquires the lease anew. It is not safe for concurrent use.
type Tenure struct {
	acquisition uint64 // number of the acquisition; 0 for none
	term        Term
	overtaken   bool
}

// NewTenure returns the tenure of an acquisition of the lease for which the holder has raised the term.
func NewTenure(acquisition uint64, term Term) Tenure {
	return Tenure{acquisition: acquisition, term: term}
}

// Acquisition is the number of the acquisition of the lease, 0 for none.
func (t *Tenure) Acquisition() uint64 { return t.acquisition }

// Term is the fencing token that the holder presents.
func (t *Tenure) Term() Term { return t.term }

// Overtaken reports whether the holder has learned of a newer term than its own.
func (t *Tenure) Overtaken() bool { return t.overtaken }

// Observe takes in the term of a chosen value that the holder has seen. An older one says nothing: the value may be old.
func (t *Tenure) Observe(newest Term) {
	if newest.Number > t.term.Number || newest.Number == t.term.Number && newest.Holder != t.term.Holder {
		t.overtaken = true
	}
}

// Check decides whether a change of this tenure may follow a value with this term, as CheckFence does, and remembers whether
// the tenure was overtaken. LeaseOwned and viewAge are those of Credentials.
func (t *Tenure) Check(current Term, leaseOwned bool, viewAge time.Duration) error {
	if t.overtaken {
		return ErrFenced
	}
	t.Observe(current)
	return CheckFence(current, Credentials{Term: t.term, LeaseOwned: leaseOwned, ViewAge: viewAge})
}
