package placement

import "time"

// Tenure is the period from an acquisition of the lease to its loss, with the term that the holder committed for it. Once the
// term is superseded by a newer one, the tenure is over for good: the holder must not present that term again, and must
// acquire the lease anew. A Tenure is not safe for concurrent use.
type Tenure struct {
	acquisition uint64 // number of the lease's acquisition; 0 for none
	term        Term
	superseded  bool
}

// NewTenure returns the tenure for an acquisition of the lease and the term that the holder has committed for it.
func NewTenure(acquisition uint64, term Term) Tenure {
	return Tenure{acquisition: acquisition, term: term}
}

// Acquisition returns the number of the lease's acquisition, 0 for none.
func (t *Tenure) Acquisition() uint64 { return t.acquisition }

// Term returns the fencing token that the holder presents.
func (t *Tenure) Term() Term { return t.term }

// Superseded reports whether the holder has observed a newer term than its own.
func (t *Tenure) Superseded() bool { return t.superseded }

// Observe processes the term of a chosen value. A newer term supersedes the tenure; an older one is ignored, because the
// value may be outdated.
func (t *Tenure) Observe(newest Term) {
	if newest.Number > t.term.Number || newest.Number == t.term.Number && newest.Holder != t.term.Holder {
		t.superseded = true
	}
}

// Check decides, like CheckFence, whether a change of this tenure may follow a value with the term current. It also observes
// that term, so a tenure that was fenced once stays fenced. LeaseOwned and viewAge are as in Credentials.
func (t *Tenure) Check(current Term, leaseOwned bool, viewAge time.Duration) error {
	if t.superseded {
		return ErrFenced
	}
	t.Observe(current)
	return CheckFence(current, Credentials{Term: t.term, LeaseOwned: leaseOwned, ViewAge: viewAge})
}
