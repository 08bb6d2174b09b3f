package watch

// journalEntry records a change of an instance and the revision of that change.
type journalEntry struct {
	revision uint64
	id       string
}

// journal is a log of changes in the order of their revisions. Compaction keeps only the newest entry of each instance,
// so the length of the journal is proportional to the number of instances.
type journal struct {
	entries        []journalEntry
	newestRevision map[string]uint64 // by instance id
}

// A journal is compacted when its superseded entries outnumber the instances by more than compactionSlack.
const compactionSlack = 64

func newJournal() journal { return journal{newestRevision: make(map[string]uint64)} }

func (j *journal) append(revision uint64, id string) {
	j.entries = append(j.entries, journalEntry{revision: revision, id: id})
	j.newestRevision[id] = revision
	if len(j.entries) > 2*len(j.newestRevision)+compactionSlack {
		j.compact()
	}
}

func (j *journal) compact() {
	kept := j.entries[:0]
	for _, e := range j.entries {
		if j.newestRevision[e.id] == e.revision {
			kept = append(kept, e)
		}
	}
	j.entries = kept
}

func (j *journal) forget(id string) { delete(j.newestRevision, id) }

// since calls visit once for each instance that changed after a revision, with the revision of its newest change, in the
// order of these revisions. It stops when visit returns false.
func (j *journal) since(revision uint64, visit func(id string, changedAt uint64) bool) {
	first := len(j.entries)
	for first > 0 && j.entries[first-1].revision > revision {
		first--
	}
	for _, e := range j.entries[first:] {
		if j.newestRevision[e.id] == e.revision && !visit(e.id, e.revision) {
			return
		}
	}
}

// last returns the revision of the newest entry, 0 if there is none.
func (j *journal) last() uint64 {
	if len(j.entries) == 0 {
		return 0
	}
	return j.entries[len(j.entries)-1].revision
}
