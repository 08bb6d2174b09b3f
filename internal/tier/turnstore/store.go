package turnstore

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"pulleygw.example/pulleygw/internal/tier/failpoint"
	"pulleygw.example/pulleygw/internal/tier/storage"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// Options of a Store. Those without a default are required.
type Options struct {
	Disk        storage.Disk
	Folder      string                               // data folder; created if it does not exist
	Now         func() time.Time                     // clock
	After       func(time.Duration) <-chan time.Time // timer
	NewIdentity func() uint64                        // returns a new identity, not 0; called if the disk is empty or damaged
	MemoryMb    int                                  // memory limit of the process in MiB; 0: defaultLimitMb
	DiskMb      int                                  // disk limit in MiB; 0: defaultLimitMb
	Log         hclog.Logger
	Failpoints  *failpoint.Points // tests only; nil: none

	// OnNewerMembership is called when a caller knows a newer membership than the store. It must not block. May be nil.
	OnNewerMembership func()
}

// Store holds turn records and program budgets. It is safe for concurrent use.
type Store struct {
	options          Options
	identity         uint64
	hasNewIdentity   bool
	previousIdentity uint64 // 0 if the identity is unchanged or the disk had none
	wal              *writeAheadLog
	membershipFile   *storage.Series

	mu             sync.Mutex // locked before writeAheadLog.mu
	state          *state
	membership     *tierpb.StoreMembership // newest known, nil if none
	controlVersion uint64                  // newest known
	changed        chan struct{}           // closed when the membership changes

	propagationStarted chan struct{} // receives a value when a propagation may have started
	propagationUrgent  chan struct{} // receives a value when one that another store has begun must go on
}

// Open reads the data folder and starts the writer of the write-ahead log. A store whose disk is empty or has lost
// synced data gets a new identity. It returns an error if the disk cannot be read or written.
func Open(options Options) (*Store, error) {
	if err := options.Disk.MkdirAll(options.Folder); err != nil {
		return nil, eris.Wrap(err, "create the data folder")
	}
	s := &Store{
		options:            options,
		state:              newState(),
		changed:            make(chan struct{}),
		propagationStarted: make(chan struct{}, 1),
		propagationUrgent:  make(chan struct{}, 1),
	}
	recovered, err := recoverFiles(options.Disk, options.Folder, s.state)
	if err != nil {
		return nil, err
	}
	if err := s.loadMembership(); err != nil {
		return nil, err
	}
	damaged := recovered.damaged || s.membershipFile.Corrupted()
	if err := s.loadIdentity(damaged); err != nil {
		return nil, err
	}
	s.state.extendChains()
	s.wal = newWriteAheadLog(options.Disk, options.Folder, recovered.nextSegment, options.Now, options.Failpoints)
	s.wal.bytes = recovered.bytes
	if damaged {
		s.replaceDamagedFiles()
	}
	go s.wal.run()
	return s, nil
}

// replaceDamagedFiles removes the damaged files, so that the next start does not find the same damage and take another
// identity. If that fails, the log accepts nothing until a compaction has succeeded.
func (s *Store) replaceDamagedFiles() {
	s.options.Log.Warn("disk lost synced data: store restarts with a new identity",
		"identity", s.identity, "previous_identity", s.previousIdentity, "records", len(s.state.records))
	if err := s.membershipFile.Clear(); err != nil {
		s.options.Log.Warn("cannot remove damaged membership files", "error", err)
	}
	s.membership = nil
	if err := s.Compact(context.Background()); err != nil {
		s.options.Log.Warn("cannot replace damaged files", "error", err)
		s.wal.setFailed()
	}
}

// Close writes the pending batch and stops the writer of the log.
func (s *Store) Close() { s.wal.close() }

// Records returns the number of records in memory.
func (s *Store) Records() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.state.records)
}
