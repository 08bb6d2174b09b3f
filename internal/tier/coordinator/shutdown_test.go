package coordinator

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A standby that is shutting down does not replace a voter that is lost meanwhile, even if the standby itself holds the lease.
func TestStandbyDoesNotReplaceVoterDuringShutdown(t *testing.T) {
	for _, leaseHolder := range []string{"core-1", "core-4"} {
		t.Run(leaseHolder, func(t *testing.T) {
			withLeaseHolder(t, leaseHolder, 5, 1, func(c *cluster) {
				c.process("core-4").membership.BeginShutdown()
				c.advance(1500 * time.Millisecond)
				c.kill("core-2")
				c.advance(4 * time.Second)
				assert.DeepEqual(t, c.voterNames("core-1"), []string{"core-1", "core-3", "core-5"})
				assert.Assert(t, !slices.Contains(c.voterNames("core-5"), "core-4"))
			})
		})
	}
}
