package watch

// event is one entry of a journal: the instance with this id changed, and the change has this cursor.
type event struct {
	cursor uint64
	id     string
}

// journal is an append-only list of events in the order of their cursors. Compaction keeps only the newest event of
// each id, so its length stays near the number of ids.
type journal struct {
	events []event
	newest map[string]uint64 // cursor of the newest event by id
}

// compactionSlack is how many superseded events a journal may hold before it is compacted.
const compactionSlack = 64

func newJournal() journal { return journal{newest: make(map[string]uint64)} }

func (j *journal) append(cursor uint64, id string) {
	j.events = append(j.events, event{cursor: cursor, id: id})
	j.newest[id] = cursor
	if len(j.events) > 2*len(j.newest)+compactionSlack {
		j.compact()
	}
}

func (j *journal) compact() {
	kept := j.events[:0]
	for _, e := range j.events {
		if j.newest[e.id] == e.cursor {
			kept = append(kept, e)
		}
	}
	j.events = kept
}

func (j *journal) forget(id string) { delete(j.newest, id) }

// since calls visit with each id that changed after the cursor and the cursor of its newest change, oldest first, each
// id once, until visit returns false.
func (j *journal) since(cursor uint64, visit func(id string, at uint64) bool) {
	first := len(j.events)
	for first > 0 && j.events[first-1].cursor > cursor {
		first--
	}
	for _, e := range j.events[first:] {
		if j.newest[e.id] == e.cursor && !visit(e.id, e.cursor) {
			return
		}
	}
}

// last is the cursor of the newest event, 0 where there is none.
func (j *journal) last() uint64 {
	if len(j.events) == 0 {
		return 0
	}
	return j.events[len(j.events)-1].cursor
}
