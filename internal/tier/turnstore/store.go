// Package turnstore is the role that keeps turn records and programs' budgets on disk.
package turnstore

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/rotisserie/eris"

	"pulleygw.example/pulleygw/internal/tier/failpoint"
	"pulleygw.example/pulleygw/internal/tier/storage"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// Bounds of a Store.
const (
	syncTimeout    = time.Second // after this a caller that waits for a sync is told to go elsewhere
	memoryShare    = 0.35        // of limits.memoryMb may be records
	diskShare      = 0.3         // of limits.diskMb may be records; files that are being merged need room as well
	bytesPerMb     = 1 << 20
	defaultMb      = 256
	longestID      = 4096
	identitySeries = "identity"
	memberSeries   = "membership"
)

var errWrongIdentity = eris.New("another store was meant")

// Options of a Store.
type Options struct {
	Disk     storage.Disk
	Folder   string
	Now      func() time.Time
	After    func(time.Duration) <-chan time.Time
	Identity func() uint64 // draws the identity of a store whose disk is empty
	MemoryMb int
	DiskMb   int
	Log      hclog.Logger
	Faults   *failpoint.Points
	Kick     func() // told when a caller knows a newer membership; may be nil
}

// Store holds records and budgets. It is safe for concurrent use.
type Store struct {
	options  Options
	identity uint64
	journal  *journal
	members  *storage.Series

	mu         sync.Mutex
	view       *view
	membership *tierpb.StoreMembership
	control    uint64
	changed    chan struct{} // closed when the membership changes
}

// Open reads the disk. A store whose disk is empty or damaged has a new identity.
func Open(options Options) (*Store, error) {
	if err := options.Disk.MkdirAll(options.Folder); err != nil {
		return nil, eris.Wrap(err, "data folder")
	}
	s := &Store{options: options, view: newView(), changed: make(chan struct{})}
	found, err := recoverFiles(options.Disk, options.Folder, s.view)
	if err != nil {
		return nil, err
	}
	if err := s.openMembership(); err != nil {
		return nil, err
	}
	damaged := found.damaged || s.members.Corrupted()
	if err := s.openIdentity(damaged); err != nil {
		return nil, err
	}
	s.view.expire(options.Now())
	s.journal = newJournal(options.Disk, options.Folder, found.next, options.Now, options.Faults)
	s.journal.bytes = found.bytes
	if damaged {
		s.replaceDamaged()
	}
	go s.journal.run()
	return s, nil
}

// replaceDamaged leaves nothing of the damage for the next start to find: what was lost was lost by the identity before.
// Where that fails, the journal takes nothing until it has been done.
func (s *Store) replaceDamaged() {
	s.options.Log.Warn("damaged files found: this store is another one now", "identity", s.identity, "records", len(s.view.records))
	if err := s.members.Clear(); err != nil {
		s.options.Log.Warn("damaged files of the membership could not be removed", "error", err)
	}
	s.membership = nil
	if err := s.Merge(context.Background()); err != nil {
		s.options.Log.Warn("damaged files could not be replaced", "error", err)
		s.journal.fail()
	}
}

// openIdentity reads the identity, or draws and saves one.
func (s *Store) openIdentity(damaged bool) error {
	series, err := storage.Open(s.options.Disk, s.options.Folder, identitySeries, s.options.Faults)
	if err != nil {
		return err
	}
	if text, found := series.Newest(); found && !damaged && !series.Corrupted() {
		node := &tierpb.Node{}
		if err := node.UnmarshalVT(text); err == nil && node.Identity != 0 {
			s.identity = node.Identity
			return nil
		}
	}
	s.identity = s.options.Identity()
	text, err := (&tierpb.Node{Identity: s.identity}).MarshalVT()
	if err != nil {
		return err
	}
	return series.Save(text)
}

