package membership

import (
	"slices"
	"strings"
	"sync"
	"time"

	"pulleygw.example/pulleygw/internal/tier/placement"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

const (
	coordinatorTTL = 20 * time.Second // how long a coordinator stays listed after its last call
	joinTTL        = time.Minute      // how long a join request is remembered
)

// directory records what this process has observed of other nodes: which coordinators call it, which of them answer its
// polls, and which nodes ask to join. It is safe for concurrent use.
type directory struct {
	now     func() time.Time
	started time.Time

	mu           sync.Mutex
	coordinators map[string]knownCoordinator // by internal address
	peers        map[string]peerStatus       // by internal address
	joins        map[uint64]placement.Join   // by identity
}

// knownCoordinator is a coordinator that has called this process.
type knownCoordinator struct {
	node     *tierpb.Node
	lastSeen time.Time
}

// peerStatus is the state of one polled address.
type peerStatus struct {
	reachable   bool
	changedAt   time.Time // when reachable changed last; zero if it never did
	incarnation uint64    // incarnation that answered last with its identity
	identity    uint64    // identity of the process with that incarnation
	lastContact time.Time // when the newest poll whose reply counts as contact was sent
}

func newDirectory(now func() time.Time) *directory {
	return &directory{
		now: now, started: now(), coordinators: make(map[string]knownCoordinator), peers: make(map[string]peerStatus),
		joins: make(map[uint64]placement.Join),
	}
}

// recordCoordinator records a call from another coordinator. Nodes of other roles are ignored.
func (d *directory) recordCoordinator(node *tierpb.Node) {
	if node.GetRole() != tierpb.Role_ROLE_COORDINATOR || node.Address == "" {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.coordinators[node.Address] = knownCoordinator{node: node, lastSeen: d.now()}
}

// recordJoin records a join request. The time of a node's first request is kept while it repeats the request within joinTTL.
func (d *directory) recordJoin(request *tierpb.JoinRequest) {
	d.recordCoordinator(request.Node)
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	join, known := d.joins[request.Node.Identity]
	if !known {
		join.FirstSeen = now
	}
	join.Request, join.LastSeen = request, now
	d.joins[request.Node.Identity] = join
}

// setReachable records that the coordinator at an address has started or stopped answering polls.
func (d *directory) setReachable(address string, reachable bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	peer := d.peers[address]
	peer.reachable, peer.changedAt = reachable, d.now()
	d.peers[address] = peer
}

// setIdentity records the identity and the incarnation of the process at an address. A change of either clears its contact.
func (d *directory) setIdentity(address string, incarnation, identity uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	peer := d.peers[address]
	if peer.incarnation == incarnation && peer.identity == identity {
		return
	}
	peer.incarnation, peer.identity, peer.lastContact = incarnation, identity, time.Time{}
	d.peers[address] = peer
}

// recordReply records when a poll that was answered by an incarnation was sent. It ignores incarnations other than the one
// last given to setIdentity.
func (d *directory) recordReply(address string, incarnation uint64, sent time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if peer := d.peers[address]; peer.incarnation == incarnation {
		peer.lastContact = sent
		d.peers[address] = peer
	}
}

// hasRecentReply reports whether a reachable peer has this identity and answered a poll that was sent at most ContactTimeout
// ago.
func (d *directory) hasRecentReply(identity uint64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	for _, peer := range d.peers {
		if peer.reachable && peer.identity == identity && now.Sub(peer.lastContact) <= ContactTimeout {
			return true
		}
	}
	return false
}

// isReachable reports whether the coordinator at an address answered the last poll.
func (d *directory) isReachable(address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.peers[address].reachable
}

// unreachableFor returns how long the coordinator at an address has not answered polls; 0 if it answers. If it never
// answered, the time since the start of this process is returned.
func (d *directory) unreachableFor(address string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	peer := d.peers[address]
	switch {
	case peer.reachable:
		return 0
	case peer.changedAt.IsZero():
		return d.now().Sub(d.started)
	}
	return d.now().Sub(peer.changedAt)
}

// recentCoordinators returns the coordinators that called within coordinatorTTL, sorted by address.
func (d *directory) recentCoordinators() []*tierpb.Node {
	d.mu.Lock()
	defer d.mu.Unlock()
	var nodes []*tierpb.Node
	for address, known := range d.coordinators {
		if d.now().Sub(known.lastSeen) > coordinatorTTL {
			delete(d.coordinators, address)
			continue
		}
		nodes = append(nodes, known.node)
	}
	slices.SortFunc(nodes, func(a, b *tierpb.Node) int { return strings.Compare(a.Address, b.Address) })
	return nodes
}

// recentJoins returns the latest join request of each node within joinTTL, sorted by node name.
func (d *directory) recentJoins() []placement.Join {
	d.mu.Lock()
	defer d.mu.Unlock()
	var joins []placement.Join
	for identity, join := range d.joins {
		if d.now().Sub(join.LastSeen) > joinTTL {
			delete(d.joins, identity)
			continue
		}
		joins = append(joins, join)
	}
	slices.SortFunc(joins, func(a, b placement.Join) int {
		return strings.Compare(a.Request.Node.Name, b.Request.Node.Name)
	})
	return joins
}

// pendingStore returns the turn store with this name that is asking to join, or nil.
func (d *directory) pendingStore(name string) *tierpb.Node {
	for _, join := range d.recentJoins() {
		node := join.Request.Node
		if node.Role == tierpb.Role_ROLE_TURN_STORE && node.Name == name && d.now().Sub(join.LastSeen) <= placement.JoinTTL {
			return node
		}
	}
	return nil
}
