package turnstore

import (
	"bytes"
	"fmt"
	"runtime"
	"testing"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

const (
	countedItems   = 50_000
	countedInput   = 2_000 // bytes of a turn's input
	countedOutput  = 600   // bytes of its output
	claimsEach     = 5     // of a program
	requestIDBytes = 16
)

// heapInUse returns the bytes of reachable objects, after a garbage collection.
func heapInUse() uint64 {
	runtime.GC()
	var read runtime.MemStats
	runtime.ReadMemStats(&read)
	return read.HeapAlloc
}

// BenchmarkHeapPerTurn reports the memory use of a record besides its input and output, and what the store accounts for it.
func BenchmarkHeapPerTurn(b *testing.B) {
	for b.Loop() {
		before := heapInUse()
		stored := newState()
		for number := range countedItems {
			stored.addRecord(&tierpb.TurnRecord{
				Id: fmt.Sprintf("%0*x", requestIDBytes, number), Previous: fmt.Sprintf("%0*x", requestIDBytes, number-1),
				Input: bytes.Repeat([]byte("i"), countedInput), Output: bytes.Repeat([]byte("o"), countedOutput),
			}, nil)
		}
		cost := float64(heapInUse()-before) / countedItems
		b.ReportMetric(cost-countedInput-countedOutput, "B/turn")
		b.ReportMetric(float64(stored.bytes)/countedItems-countedInput-countedOutput, "accounted-B/turn")
	}
}

// BenchmarkHeapPerProgram reports the same for a program with a few claims on its budget.
func BenchmarkHeapPerProgram(b *testing.B) {
	for b.Loop() {
		before := heapInUse()
		stored := newState()
		for number := range countedItems {
			entries := make([]*tierpb.BudgetEntry, claimsEach)
			for i := range entries {
				entries[i] = &tierpb.BudgetEntry{Request: fmt.Sprintf("%0*x", requestIDBytes, number*claimsEach+i), Tokens: 60}
			}
			stored.mergeClaims(&tierpb.ProgramBudget{Program: fmt.Sprintf("%x", number), Entries: entries})
		}
		cost := float64(heapInUse()-before) / countedItems
		b.ReportMetric(cost, "B/program")
		b.ReportMetric(float64(stored.bytes)/countedItems, "accounted-B/program")
	}
}
