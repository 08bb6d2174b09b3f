package turnstore

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// A store that starts with an older membership than it has reported would take writes that nobody hands on.
func TestDamagedMembershipMakesAnotherNode(t *testing.T) {
	c := newCluster(t, 1, "a", "b", "c")
	m := c.machines["10.0.0.1:1"]
	assert.NilError(t, m.store.saveMembership(c.known()))
	before := m.store.Identity()
	c.kill(m)
	damaged := 0
	for path, file := range m.disk.files {
		if strings.HasPrefix(path, "data/"+memberSeries) {
			file.data[len(file.data)-1] ^= 1
			damaged++
		}
	}
	assert.Equal(t, damaged, 1)
	c.start(m)
	assert.Assert(t, m.store.Identity() != before)
}
