package turnstore

import (
	"bytes"
	"fmt"
	"runtime"
	"testing"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

const (
	benchmarkItems   = 50_000 // turns or programs
	inputBytes       = 2_000  // of each turn
	outputBytes      = 600    // of each turn
	claimsPerProgram = 5
	requestIDBytes   = 16
)

// heapInUse returns the bytes of reachable objects, after a garbage collection.
func heapInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkHeapPerTurn reports how much memory a record uses besides its input and output, and how much of that the store
// accounts for.
func BenchmarkHeapPerTurn(b *testing.B) {
	for b.Loop() {
		before := heapInUse()
		stored := newState()
		for number := range benchmarkItems {
			stored.addRecord(&tierpb.TurnRecord{
				Id: fmt.Sprintf("%0*x", requestIDBytes, number), Previous: fmt.Sprintf("%0*x", requestIDBytes, number-1),
				Input: bytes.Repeat([]byte("i"), inputBytes), Output: bytes.Repeat([]byte("o"), outputBytes),
			}, nil)
		}
		heapPerItem := float64(heapInUse()-before) / benchmarkItems
		b.ReportMetric(heapPerItem-inputBytes-outputBytes, "B/turn")
		b.ReportMetric(float64(stored.bytes)/benchmarkItems-inputBytes-outputBytes, "accounted-B/turn")
	}
}

// BenchmarkHeapPerProgram reports how much memory a program with a few claims uses, and how much the store accounts for.
func BenchmarkHeapPerProgram(b *testing.B) {
	for b.Loop() {
		before := heapInUse()
		stored := newState()
		for number := range benchmarkItems {
			entries := make([]*tierpb.BudgetEntry, claimsPerProgram)
			for i := range entries {
				entries[i] = &tierpb.BudgetEntry{Request: fmt.Sprintf("%0*x", requestIDBytes, number*claimsPerProgram+i), Tokens: 60}
			}
			stored.mergeClaims(&tierpb.ProgramBudget{Program: fmt.Sprintf("%x", number), Entries: entries})
		}
		heapPerItem := float64(heapInUse()-before) / benchmarkItems
		b.ReportMetric(heapPerItem, "B/program")
		b.ReportMetric(float64(stored.bytes)/benchmarkItems, "accounted-B/program")
	}
}
