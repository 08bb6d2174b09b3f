package modelcheck

import (
	"math/rand/v2"

	"pulleygw.example/pulleygw/internal/tier/simulation"
	"pulleygw.example/pulleygw/internal/tier/storage"
)

// disk is the disk of a process. The sync of a folder, which makes a saved version durable, is an event once the process
// serves.
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
	p.run.post(&event{
		kind: syncEvent, from: p.node.number, to: p.node.number, label: "sync",
		observation: observation{kind: observationSync, from: p.node.number},
		release:     func() { close(released) },
	})
	select {
	case <-released:
		return d.Disk.SyncDir(folder)
	case <-p.incarnation.Ended():
		return simulation.ErrStopped
	}
}

// powerLossSource is a rand.Source that decides what a power loss leaves of unsynced writes: all or nothing.
type powerLossSource struct{ keep bool }

// Uint64 implements rand.Source with numbers from which a simulated disk draws the highest or the lowest choice.
func (f *powerLossSource) Uint64() uint64 {
	if f.keep {
		return ^uint64(0)
	}
	return 1 << 32
}

func (f *powerLossSource) random() *rand.Rand { return rand.New(f) }
