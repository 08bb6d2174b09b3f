package coordinator

import (
	"slices"
	"strings"
	"sync"
	"time"

	"pulleygw.example/pulleygw/internal/tier/placement"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// Times of the directory.
const (
	contactKept = 20 * time.Second // for which a coordinator that says nothing is still looked for
	joinKept    = time.Minute      // for which a join is remembered
)

// directory is what this process knows first hand of the others: which coordinators there are, which of them answer,
// and which nodes ask to join. It is safe for concurrent use.
type directory struct {
	now     func() time.Time
	started time.Time

	mu       sync.Mutex
	contacts map[string]contact // coordinators by inner address
	answers  map[string]answer  // by inner address
	joins    map[uint64]placement.Join
}

type contact struct {
	node    *tierpb.Node
	heardAt time.Time
}

// answer is what polls of an address have shown.
type answer struct {
	answers  bool
	since    time.Time
	feed     uint64    // of the process that answered
	identity uint64    // of that process
	asked    time.Time // when its last poll that counts as contact was sent
}

func newDirectory(now func() time.Time) *directory {
	return &directory{
		now: now, started: now(), contacts: make(map[string]contact), answers: make(map[string]answer),
		joins: make(map[uint64]placement.Join),
	}
}

// heard notes that a coordinator has called.
func (d *directory) heard(node *tierpb.Node) {
	if node.GetRole() != tierpb.Role_ROLE_COORDINATOR || node.Address == "" {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.contacts[node.Address] = contact{node: node, heardAt: d.now()}
}

// joined notes a call to join.
func (d *directory) joined(request *tierpb.JoinRequest) {
	d.heard(request.Node)
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

// answering notes that a coordinator begins or stops to answer polls.
func (d *directory) answering(address string, answers bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	last := d.answers[address]
	last.answers, last.since = answers, d.now()
	d.answers[address] = last
}

// identify notes the identity of the process behind a feed, at an address.
func (d *directory) identify(address string, feed, identity uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	last := d.answers[address]
	if last.feed == feed && last.identity == identity {
		return
	}
	last.feed, last.identity, last.asked = feed, identity, time.Time{}
	d.answers[address] = last
}

// answered notes a poll of an address that was answered out of a feed, and when it was sent.
func (d *directory) answered(address string, feed uint64, asked time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if last := d.answers[address]; last.feed == feed {
		last.asked = asked
		d.answers[address] = last
	}
}

// answersAs says whether the last poll of some address was answered under an identity, and sent no longer than
// contactMost ago.
func (d *directory) answersAs(identity uint64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	for _, last := range d.answers {
		if last.answers && last.identity == identity && now.Sub(last.asked) <= contactMost {
			return true
		}
	}
	return false
}

// isAnswering says whether the last poll of a coordinator was answered.
func (d *directory) isAnswering(address string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.answers[address].answers
}

// silentFor is how long a coordinator has not answered, 0 for one that does.
func (d *directory) silentFor(address string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	last := d.answers[address]
	switch {
	case last.answers:
		return 0
	case last.since.IsZero():
		return d.now().Sub(d.started)
	}
	return d.now().Sub(last.since)
}

// coordinators returns the coordinators that called lately.
func (d *directory) coordinators() []*tierpb.Node {
	d.mu.Lock()
	defer d.mu.Unlock()
	var nodes []*tierpb.Node
	for address, known := range d.contacts {
		if d.now().Sub(known.heardAt) > contactKept {
			delete(d.contacts, address)
			continue
		}
		nodes = append(nodes, known.node)
	}
	slices.SortFunc(nodes, func(a, b *tierpb.Node) int { return strings.Compare(a.Address, b.Address) })
	return nodes
}

// recentJoins returns the joins that are remembered, by name.
func (d *directory) recentJoins() []placement.Join {
	d.mu.Lock()
	defer d.mu.Unlock()
	var joins []placement.Join
	for identity, join := range d.joins {
		if d.now().Sub(join.LastSeen) > joinKept {
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

// waitingStore returns the turn store of a name that asks to join, nil where none does.
func (d *directory) waitingStore(name string) *tierpb.Node {
	for _, join := range d.recentJoins() {
		node := join.Request.Node
		if node.Role == tierpb.Role_ROLE_TURN_STORE && node.Name == name && d.now().Sub(join.LastSeen) <= placement.JoinTTL {
			return node
		}
	}
	return nil
}
