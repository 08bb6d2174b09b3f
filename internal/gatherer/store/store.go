// Package store is a small replicated store, on hashicorp/raft, for the daemon's own configuration and state: drain marks and
// the indices of the OpenSearch-style front. No scheduling decision depends on it: gatherers share nothing.
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
	Name       string // of the gatherer
	Raft       string // address of its store
	Operations string // address of its operators' endpoint
}

// Config configures a member. All members have the same Nodes.
type Config struct {
	Name  string
	Dir   string
	Nodes []Node
	Log   io.Writer
	// Changed is called after each change, on the store's goroutine, with all values.
	Changed func(map[string]string)
	// Listener, where set, is used instead of listening on the node's address.
	Listener net.Listener
}

// Bounds of the values: they are settings, not data.
const (
	MaxKeys  = 256
	MaxValue = 4 << 10 // bytes
)

// Time-outs.
const (
	applyTimeout = 2 * time.Second
	dialTimeout  = 2 * time.Second
)

// NotLeaderError says that this member is not the leader, and where the leader's operators' endpoint is, if it is known.
type NotLeaderError struct{ Operations string }

func (e *NotLeaderError) Error() string {
	if e.Operations == "" {
		return "the store has no leader now"
	}
	return "the leader's operations are at " + e.Operations
}

// Store is one member of the replicated store.
type Store struct {
	raft  *raft.Raft
	logs  *raftboltdb.BoltStore
	trans *raft.NetworkTransport
	nodes []Node
	fsm   *fsm
}

// stream is raft's connection to its peers.
type stream struct{ net.Listener }

// Dial implements raft.StreamLayer.
func (stream) Dial(addr raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	return net.DialTimeout("tcp", string(addr), min(timeout, dialTimeout))
}

// Open starts a member. The first start of all members bootstraps the cluster.
func Open(c Config) (_ *Store, err error) {
	s := &Store{nodes: c.Nodes, fsm: &fsm{values: map[string]string{}, changed: c.Changed}}
	var self *Node
	var cluster raft.Configuration
	for i, n := range c.Nodes {
		if n.Name == c.Name {
			self = &c.Nodes[i]
		}
		cluster.Servers = append(cluster.Servers, raft.Server{ID: raft.ServerID(n.Name), Address: raft.ServerAddress(n.Raft)})
	}
	if self == nil {
		return nil, fmt.Errorf("store.nodes: none is named %q", c.Name)
	}
	if s.logs, err = raftboltdb.NewBoltStore(filepath.Join(c.Dir, "store.db")); err != nil {
		return nil, fmt.Errorf("store.dir: %w", err)
	}
	defer func() {
		if err != nil {
			_ = s.logs.Close() // the error that ended the start is returned
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
	s.trans = raft.NewNetworkTransport(stream{c.Listener}, 3, dialTimeout, c.Log)
	rc := raft.DefaultConfig()
	rc.LocalID, rc.LogOutput, rc.LogLevel = raft.ServerID(c.Name), c.Log, "WARN"
	had, err := raft.HasExistingState(s.logs, s.logs, snapshots)
	if err != nil {
		return nil, err
	}
	if s.raft, err = raft.NewRaft(rc, s.fsm, s.logs, s.logs, snapshots, s.trans); err != nil {
		return nil, err
	}
	if !had {
		if err := s.raft.BootstrapCluster(cluster).Error(); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// LeaderCh reports when this member becomes the leader, or no longer is.
func (s *Store) LeaderCh() <-chan bool { return s.raft.LeaderCh() }

// All returns all values, as this member knows them.
func (s *Store) All() map[string]string { return s.fsm.all() }

// Set sets a value; an empty one deletes the key. A member that does not lead returns a NotLeaderError.
func (s *Store) Set(key, value string) error {
	if len(value) > MaxValue {
		return fmt.Errorf("the value is over %d bytes", MaxValue)
	}
	b, err := json.Marshal(change{key, value})
	if err != nil {
		return err
	}
	f := s.raft.Apply(b, applyTimeout)
	if err := f.Error(); err != nil {
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
	if err, ok := f.Response().(error); ok {
		return err
	}
	return nil
}

// Close stops this member.
func (s *Store) Close() error {
	return errors.Join(s.raft.Shutdown().Error(), s.trans.Close(), s.logs.Close())
}

// change is an entry of the log. Its names are those of the JSON on disk.
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

// notify calls changed.
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
	_, has := f.values[c.Key]
	full := c.Value != "" && !has && len(f.values) >= MaxKeys
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

// snapshot is the state as JSON.
type snapshot []byte

// Persist implements raft.FSMSnapshot.
func (s snapshot) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(s); err != nil {
		_ = sink.Cancel() // the error of the write is returned
		return err
	}
	return sink.Close()
}

// Release implements raft.FSMSnapshot.
func (snapshot) Release() {}
