// Package store is a small replicated key-value store, built on hashicorp/raft, for the configuration and state that
// operators change at runtime: the drain marks of gatherers and the indices of the OpenSearch front. No scheduling decision
// depends on it, since gatherers schedule independently of each other.
package store

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"path/filepath"
	"sync"
	"time"

	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
)

// Node is one member of the store.
type Node struct {
	Name       string // of the gatherer that runs the member
	Raft       string // address that its Raft peers connect to
	Operations string // address of its endpoint for operators
}

// Config configures a member. All members must have the same Nodes.
type Config struct {
	Name  string
	Dir   string
	Nodes []Node
	Log   io.Writer
	// OnChange is called with all values after each change, and after a snapshot is restored. It runs on Raft's goroutine, so it
	// delays further changes.
	OnChange func(map[string]string)
	// Listener is used instead of listening on the node's address, unless it is nil.
	Listener net.Listener
}

// Limits of the store, which is meant for settings only.
const (
	MaxKeys  = 256
	MaxValue = 4 << 10 // bytes
)

// Timeouts.
const (
	applyTimeout = 2 * time.Second
	dialTimeout  = 2 * time.Second
)

// NotLeaderError is returned for a change by a member that is not the leader. Operations is the address of the leader's
// endpoint for operators, or empty if the leader is unknown.
type NotLeaderError struct{ Operations string }

func (e *NotLeaderError) Error() string {
	if e.Operations == "" {
		return "the store has no leader now"
	}
	return "the leader's operations are at " + e.Operations
}

// Store is one member of the replicated store.
type Store struct {
	raft      *raft.Raft
	logs      *raftboltdb.BoltStore
	transport *raft.NetworkTransport
	nodes     []Node
	fsm       *fsm
}

// streamLayer accepts and opens the connections between Raft peers.
type streamLayer struct{ net.Listener }

// Dial implements raft.StreamLayer.
func (streamLayer) Dial(addr raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	return net.DialTimeout("tcp", string(addr), min(timeout, dialTimeout))
}

// Open starts a member. A member without state on disk bootstraps the cluster from c.Nodes.
func Open(c Config) (_ *Store, err error) {
	s := &Store{nodes: c.Nodes, fsm: &fsm{values: map[string]string{}, changed: c.OnChange}}
	var self *Node
	var cluster raft.Configuration
	for i, n := range c.Nodes {
		if n.Name == c.Name {
			self = &c.Nodes[i]
		}
		cluster.Servers = append(cluster.Servers, raft.Server{ID: raft.ServerID(n.Name), Address: raft.ServerAddress(n.Raft)})
	}
	if self == nil {
		return nil, fmt.Errorf("store.nodes: no node is named %q", c.Name)
	}
	if s.logs, err = raftboltdb.NewBoltStore(filepath.Join(c.Dir, "store.db")); err != nil {
		return nil, fmt.Errorf("store.dir: %w", err)
	}
	defer func() {
		if err != nil {
			_ = s.logs.Close() // the error that made the start fail is returned instead
		}
	}()
	snapshots, err := raft.NewFileSnapshotStore(c.Dir, 2, c.Log)
	if err != nil {
		return nil, fmt.Errorf("store.dir: %w", err)
	}
	if c.Listener == nil {
		if c.Listener, err = net.Listen("tcp", self.Raft); err != nil {
			return nil, fmt.Errorf("store.nodes: %w", err)
		}
	}
	s.transport = raft.NewNetworkTransport(streamLayer{c.Listener}, 3, dialTimeout, c.Log)
	raftConfig := raft.DefaultConfig()
	raftConfig.LocalID, raftConfig.LogOutput, raftConfig.LogLevel = raft.ServerID(c.Name), c.Log, "WARN"
	hasState, err := raft.HasExistingState(s.logs, s.logs, snapshots)
	if err != nil {
		return nil, err
	}
	if s.raft, err = raft.NewRaft(raftConfig, s.fsm, s.logs, s.logs, snapshots, s.transport); err != nil {
		return nil, err
	}
	if !hasState {
		if err := s.raft.BootstrapCluster(cluster).Error(); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// LeaderCh returns a channel that receives true when this member becomes the leader, and false when it stops being it.
func (s *Store) LeaderCh() <-chan bool { return s.raft.LeaderCh() }

// Values returns a copy of all values that this member knows, which may lag behind the leader.
func (s *Store) Values() map[string]string { return s.fsm.all() }

// Set sets a value, or deletes the key if the value is empty. Only the leader can; other members return a NotLeaderError.
func (s *Store) Set(key, value string) error {
	if len(value) > MaxValue {
		return fmt.Errorf("the value is over %d bytes", MaxValue)
	}
	b, err := json.Marshal(change{key, value})
	if err != nil {
		return err
	}
	applied := s.raft.Apply(b, applyTimeout)
	if err := applied.Error(); err != nil {
		if errors.Is(err, raft.ErrNotLeader) || errors.Is(err, raft.ErrLeadershipLost) {
			_, id := s.raft.LeaderWithID()
			for _, n := range s.nodes {
				if n.Name == string(id) {
					return &NotLeaderError{n.Operations}
				}
			}
			return &NotLeaderError{}
		}
		return err
	}
	if err, ok := applied.Response().(error); ok {
		return err
	}
	return nil
}

// Close stops this member. The others go on while they are a majority.
func (s *Store) Close() error {
	return errors.Join(s.raft.Shutdown().Error(), s.transport.Close(), s.logs.Close())
}

// change is a log entry. Its field names are those of the JSON on disk.
type change struct{ Key, Value string }

// fsm is the replicated state machine.
type fsm struct {
	mu      sync.Mutex
	values  map[string]string
	changed func(map[string]string)
}

// all returns a copy of all values.
func (f *fsm) all() map[string]string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.values)
}

// notify calls changed with all values.
func (f *fsm) notify() {
	if f.changed != nil {
		f.changed(f.all())
	}
}

// Apply implements raft.FSM.
func (f *fsm) Apply(l *raft.Log) any {
	var c change
	if err := json.Unmarshal(l.Data, &c); err != nil {
		return err
	}
	f.mu.Lock()
	_, exists := f.values[c.Key]
	full := c.Value != "" && !exists && len(f.values) >= MaxKeys
	if c.Value == "" {
		delete(f.values, c.Key)
	} else if !full {
		f.values[c.Key] = c.Value
	}
	f.mu.Unlock()
	if full {
		return fmt.Errorf("the store holds %d keys, the most that it may", MaxKeys)
	}
	f.notify()
	return nil
}

// Snapshot implements raft.FSM.
func (f *fsm) Snapshot() (raft.FSMSnapshot, error) {
	b, err := json.Marshal(f.all())
	return snapshot(b), err
}

// Restore implements raft.FSM.
func (f *fsm) Restore(r io.ReadCloser) error {
	defer r.Close()
	values := map[string]string{}
	if err := json.NewDecoder(r).Decode(&values); err != nil {
		return err
	}
	f.mu.Lock()
	f.values = values
	f.mu.Unlock()
	f.notify()
	return nil
}

// snapshot is all values as JSON.
type snapshot []byte

// Persist implements raft.FSMSnapshot.
func (s snapshot) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(s); err != nil {
		_ = sink.Cancel() // the error of the write is returned instead
		return err
	}
	return sink.Close()
}

// Release implements raft.FSMSnapshot.
func (snapshot) Release() {}
