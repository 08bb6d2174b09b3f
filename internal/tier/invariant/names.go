package invariant

// The invariants. Each comment states the condition that is checked.
const (
	// NotExecutedGuarantee: 402, 408, 429 and 503 are sent only for requests that no store can have executed.
	NotExecutedGuarantee Name = "not-executed-guarantee"
	// SentOnce: a request that is not idempotent is sent to no store after one that may have executed it.
	SentOnce Name = "sent-once"
	// SentWithinAttempts: a request is executed by no more stores than its route's maxAttempts.
	SentWithinAttempts Name = "sent-within-attempts"
	// ReservedBeforeSent: a turn that counts against a budget is sent only after its maximum is reserved.
	ReservedBeforeSent Name = "reserved-before-sent"
	// WithinAllowance: no more events of a turn are forwarded than were reserved.
	WithinAllowance Name = "within-allowance"
	// PersistedBeforeEnd: a turn that is retained is saved before its response ends.
	PersistedBeforeEnd Name = "persisted-before-end"
	// WithinBudget: a reservation that is granted leaves the reservations of its program within the budget.
	WithinBudget Name = "within-budget"
	// GenerationMonotonic: the generation of a process's configuration never decreases while the process runs.
	GenerationMonotonic Name = "generation-monotonic"
	// OneValuePerVersion: control states of the same version hold the same configuration.
	OneValuePerVersion Name = "one-value-per-version"
	// ReadNotOlder: a process never returns a configuration older than one that it acknowledged before.
	ReadNotOlder Name = "read-not-older"
	// PreparedMonotonic: the highest proposal number that an acceptor has prepared never decreases, and is never below the
	// accepted one.
	PreparedMonotonic Name = "prepared-monotonic"
	// RecordsImmutable: two records of one turn are identical.
	RecordsImmutable Name = "records-immutable"
	// TerminalStateFinal: a store that is draining or deregistered stays so.
	TerminalStateFinal Name = "terminal-state-final"
	// InFlightNotNegative: no more requests end at a store than were sent there.
	InFlightNotNegative Name = "in-flight-not-negative"
)
