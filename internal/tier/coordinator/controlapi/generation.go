package controlapi

import "sync/atomic"

// generationWatermark holds the newest generation that this process has acknowledged or returned. It is safe for concurrent use.
type generationWatermark struct{ newest atomic.Uint64 }

func (w *generationWatermark) load() uint64 { return w.newest.Load() }

// raise sets the watermark to a generation unless it is already higher.
func (w *generationWatermark) raise(generation uint64) {
	for {
		current := w.newest.Load()
		if generation <= current || w.newest.CompareAndSwap(current, generation) {
			return
		}
	}
}
