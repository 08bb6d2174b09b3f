package turnstore

import (
	"time"

	"pulleygw.example/pulleygw/internal/tier/budget"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// How long data is kept beyond what is promised.
const (
	recordSlack      = time.Minute // beyond a record's retention, for clocks and for turns that go on from it late
	slackShare       = 10          // and one part in this many of the retention
	budgetKept       = time.Hour   // after a program's last claim
	recordOverhead   = 400         // about what a record costs in memory besides its bytes
	budgetOverhead   = 300         // likewise a program
	entryOverhead    = 120         // likewise a claim
	longestExtension = 1000        // records of a chain that an extension is carried on to
)

// record is a turn record that is held.
type record struct {
	turn  *tierpb.TurnRecord
	until int64  // Unix milliseconds until which it is kept
	batch *batch // that made it durable or will; nil for what was read from disk
	kept  *batch // likewise for the time until which it is kept
}

// program is a program's budget that is held.
type program struct {
	budget *tierpb.ProgramBudget
	batch  *batch // last one that made a change durable or will
}

// view is what the frames fold into. Its owner guards it.
type view struct {
	records  map[string]*record
	programs map[string]*program
	bytes    int
}

func newView() *view {
	return &view{records: make(map[string]*record), programs: make(map[string]*program)}
}

func recordBytes(turn *tierpb.TurnRecord) int {
	return recordOverhead + 2*len(turn.Id) + len(turn.Previous) + len(turn.Input) + len(turn.Output)
}

// keptUntil is when a record may be dropped unless it is extended.
func keptUntil(turn *tierpb.TurnRecord) int64 {
	retention := int64(turn.RetentionMs)
	return turn.EndedUnixMs + retention + retention/slackShare + recordSlack.Milliseconds()
}

// addRecord takes in a record that is not held yet, and keeps its chain as long.
func (v *view) addRecord(turn *tierpb.TurnRecord, in *batch) {
	until := keptUntil(turn)
	v.records[turn.Id] = &record{turn: turn, until: until, batch: in, kept: in}
	v.bytes += recordBytes(turn)
	v.extend(turn.Previous, until, in)
}

// extend keeps a record and those before it until a time at least, as a batch makes durable; it says whether that
// changed the first.
func (v *view) extend(id string, until int64, in *batch) bool {
	changed := false
	for steps := 0; id != "" && steps < longestExtension; steps++ {
		held := v.records[id]
		if held == nil || held.until >= until {
			break
		}
		held.until, held.kept = until, in
		changed = changed || steps == 0
		id = held.turn.Previous
	}
	return changed
}

// addClaims merges claims and returns the program, and whether anything changed.
func (v *view) addClaims(from *tierpb.ProgramBudget) (*program, bool) {
	held := v.programs[from.Program]
	if held == nil {
		held = &program{budget: &tierpb.ProgramBudget{Program: from.Program}}
		v.programs[from.Program] = held
		v.bytes += budgetOverhead + len(from.Program)
	}
	before := len(held.budget.Entries)
	changed := budget.Merge(held.budget, from.Entries)
	held.budget.LastUsedUnixMs = max(held.budget.LastUsedUnixMs, from.LastUsedUnixMs)
	v.bytes += entryOverhead * (len(held.budget.Entries) - before)
	return held, changed
}

// expire drops what is past its time.
func (v *view) expire(now time.Time) {
	at := now.UnixMilli()
	for _, held := range v.records {
		v.extend(held.turn.Previous, held.until, held.kept) // turns may have come before those that they go on from
	}
	for id, held := range v.records {
		if held.until < at {
			v.bytes -= recordBytes(held.turn)
			delete(v.records, id)
		}
	}
	for name, held := range v.programs {
		if held.budget.LastUsedUnixMs+budgetKept.Milliseconds() < at {
			v.bytes -= budgetOverhead + len(name) + entryOverhead*len(held.budget.Entries)
			delete(v.programs, name)
		}
	}
}

// chain returns a turn and those before it, newest first, as far as they are held, and the turn that is missing.
func (v *view) chain(id string) (turns []*tierpb.TurnRecord, missing string) {
	for id != "" {
		held := v.records[id]
		if held == nil || len(turns) > len(v.records) {
			return turns, id
		}
		turns = append(turns, held.turn)
		id = held.turn.Previous
	}
	return turns, ""
}

// The view takes what was read from disk.

func (v *view) takeRecord(turn *tierpb.TurnRecord) {
	if v.records[turn.Id] == nil {
		v.addRecord(turn, nil)
	}
}

func (v *view) takeBudget(from *tierpb.ProgramBudget) { v.addClaims(from) }

func (v *view) takeExtension(extension *tierpb.RetentionExtension) {
	v.extend(extension.Id, extension.UntilUnixMs, nil)
}
