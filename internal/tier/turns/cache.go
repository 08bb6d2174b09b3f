package turns

import (
	"container/list"
	"sync"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// recordOverhead is the approximate memory use of a cached record besides its contents, in bytes.
const recordOverhead = 256

// cache is an LRU cache of turn records, bounded by their approximate size. Records are immutable, so entries are never
// stale. It is safe for concurrent use.
type cache struct {
	mu       sync.Mutex
	maxBytes int
	bytes    int
	entries  map[string]*list.Element
	recent   *list.List // of *tierpb.TurnRecord, most recently used first
}

func newCache(maxBytes int) *cache {
	return &cache{maxBytes: maxBytes, entries: make(map[string]*list.Element), recent: list.New()}
}

func (c *cache) put(record *tierpb.TurnRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if existing := c.entries[record.Id]; existing != nil {
		c.recent.MoveToFront(existing)
		return
	}
	c.entries[record.Id] = c.recent.PushFront(record)
	c.bytes += recordBytes(record)
	for c.bytes > c.maxBytes && c.recent.Len() > 0 {
		c.remove(c.recent.Back())
	}
}

// get returns a record, or nil if it is not cached.
func (c *cache) get(id string) *tierpb.TurnRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	existing := c.entries[id]
	if existing == nil {
		return nil
	}
	c.recent.MoveToFront(existing)
	return existing.Value.(*tierpb.TurnRecord)
}

func (c *cache) remove(element *list.Element) {
	record := c.recent.Remove(element).(*tierpb.TurnRecord)
	delete(c.entries, record.Id)
	c.bytes -= recordBytes(record)
}

func recordBytes(record *tierpb.TurnRecord) int {
	return recordOverhead + len(record.Id) + len(record.Previous) + len(record.Input) + len(record.Output)
}
