package peers

import (
	"math/rand/v2"
	"slices"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// Parameters of the algorithm. The age of an entry is counted in rounds of the process that holds it.
const (
	viewSize               = 12 // peers of any role
	shuffleSize            = 5  // entries that a shuffle sends, including the sender's own
	maxCoordinators        = 8  // coordinators remembered outside the view
	coordinatorsPerShuffle = 2  // youngest coordinators that a shuffle carries in addition
	seedInterval           = 8  // in rounds; every seedInterval-th round goes to a seed
	maxAge                 = 30 // in rounds; older entries are neither sent nor merged
)

// View is a process's partial view of the tier. It does no I/O, uses the random source it is given, and measures time in
// rounds. It is not safe for concurrent use.
//
// Each StartShuffle must be followed by CompleteShuffle or AbortShuffle. HandleShuffle may be called at any time, even in
// between. A View tolerates shuffles that are repeated, late or lost.
type View struct {
	self         *tierpb.Node
	random       *rand.Rand
	entries      []*tierpb.PeerEntry
	coordinators []*tierpb.PeerEntry // youngest first
	round        int
}

// Shuffle is an exchange of entries started by this process.
type Shuffle struct {
	Address string // ip:port of the peer to which the request is sent
	Request *tierpb.ShuffleRequest
	sent    []*tierpb.PeerEntry
}

// NewView returns an empty view. Self describes this process to its peers.
func NewView(self *tierpb.Node, random *rand.Rand) *View { return &View{self: self, random: random} }

// StartShuffle starts a round: it ages all entries, selects the oldest peer or, every seedInterval rounds, a seed, and removes
// the selected peer from the view. It returns nil if no peer is known.
func (v *View) StartShuffle(seeds []string) *Shuffle {
	v.round++
	for _, entry := range v.entries {
		entry.Age++
	}
	for _, entry := range v.coordinators {
		entry.Age++
	}
	address := v.selectPeer(seeds)
	if address == "" {
		return nil
	}
	v.remove(address)
	sent := v.sample(shuffleSize - 1)
	request := &tierpb.ShuffleRequest{From: &tierpb.PeerEntry{Node: v.self}, Entries: v.outgoing(sent)}
	return &Shuffle{Address: address, Request: request, sent: sent}
}

// HandleShuffle merges the entries of another process's shuffle and returns the reply.
func (v *View) HandleShuffle(request *tierpb.ShuffleRequest) *tierpb.ShuffleReply {
	sent := v.sample(shuffleSize)
	reply := &tierpb.ShuffleReply{Entries: v.outgoing(sent)}
	reply.Entries = append(reply.Entries, &tierpb.PeerEntry{Node: v.self})
	received := request.Entries
	if request.From.GetNode() != nil {
		received = append([]*tierpb.PeerEntry{request.From}, received...)
	}
	v.merge(received, sent)
	return reply
}

// CompleteShuffle merges the peer's reply into the view.
func (v *View) CompleteShuffle(shuffle *Shuffle, reply *tierpb.ShuffleReply) {
	v.merge(reply.Entries, shuffle.sent)
}

// AbortShuffle ends a shuffle without a reply. The peer stays removed from the view; a coordinator is still remembered outside
// it.
func (v *View) AbortShuffle(shuffle *Shuffle) { v.remove(shuffle.Address) }

// Nodes returns the known processes with a role, sorted by the age of their entries, youngest first.
func (v *View) Nodes(role tierpb.Role) []*tierpb.Node {
	var found []*tierpb.PeerEntry
	for _, entry := range append(slices.Clone(v.coordinators), v.entries...) {
		known := slices.ContainsFunc(found, func(other *tierpb.PeerEntry) bool { return other.Node.Address == entry.Node.Address })
		if entry.Node.Role == role && !known {
			found = append(found, entry)
		}
	}
	slices.SortStableFunc(found, byAge)
	nodes := make([]*tierpb.Node, len(found))
	for i, entry := range found {
		nodes[i] = entry.Node
	}
	return nodes
}

// Len returns the number of peers in the view, without the coordinators remembered outside it.
func (v *View) Len() int { return len(v.entries) }

func byAge(a, b *tierpb.PeerEntry) int { return int(a.Age) - int(b.Age) }

// selectPeer returns the address of the peer to shuffle with, or "" if none is known.
func (v *View) selectPeer(seeds []string) string {
	if len(seeds) > 0 && (len(v.entries) == 0 || v.round%seedInterval == 0) {
		if seed := seeds[v.random.IntN(len(seeds))]; seed != v.self.Address {
			return seed
		}
	}
	if len(v.entries) > 0 {
		return slices.MaxFunc(v.entries, byAge).Node.Address
	}
	if len(v.coordinators) > 0 {
		return v.coordinators[v.random.IntN(len(v.coordinators))].Node.Address
	}
	return ""
}

func (v *View) remove(address string) {
	v.entries = slices.DeleteFunc(v.entries, func(entry *tierpb.PeerEntry) bool { return entry.Node.Address == address })
}

// sample returns up to count random entries.
func (v *View) sample(count int) []*tierpb.PeerEntry {
	sampled := slices.Clone(v.entries)
	v.random.Shuffle(len(sampled), func(i, j int) { sampled[i], sampled[j] = sampled[j], sampled[i] })
	return sampled[:min(count, len(sampled))]
}

// outgoing copies the sampled entries and the youngest coordinators for a message, without entries older than maxAge.
func (v *View) outgoing(sampled []*tierpb.PeerEntry) []*tierpb.PeerEntry {
	outgoing := make([]*tierpb.PeerEntry, 0, len(sampled)+coordinatorsPerShuffle+1)
	youngest := v.coordinators[:min(coordinatorsPerShuffle, len(v.coordinators))]
	for _, entry := range append(slices.Clone(sampled), youngest...) {
		if entry.Age <= maxAge {
			outgoing = append(outgoing, clone(entry))
		}
	}
	return outgoing
}

// merge adds received entries to the view: first to free slots, then in place of the entries that were sent.
func (v *View) merge(received, sent []*tierpb.PeerEntry) {
	for _, entry := range received {
		if !v.isUsable(entry) {
			continue
		}
		if entry.Node.Role == tierpb.Role_ROLE_COORDINATOR {
			v.rememberCoordinator(entry)
		}
		if refresh(v.entries, entry) {
			continue
		}
		if len(v.entries) < viewSize {
			v.entries = append(v.entries, clone(entry))
			continue
		}
		sent = v.replace(sent, entry)
	}
}

func (v *View) isUsable(entry *tierpb.PeerEntry) bool {
	return entry.GetNode().GetAddress() != "" && entry.Node.Address != v.self.Address && entry.Age <= maxAge
}

// refresh replaces the entry of the received entry's peer, if the received one is younger. It reports whether there is an
// entry of that peer.
func refresh(entries []*tierpb.PeerEntry, received *tierpb.PeerEntry) bool {
	for i, known := range entries {
		if known.Node.Address != received.Node.Address {
			continue
		}
		if received.Age < known.Age {
			entries[i] = clone(received)
		}
		return true
	}
	return false
}

// replace puts an entry in the place of the first sent entry that is still in the view, and returns the sent entries after
// that one.
func (v *View) replace(sent []*tierpb.PeerEntry, entry *tierpb.PeerEntry) []*tierpb.PeerEntry {
	for i, old := range sent {
		if index := slices.Index(v.entries, old); index >= 0 {
			v.entries[index] = clone(entry)
			return sent[i+1:]
		}
	}
	return nil
}

// rememberCoordinator adds an entry to the remembered coordinators and keeps the youngest maxCoordinators of them.
func (v *View) rememberCoordinator(entry *tierpb.PeerEntry) {
	if !refresh(v.coordinators, entry) {
		v.coordinators = append(v.coordinators, clone(entry))
	}
	slices.SortStableFunc(v.coordinators, byAge)
	v.coordinators = v.coordinators[:min(len(v.coordinators), maxCoordinators)]
}

func clone(entry *tierpb.PeerEntry) *tierpb.PeerEntry {
	return &tierpb.PeerEntry{Node: entry.Node, Age: entry.Age}
}
