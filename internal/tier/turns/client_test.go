package turns

import (
	"testing"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

func TestLinkedPrefixEndsWhereTheChainBreaks(t *testing.T) {
	records := []*tierpb.TurnRecord{{Id: "c", Previous: "b"}, {Id: "b", Previous: "a"}, {Id: "other", Previous: "x"}}
	assert.Equal(t, len(linkedPrefix(records, "c")), 2)
	assert.Equal(t, len(linkedPrefix(records, "b")), 0, "the first record has another id")
	records[2] = &tierpb.TurnRecord{Id: "a"}
	assert.Equal(t, len(linkedPrefix(records, "c")), 3)
	records = append(records, &tierpb.TurnRecord{Id: ""})
	assert.Equal(t, len(linkedPrefix(records, "c")), 3, "the first turn of a conversation ends the chain")
}
