package modelcheck

import (
	"math/rand/v2"

	"pulleygw.example/pulleygw/internal/tier/simulation"
	"pulleygw.example/pulleygw/internal/tier/storage"
)

// disk is the disk of a process. The sync of a folder, which makes a saved version count, becomes an event once the
// process serves.
type disk struct {
	storage.Disk
	process *process
}

// SyncDir implements storage.Disk.
func (d *disk) SyncDir(folder string) error {
	p := d.process
	if !p.serving {
		return d.Disk.SyncDir(folder)
	}
	released := make(chan struct{})
	p.world.post(&event{
		kind: syncEvent, from: p.node.number, to: p.node.number, label: "sync", fact: fact{kind: factSync, from: p.node.number},
		release: func() { close(released) },
	})
	select {
	case <-released:
		return d.Disk.SyncDir(folder)
	case <-p.life.Ended():
		return simulation.ErrStopped
	}
}

// fate is a source of randomness that decides what a loss of power leaves of unsynced writes: all or nothing.
type fate struct{ keep bool }

// Uint64 implements rand.Source with numbers from which a simulated disk draws the highest or the lowest choice.
func (f *fate) Uint64() uint64 {
	if f.keep {
		return ^uint64(0)
	}
	return 1 << 32
}

func (f *fate) random() *rand.Rand { return rand.New(f) }
