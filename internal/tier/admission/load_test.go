package admission

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestReportedLoadTakesUpSlots(t *testing.T) {
	h := newHarness(t, stores(2, 4)...)
	g := h.acquireNow(h.request())
	g.ReportLoad(4, 2, 4)
	for range 3 {
		assert.Assert(t, h.acquireNow(h.request()).Store().Instance != g.Store().Instance)
	}
}
