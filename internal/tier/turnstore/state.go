package turnstore

import (
	"time"

	"pulleygw.example/pulleygw/internal/tier/budget"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// Retention and memory accounting.
const (
	expiryGrace        = time.Minute // added to a record's retention, for clock skew and for turns that continue it late
	expiryGraceDivisor = 10          // the retention divided by this is added as well
	budgetRetention    = time.Hour   // of a program's claims, after its last claim
	recordOverhead     = 400         // approximate bytes of memory of a record besides its contents
	budgetOverhead     = 300         // likewise of a program
	entryOverhead      = 120         // likewise of a claim
	maxExtendedChain   = 1000        // records of a chain to which an extension is propagated
)

// record is a turn record in memory.
type record struct {
	turn          *tierpb.TurnRecord
	expiresUnixMs int64     // the latest of the record's own expiry and all extensions
	batch         *walBatch // that contains the record; nil if it was read from disk
	expiryBatch   *walBatch // that contains the newest extension of expiresUnixMs; nil if it was read from disk
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
	records  map[string]*record  // by turn id
	programs map[string]*program // by program name
	bytes    int                 // approximate memory use
}

func newState() *state {
	return &state{records: make(map[string]*record), programs: make(map[string]*program)}
}

// recordBytes returns the approximate memory use of a record.
func recordBytes(turn *tierpb.TurnRecord) int {
	return recordOverhead + 2*len(turn.Id) + len(turn.Previous) + len(turn.Input) + len(turn.Output)
}

// expiryOf returns the time in Unix milliseconds at which a record expires unless its retention is extended.
func expiryOf(turn *tierpb.TurnRecord) int64 {
	retention := int64(turn.RetentionMs)
	return turn.EndedUnixMs + retention + retention/expiryGraceDivisor + expiryGrace.Milliseconds()
}

// addRecord adds a record that is not in the state yet, and extends the retention of the turns that it continues.
func (s *state) addRecord(turn *tierpb.TurnRecord, batch *walBatch) {
	expires := expiryOf(turn)
	s.records[turn.Id] = &record{turn: turn, expiresUnixMs: expires, batch: batch, expiryBatch: batch}
	s.bytes += recordBytes(turn)
	s.extendRetention(turn.Previous, expires, batch)
}

// extendRetention keeps a record and those before it in its chain at least until the given time. The batch makes the
// extension durable; nil if it was read from disk.
func (s *state) extendRetention(id string, untilUnixMs int64, batch *walBatch) {
	for steps := 0; id != "" && steps < maxExtendedChain; steps++ {
		existing := s.records[id]
		if existing == nil || existing.expiresUnixMs >= untilUnixMs {
			return
		}
		existing.expiresUnixMs, existing.expiryBatch = untilUnixMs, batch
		id = existing.turn.Previous
	}
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

// removeExpired removes the records and programs that have expired.
func (s *state) removeExpired(now time.Time) {
	nowUnixMs := now.UnixMilli()
	// A turn that arrived before the turn that it continues could not extend its retention then.
	for _, existing := range s.records {
		s.extendRetention(existing.turn.Previous, existing.expiresUnixMs, existing.expiryBatch)
	}
	for id, existing := range s.records {
		if existing.expiresUnixMs < nowUnixMs {
			s.bytes -= recordBytes(existing.turn)
			delete(s.records, id)
		}
	}
	for name, existing := range s.programs {
		if existing.budget.LastUsedUnixMs+budgetRetention.Milliseconds() < nowUnixMs {
			s.bytes -= budgetOverhead + len(name) + entryOverhead*len(existing.budget.Entries)
			delete(s.programs, name)
		}
	}
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
