package fleet

import (
	"os"
	"runtime"
	"testing"

	"pulleygw.example/pulleygw/internal/tier/invariant"
)

// TestMain makes violations of invariants fail tests, and keeps these tests on one processor. Under the race detector of Go
// 1.26 the timers of a bubble of testing/synctest share one context of the detector; where selects of several processors run
// them at the same time, the runtime ends the whole process ("ThreadSanitizer: CHECK failed: tsan_rtl.cpp:346", or a
// segmentation violation in timer.maybeRunChan). With hundreds of processes in a bubble that happened in one run of ten. The
// race detector works by the happens-before order, so it finds races on one processor as well.
func TestMain(m *testing.M) {
	invariant.PanicOnViolation()
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}
