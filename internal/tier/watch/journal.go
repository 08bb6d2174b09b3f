package watch

// event records that an instance changed, and the revision of that change.
type event struct {
	revision uint64
	id       string
}

// journal is an append-only list of events in the order of their revisions. Compaction keeps only the newest event of
// each instance, so its length stays near the number of instances.
type journal struct {
	events []event
	newest map[string]uint64 // revision of the newest event by instance id
}

// compactionSlack is how many superseded events a journal may hold, beyond as many as it has instances, before it is
// compacted.
const compactionSlack = 64

func newJournal() journal { return journal{newest: make(map[string]uint64)} }

func (j *journal) append(revision uint64, id string) {
	j.events = append(j.events, event{revision: revision, id: id})
	j.newest[id] = revision
	if len(j.events) > 2*len(j.newest)+compactionSlack {
		j.compact()
	}
}

func (j *journal) compact() {
	kept := j.events[:0]
	for _, e := range j.events {
		if j.newest[e.id] == e.revision {
			kept = append(kept, e)
		}
	}
	j.events = kept
}

func (j *journal) forget(id string) { delete(j.newest, id) }

// since calls visit with each instance that changed after a revision and the revision of its newest change, oldest
// first, each instance once, until visit returns false.
func (j *journal) since(revision uint64, visit func(id string, changedAt uint64) bool) {
	first := len(j.events)
	for first > 0 && j.events[first-1].revision > revision {
		first--
	}
	for _, e := range j.events[first:] {
		if j.newest[e.id] == e.revision && !visit(e.id, e.revision) {
			return
		}
	}
}

// last returns the revision of the newest event, 0 if there is none.
func (j *journal) last() uint64 {
	if len(j.events) == 0 {
		return 0
	}
	return j.events[len(j.events)-1].revision
}
