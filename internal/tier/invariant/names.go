package invariant

// The invariants. Each comment states the condition that is checked.
const (
	// NotExecutedGuarantee: 402, 408, 429 and 503 are sent only for requests that no store can have executed.
	NotExecutedGuarantee Name = "not-executed-guarantee"
	// SentOnce: a request that is not idempotent is not sent to another store after one that may have executed it.
	SentOnce Name = "sent-once"
	// SentWithinAttempts: a request is executed by no more stores than its route's maxAttempts.
	SentWithinAttempts Name = "sent-within-attempts"
	// ReservedBeforeSent: a turn that counts against a budget is sent only after its maximum was reserved.
	ReservedBeforeSent Name = "reserved-before-sent"
	// WithinAllowance: no more events of a turn are forwarded than were reserved.
	WithinAllowance Name = "within-allowance"
	// PersistedBeforeEnd: a turn that is to be retained is saved before its response ends.
	PersistedBeforeEnd Name = "persisted-before-end"
	// WithinBudget: when a reservation is granted, all claims of the program together are within its budget.
	WithinBudget Name = "within-budget"
	// GenerationMonotonic: the generation of the configuration that a process uses never decreases while the process runs.
	GenerationMonotonic Name = "generation-monotonic"
	// OneValuePerVersion: control states with the same version contain the same configuration.
	OneValuePerVersion Name = "one-value-per-version"
	// ReadNotOlder: a process never returns a configuration older than one that it has acknowledged.
	ReadNotOlder Name = "read-not-older"
	// PreparedMonotonic: the highest proposal number that an acceptor has prepared never decreases, and is never lower than
	// that of the accepted proposal.
	PreparedMonotonic Name = "prepared-monotonic"
	// RecordsImmutable: all records of the same turn are identical.
	RecordsImmutable Name = "records-immutable"
	// TerminalStateFinal: a store that is draining or deregistered does not return to an earlier state.
	TerminalStateFinal Name = "terminal-state-final"
	// InFlightNotNegative: no more requests finish at a store than were sent to it.
	InFlightNotNegative Name = "in-flight-not-negative"
)
