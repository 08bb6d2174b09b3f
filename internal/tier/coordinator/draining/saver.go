package draining

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	"pulleygw.example/pulleygw/internal/tier/clock"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
	"pulleygw.example/pulleygw/internal/tier/watch"
)

// saveInterval is the shortest time between two saves of a Saver, and the time until it repeats one that failed.
const saveInterval = time.Second

// Saver saves the terminal states that this process has learned other than by an announcement. A coordinator that was down when
// a state was announced, or has lost its disk since, receives it from the others in its list of instances. It must have it on
// its own disk as well: the quorum that acknowledged the state may lose further disks.
type Saver struct {
	State *watch.State
	Table *Table
	Log   hclog.Logger
}

// Run saves terminal states until ctx ends.
func (s *Saver) Run(ctx context.Context) {
	saved := uint64(0) // revision of the state up to which terminal states are on disk
	for {
		changed := s.State.Changed()
		instances, revision := s.State.ChangedSince(saved)
		succeeded := s.save(instances)
		if !clock.Sleep(ctx, saveInterval) {
			return
		}
		if !succeeded {
			continue
		}
		saved = revision
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// save saves those of the instances that have a terminal state, and returns whether they are on disk.
func (s *Saver) save(instances []*tierpb.Instance) bool {
	var terminal []*tierpb.Instance
	for _, instance := range instances {
		if watch.IsTerminal(instance.State) {
			terminal = append(terminal, instance)
		}
	}
	if len(terminal) == 0 {
		return true
	}
	if err := s.Table.Save(terminal...); err != nil {
		s.Log.Warn("saving terminal instance states failed", "error", err)
		return false
	}
	return true
}