// openMembership reads the newest membership that was known before.
func (s *Store) openMembership() error {
	series, err := storage.Open(s.options.Disk, s.options.Folder, memberSeries, s.options.Faults)
	if err != nil {
		return err
	}
	s.members = series
	text, found := series.Newest()
	if !found {
		return nil
	}
	known := &tierpb.StoreMembership{}
	if err := known.UnmarshalVT(text); err != nil {
		return eris.Wrap(err, "membership")
	}
	s.membership = known
	return nil
}

// Close writes what is pending.
func (s *Store) Close() { s.journal.close() }

// Identity is that of this store's disk.
func (s *Store) Identity() uint64 { return s.identity }

// Records is the number of records held.
func (s *Store) Records() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.view.records)
}

// Membership is the newest known, nil when none is.
func (s *Store) Membership() (*tierpb.StoreMembership, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.membership, s.changed
}

// Learn takes in a control state. From here on calls of older epochs are refused.
func (s *Store) Learn(control *tierpb.ControlState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.control = max(s.control, control.GetVersion())
	if !isNewer(control.GetStores(), s.membership) {
		return
	}
	s.membership = control.Stores
	close(s.changed)
	s.changed = make(chan struct{})
}

// isNewer says whether a membership comes after another. The end of a move keeps the epoch.
func isNewer(told, known *tierpb.StoreMembership) bool {
	if told.GetEpoch() != known.GetEpoch() {
		return told.GetEpoch() > known.GetEpoch()
	}
	return len(told.GetPrevious()) == 0 && len(known.GetPrevious()) > 0
}

// verdict says whether a call may be served; nil error and STORE_OK when it may. The caller holds the lock.
func (s *Store) verdict(header *tierpb.StoreRequestHeader) (*tierpb.StoreReplyHeader, error) {
	if header.GetIdentity() != s.identity {
		return nil, errWrongIdentity
	}
	known := s.membership.GetEpoch()
	switch {
	case header.GetEpoch() < known:
		return &tierpb.StoreReplyHeader{
			Status:         tierpb.StoreStatus_STORE_STALE_EPOCH,
			Membership:     s.membership,
			ControlVersion: s.control,
		}, nil
	case header.GetEpoch() > known:
		if s.options.Kick != nil {
			s.options.Kick()
		}
		return &tierpb.StoreReplyHeader{Status: tierpb.StoreStatus_STORE_BEHIND}, nil
	}
	return &tierpb.StoreReplyHeader{}, nil
}

// isFull says whether more records would pass the machine's limits. The caller holds the lock.
func (s *Store) isFull() bool {
	if s.view.bytes < s.mostBytes() {
		return false
	}
	s.view.expire(s.options.Now())
	if s.view.bytes >= s.mostBytes() {
		s.view.expire(s.options.Now().Add(recordSlack)) // what is past its retention goes before anything is refused
	}
	return s.view.bytes >= s.mostBytes()
}

func (s *Store) mostBytes() int {
	memory, disk := s.options.MemoryMb, s.options.DiskMb
	if memory <= 0 {
		memory = defaultMb
	}
	if disk <= 0 {
		disk = defaultMb
	}
	return int(min(float64(memory)*memoryShare, float64(disk)*diskShare) * bytesPerMb)
}

// await waits until all batches are durable. A batch that failed counts as durable when the journal takes writes
// again: a merged file has saved it meanwhile.
func (s *Store) await(ctx context.Context, batches []*batch) error {
	timeout := s.options.After(syncTimeout)
	for _, waiting := range batches {
		if waiting == nil {
			continue
		}
		select {
		case <-waiting.done:
		case <-timeout:
			return errStalled
		case <-ctx.Done():
			return ctx.Err()
		}
		if waiting.err != nil {
			if err := s.journal.usable(); err != nil {
				return err
			}
		}
	}
	return nil
}

// addBatch keeps a list of different batches.
func addBatch(batches []*batch, more *batch) []*batch {
	if more == nil || slices.Contains(batches, more) {
		return batches
	}
	return append(batches, more)
}
