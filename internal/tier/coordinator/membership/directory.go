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
	contactTTL = 20 * time.Second // for which a coordinator that makes no calls remains a target
	joinTTL    = time.Minute      // for which a join request is remembered
)

// directory is what this process has seen itself of the other nodes: which coordinators call it, which of them answer its
// polls, and which nodes ask to join. It is safe for concurrent use.
type directory struct {
	now     func() time.Time
	started time.Time

	mu       sync.Mutex
	contacts map[string]contact    // coordinators by internal address
	peers    map[string]peerStatus // by internal address
	joins    map[uint64]placement.Join
}

// contact is a coordinator that has called.
type contact struct {
	node     *tierpb.Node
	lastSeen time.Time
}

// peerStatus is what the polls of an address have shown.
type peerStatus struct {
	reachable   bool
	since       time.Time // of the last change of reachable; zero before the first
	incarnation uint64    // of the source that answered
	identity    uint64    // of the process behind that incarnation
	lastPoll    time.Time // when its last poll that counts as contact was sent
}

func newDirectory(now func() time.Time) *directory {
	return &directory{
		now: now, started: now(), contacts: make(map[string]contact), peers: make(map[string]peerStatus),
		joins: make(map[uint64]placement.Join),
	}
}

// recordContact records a call of another coordinator.
func (d *directory) recordContact(node *tierpb.Node) {
	if node.GetRole() != tierpb.Role_ROLE_COORDINATOR || node.Address == "" {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.contacts[node.Address] = contact{node: node, lastSeen: d.now()}
}

// recordJoin records a join request.
func (d *directory) recordJoin(request *tierpb.JoinRequest) {
	d.recordContact(request.Node)
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

// setReachable records that a coordinator begins or ceases to answer polls.
func (d *directory) setReachable(address string, reachable bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	peer := d.peers[address]
	peer.reachable, peer.since = reachable, d.now()
	d.peers[address] = peer
}

// setIdentity records the identity of the process behind an incarnation at an address. Another process starts without
// contact.
func (d *directory) setIdentity(address string, incarnation, identity uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	peer := d.peers[address]
	if peer.incarnation == incarnation && peer.identity == identity {
		return
	}
	peer.incarnation, peer.identity, peer.lastPoll = incarnation, identity, time.Time{}
	d.peers[address] = peer
}

// recordReply records that an incarnation answered a poll of its address, and when that was sent.
func (d *directory) recordReply(address string, incarnation uint64, sent time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if peer := d.peers[address]; peer.incarnation == incarnation {
		peer.lastPoll = sent
		d.peers[address] = peer
	}
}

// hasRecentReply reports whether the last poll of some address was answered under an identity, and sent no longer than
// ContactTimeout ago.
func (d *directory) hasRecentReply(identity uint64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	for _, peer := range d.peers {
		if peer.reachable && peer.identity == identity && now.Sub(peer.lastPoll) <= ContactTimeout {
			return true
		}
	}
	return false
}

// isReachable reports whether the last poll of a coordinator was answered.
func (d *directory) isReachable(address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.peers[address].reachable
}

// unreachableFor is how long a coordinator has not answered polls, 0 for one that does. One that never did counts from the
// start of this process.
func (d *directory) unreachableFor(address string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	peer := d.peers[address]
	switch {
	case peer.reachable:
		return 0
	case peer.since.IsZero():
		return d.now().Sub(d.started)
	}
	return d.now().Sub(peer.since)
}

// coordinators returns the coordinators that called within contactTTL, by address.
func (d *directory) coordinators() []*tierpb.Node {
	d.mu.Lock()
	defer d.mu.Unlock()
	var nodes []*tierpb.Node
	for address, known := range d.contacts {
		if d.now().Sub(known.lastSeen) > contactTTL {
			delete(d.contacts, address)
			continue
		}
		nodes = append(nodes, known.node)
	}
	slices.SortFunc(nodes, func(a, b *tierpb.Node) int { return strings.Compare(a.Address, b.Address) })
	return nodes
}

// recentJoins returns the join requests within joinTTL, by name.
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

// pendingStore returns the turn store of a name that asks to join, nil where none does.
func (d *directory) pendingStore(name string) *tierpb.Node {
	for _, join := range d.recentJoins() {
		node := join.Request.Node
		if node.Role == tierpb.Role_ROLE_TURN_STORE && node.Name == name && d.now().Sub(join.LastSeen) <= placement.JoinTTL {
			return node
		}
	}
	return nil
}
