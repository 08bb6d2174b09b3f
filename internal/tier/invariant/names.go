package invariant

// The invariants, by the promise that each guards.
const (
	// NotExecutedGuarantee: 402, 408, 429 and 503 are told only of requests that no store can have run.
	NotExecutedGuarantee Name = "not-executed-guarantee"
	// SentOnce: a request that may not be repeated is sent to no store after one that may have run it.
	SentOnce Name = "sent-once"
	// SentWithinAttempts: one try runs on no more stores than its route allows.
	SentWithinAttempts Name = "sent-within-attempts"
	// ReservedBeforeSent: a turn that counts against a budget is sent only with its most reserved.
	ReservedBeforeSent Name = "reserved-before-sent"
	// WithinAllowance: no more events of a turn are passed on than were reserved.
	WithinAllowance Name = "within-allowance"
	// PersistedBeforeEnd: a turn that is kept is saved before its answer ends.
	PersistedBeforeEnd Name = "persisted-before-end"
	// WithinBudget: a claim that passes leaves the claims of its program within the budget.
	WithinBudget Name = "within-budget"
	// GenerationMonotonic: within one life a process's configuration has a generation that never falls.
	GenerationMonotonic Name = "generation-monotonic"
	// OneValuePerVersion: control states of one version hold the same configuration.
	OneValuePerVersion Name = "one-value-per-version"
	// ReadNotOlder: a configuration that is told is no older than one that was acknowledged by the same process before.
	ReadNotOlder Name = "read-not-older"
	// PreparedMonotonic: an acceptor's promised ballot never falls, and never lies below the accepted one.
	PreparedMonotonic Name = "prepared-monotonic"
	// RecordsImmutable: two records of one turn are the same.
	RecordsImmutable Name = "records-immutable"
	// TerminalStateFinal: a store that is draining or gone stays so.
	TerminalStateFinal Name = "terminal-state-final"
	// InFlightNotNegative: no more requests leave a store than were sent there.
	InFlightNotNegative Name = "in-flight-not-negative"
)
