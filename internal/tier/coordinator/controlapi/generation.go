package controlapi

import "sync/atomic"

// generationWatermark is the newest generation that this process has acknowledged or returned. It is safe for concurrent use.
type generationWatermark struct{ newest atomic.Uint64 }

func (w *generationWatermark) load() uint64 { return w.newest.Load() }

// raise lifts the watermark to a generation; an older one leaves it.
func (w *generationWatermark) raise(to uint64) {
	for {
		known := w.newest.Load()
		if to <= known || w.newest.CompareAndSwap(known, to) {
			return
		}
	}
}
