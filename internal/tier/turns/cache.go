package turns

import (
	"container/list"
	"sync"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// recordOverhead is about what a cached record costs besides its bytes.
const recordOverhead = 256

// cache remembers the records used last, within a bound of bytes.
type cache struct {
	mu      sync.Mutex
	most    int
	bytes   int
	entries map[string]*list.Element
	recent  *list.List // of *tierpb.TurnRecord, used last first
}

func newCache(most int) *cache {
	return &cache{most: most, entries: make(map[string]*list.Element), recent: list.New()}
}

func (c *cache) put(record *tierpb.TurnRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known := c.entries[record.Id]; known != nil {
		c.recent.MoveToFront(known)
		return
	}
	c.entries[record.Id] = c.recent.PushFront(record)
	c.bytes += cost(record)
	for c.bytes > c.most && c.recent.Len() > 0 {
		c.remove(c.recent.Back())
	}
}

// get returns a record, nil if it is not remembered.
func (c *cache) get(id string) *tierpb.TurnRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.entries[id]
	if known == nil {
		return nil
	}
	c.recent.MoveToFront(known)
	return known.Value.(*tierpb.TurnRecord)
}

func (c *cache) remove(element *list.Element) {
	record := c.recent.Remove(element).(*tierpb.TurnRecord)
	delete(c.entries, record.Id)
	c.bytes -= cost(record)
}

func cost(record *tierpb.TurnRecord) int {
	return recordOverhead + len(record.Id) + len(record.Previous) + len(record.Input) + len(record.Output)
}
