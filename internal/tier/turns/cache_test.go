package turns

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

func TestCacheEvictsTheLeastRecentlyUsedRecord(t *testing.T) {
	record := func(id string) *tierpb.TurnRecord {
		return &tierpb.TurnRecord{Id: id, Input: []byte(strings.Repeat("i", 100))}
	}
	c := newCache(3 * recordBytes(record("a")))
	for _, id := range []string{"a", "b", "c"} {
		c.put(record(id))
	}
	assert.Equal(t, c.get("a").Id, "a") // b is now the least recently used record
	c.put(record("d"))
	assert.Assert(t, c.get("b") == nil)
	for _, id := range []string{"a", "c", "d"} {
		assert.Equal(t, c.get(id).Id, id)
	}
	assert.Equal(t, c.bytes, c.maxBytes)
}

func TestCacheDoesNotKeepARecordLargerThanItsBound(t *testing.T) {
	c := newCache(recordOverhead)
	c.put(&tierpb.TurnRecord{Id: "a"})
	assert.Assert(t, c.get("a") == nil)
	assert.Equal(t, c.bytes, 0)
}
