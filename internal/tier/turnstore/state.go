package turnstore

import (
	"time"

	"pulleygw.example/pulleygw/internal/tier/budget"
	"pulleygw.example/pulleygw/internal/tier/retention"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// Retention and memory accounting.
const (
	budgetRetention  = time.Hour // of a program's claims, after its last claim
	recordOverhead   = 400       // approximate bytes of memory of a record besides its contents
	budgetOverhead   = 300       // likewise of a program
	entryOverhead    = 120       // likewise of a claim
	maxExtendedChain = 1000      // records of a chain to which an extension is applied at once
)

// record is a turn record in memory.
type record struct {
	turn           *tierpb.TurnRecord
	expiresUnixMs  int64     // the latest of the record's own expiry and all extensions
	chainEndUnixMs int64     // until when the turns before this one must be kept: the latest that the record or an extension says
	ackedUnixMs    int64     // until when all replicas of the turn before have acknowledged to keep it, see propagation
	batch          *walBatch // that contains the record; nil if it was read from disk
	expiryBatch    *walBatch // that contains the newest extension; nil if it was read from disk
}

// extension returns what must be applied to a new copy of the record to give it the same retention, nil if nothing.
func (r *record) extension() *tierpb.RetentionExtension {
	switch {
	case r.expiresUnixMs > retention.Expiry(r.turn):
		return &tierpb.RetentionExtension{Id: r.turn.Id, UntilUnixMs: r.expiresUnixMs}
	case r.chainEndUnixMs > retention.ChainEnd(r.turn):
		return &tierpb.RetentionExtension{Id: r.turn.Id, UntilUnixMs: r.chainEndUnixMs}
	}
	return nil
}

// covers returns whether an extension would change nothing.
func (r *record) covers(extension *tierpb.RetentionExtension) bool {
	return r.expiresUnixMs >= extension.UntilUnixMs && r.chainEndUnixMs >= extension.UntilUnixMs
}

// program is a program's claims in memory.
type program struct {
	budget *tierpb.ProgramBudget
	batch  *walBatch // that contains the newest change; nil if it was read from disk
}

// state is the in-memory state machine that frames are applied to. Applying frames is idempotent. It is also commutative,
// except for extensions of retention, which apply only to records that are present. It is not safe for concurrent use:
// Store guards it with its mutex.
type state struct {
	records      map[string]*record      // by turn id
	programs     map[string]*program     // by program name
	propagations map[string]*propagation // by the id of the record whose chain end must be propagated
	bytes        int                     // approximate memory use
}

func newState() *state {
	return &state{
		records:      make(map[string]*record),
		programs:     make(map[string]*program),
		propagations: make(map[string]*propagation),
	}
}

// recordBytes returns the approximate memory use of a record.
func recordBytes(turn *tierpb.TurnRecord) int {
	return recordOverhead + 2*len(turn.Id) + len(turn.Previous) + len(turn.Input) + len(turn.Output)
}

// addRecord adds a record that is not in the state yet, and extends the retention of the turns that it continues.
func (s *state) addRecord(turn *tierpb.TurnRecord, batch *walBatch) {
	added := &record{
		turn:           turn,
		expiresUnixMs:  retention.Expiry(turn),
		chainEndUnixMs: retention.ChainEnd(turn),
		batch:          batch,
		expiryBatch:    batch,
	}
	s.records[turn.Id] = added
	s.bytes += recordBytes(turn)
	s.startPropagation(added)
	s.extendPrevious(added)
}

// extendRetention keeps a record and those before it in its chain at least until the given time. The batch makes the
// extension durable; nil if it was read from disk.
func (s *state) extendRetention(id string, untilUnixMs int64, batch *walBatch) {
	existing := s.records[id]
	if existing != nil && s.extendRecord(existing, untilUnixMs, untilUnixMs, batch) {
		s.extendPrevious(existing)
	}
}

// extendPrevious extends the retention of the turns before a record, as far as they are in the state, to that of the record.
func (s *state) extendPrevious(last *record) {
	id := last.turn.Previous
	for steps := 0; id != "" && steps < maxExtendedChain; steps++ {
		existing := s.records[id]
		if existing == nil || !s.extendRecord(existing, last.expiresUnixMs, last.chainEndUnixMs, last.expiryBatch) {
			return
		}
		id = existing.turn.Previous
	}
}

// extendRecord extends the retention of a record and of the turns before it. It returns whether either has changed.
func (s *state) extendRecord(existing *record, expiresUnixMs, chainEndUnixMs int64, batch *walBatch) bool {
	if existing.expiresUnixMs >= expiresUnixMs && existing.chainEndUnixMs >= chainEndUnixMs {
		return false
	}
	existing.expiresUnixMs = max(existing.expiresUnixMs, expiresUnixMs)
	existing.chainEndUnixMs = max(existing.chainEndUnixMs, chainEndUnixMs)
	existing.expiryBatch = batch
	s.startPropagation(existing)
	return true
}

// mergeClaims merges claims into those of their program. It returns the program and whether anything has changed.
func (s *state) mergeClaims(claims *tierpb.ProgramBudget) (*program, bool) {
	existing := s.programs[claims.Program]
	if existing == nil {
		existing = &program{budget: &tierpb.ProgramBudget{Program: claims.Program}}
		s.programs[claims.Program] = existing
		s.bytes += budgetOverhead + len(claims.Program)
	}
	entriesBefore := len(existing.budget.Entries)
	changed := budget.Merge(existing.budget, claims.Entries)
	existing.budget.LastUsedUnixMs = max(existing.budget.LastUsedUnixMs, claims.LastUsedUnixMs)
	s.bytes += entryOverhead * (len(existing.budget.Entries) - entriesBefore)
	return existing, changed
}

// extendChains extends the retention of the turns that the records continue. A record that arrived before the turn that it
// continues could not do so then.
func (s *state) extendChains() {
	for _, existing := range s.records {
		s.extendPrevious(existing)
	}
}

// removeExpired removes the records and programs that have expired.
func (s *state) removeExpired(now time.Time) {
	s.extendChains()
	s.removeExpiredRecords(now.UnixMilli())
	for name, existing := range s.programs {
		if existing.hasExpired(now.UnixMilli()) {
			s.removeProgram(name, existing)
		}
	}
}

// removeExpiredRecords removes the records that have expired.
func (s *state) removeExpiredRecords(nowUnixMs int64) {
	for id, existing := range s.records {
		if existing.hasExpired(nowUnixMs) {
			s.bytes -= recordBytes(existing.turn)
			delete(s.records, id)
			delete(s.propagations, id)
		}
	}
}

func (s *state) removeProgram(name string, existing *program) {
	s.bytes -= budgetOverhead + len(name) + entryOverhead*len(existing.budget.Entries)
	delete(s.programs, name)
}

// hasExpired returns whether any record or program has expired.
func (s *state) hasExpired(nowUnixMs int64) bool {
	for _, existing := range s.records {
		if existing.hasExpired(nowUnixMs) {
			return true
		}
	}
	for _, existing := range s.programs {
		if existing.hasExpired(nowUnixMs) {
			return true
		}
	}
	return false
}

func (r *record) hasExpired(nowUnixMs int64) bool { return r.expiresUnixMs < nowUnixMs }

func (p *program) hasExpired(nowUnixMs int64) bool {
	return p.budget.LastUsedUnixMs+budgetRetention.Milliseconds() < nowUnixMs
}

// chain returns a turn and those that it continues, newest first. It stops at the first turn that is not in the state and
// returns its id as missing, which is empty if the chain is complete.
func (s *state) chain(id string) (turns []*tierpb.TurnRecord, missing string) {
	for id != "" {
		existing := s.records[id]
		if existing == nil || len(turns) > len(s.records) {
			return turns, id
		}
		turns = append(turns, existing.turn)
		id = existing.turn.Previous
	}
	return turns, ""
}

// loadRecord implements frameLoader.
func (s *state) loadRecord(turn *tierpb.TurnRecord) {
	if s.records[turn.Id] == nil {
		s.addRecord(turn, nil)
	}
}

// loadBudget implements frameLoader.
func (s *state) loadBudget(claims *tierpb.ProgramBudget) { s.mergeClaims(claims) }

// loadExtension implements frameLoader.
func (s *state) loadExtension(extension *tierpb.RetentionExtension) {
	s.extendRetention(extension.Id, extension.UntilUnixMs, nil)
}
