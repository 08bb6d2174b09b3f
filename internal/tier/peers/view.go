// Package peers is the tier's peer sampling: each process keeps a small view of the others and exchanges parts of it
// with the oldest peer in it, after Cyclon (Voulgaris, Gavidia, van Steen: CYCLON, 2005). It decides nothing about
// membership; it finds processes, above all coordinators, when the seeds are gone.
package peers

import (
	"math/rand/v2"
	"slices"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// Sizes of a view.
const (
	viewSize         = 12 // peers of any role
	shuffleSize      = 5  // entries of an exchange, the sender's own included
	coordinatorsKept = 8  // coordinators remembered besides
	coordinatorsTold = 2  // freshest coordinators that every exchange carries
	seedEvery        = 8  // one exchange in so many goes to a seed, so that parts that lost each other meet again
	oldestTold       = 30 // rounds after which a description is neither passed on nor taken in
)

// View is a partial view of the tier's processes. It does no I/O; its random numbers are passed in, and its rounds are
// its clock. It is not safe for concurrent use.
type View struct {
	self         *tierpb.Node
	random       *rand.Rand
	entries      []*tierpb.PeerEntry
	coordinators []*tierpb.PeerEntry
	round        int
}

// Exchange is a shuffle that was begun: the request to send and where to.
type Exchange struct {
	Address string
	Request *tierpb.ShuffleRequest
	sent    []*tierpb.PeerEntry
}

// NewView makes a view that knows nobody.
func NewView(self *tierpb.Node, random *rand.Rand) *View { return &View{self: self, random: random} }

// Begin starts a round: everyone becomes a round older, and the oldest peer, or now and then a seed, is to be asked.
// It returns nil when nobody is known.
func (v *View) Begin(seeds []string) *Exchange {
	v.round++
	for _, entry := range v.entries {
		entry.Age++
	}
	for _, entry := range v.coordinators {
		entry.Age++
	}
	address := v.choose(seeds)
	if address == "" {
		return nil
	}
	v.drop(address)
	sent := v.sample(shuffleSize - 1)
	request := &tierpb.ShuffleRequest{From: &tierpb.PeerEntry{Node: v.self}, Entries: v.outgoing(sent)}
	return &Exchange{Address: address, Request: request, sent: sent}
}

// Answer takes in what a peer sent and returns what it is to get.
func (v *View) Answer(request *tierpb.ShuffleRequest) *tierpb.ShuffleReply {
	sent := v.sample(shuffleSize)
	reply := &tierpb.ShuffleReply{Entries: v.outgoing(sent)}
	reply.Entries = append(reply.Entries, &tierpb.PeerEntry{Node: v.self})
	received := request.Entries
	if request.From.GetNode() != nil {
		received = append([]*tierpb.PeerEntry{request.From}, received...)
	}
	v.take(received, sent)
	return reply
}

// Finish takes in a peer's answer to an exchange.
func (v *View) Finish(exchange *Exchange, reply *tierpb.ShuffleReply) {
	v.take(reply.Entries, exchange.sent)
}

// Fail ends an exchange that was not answered; the peer stays out of the view, but a coordinator is remembered.
func (v *View) Fail(exchange *Exchange) { v.drop(exchange.Address) }

// Nodes returns the processes of a role that are known, the most recently heard of first.
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

// Len is the number of peers in the view.
func (v *View) Len() int { return len(v.entries) }

func byAge(a, b *tierpb.PeerEntry) int { return int(a.Age) - int(b.Age) }

// choose picks the peer of a round.
func (v *View) choose(seeds []string) string {
	if len(seeds) > 0 && (len(v.entries) == 0 || v.round%seedEvery == 0) {
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

func (v *View) drop(address string) {
	v.entries = slices.DeleteFunc(v.entries, func(entry *tierpb.PeerEntry) bool { return entry.Node.Address == address })
}

// sample picks some entries at random.
func (v *View) sample(count int) []*tierpb.PeerEntry {
	picked := slices.Clone(v.entries)
	v.random.Shuffle(len(picked), func(i, j int) { picked[i], picked[j] = picked[j], picked[i] })
	return picked[:min(count, len(picked))]
}

// outgoing copies entries for a message and adds the freshest coordinators.
func (v *View) outgoing(picked []*tierpb.PeerEntry) []*tierpb.PeerEntry {
	told := make([]*tierpb.PeerEntry, 0, len(picked)+coordinatorsTold+1)
	for _, entry := range append(slices.Clone(picked), v.coordinators[:min(coordinatorsTold, len(v.coordinators))]...) {
		if entry.Age <= oldestTold {
			told = append(told, &tierpb.PeerEntry{Node: entry.Node, Age: entry.Age})
		}
	}
	return told
}

// take merges received entries: into free places first, then in place of those that were sent in exchange.
func (v *View) take(received, sent []*tierpb.PeerEntry) {
	for _, entry := range received {
		if !v.usable(entry) {
			continue
		}
		if entry.Node.Role == tierpb.Role_ROLE_COORDINATOR {
			v.remember(entry)
		}
		if v.refresh(v.entries, entry) {
			continue
		}
		if len(v.entries) < viewSize {
			v.entries = append(v.entries, copied(entry))
			continue
		}
		sent = v.replace(sent, entry)
	}
}

func (v *View) usable(entry *tierpb.PeerEntry) bool {
	return entry.GetNode().GetAddress() != "" && entry.Node.Address != v.self.Address && entry.Age <= oldestTold
}

// refresh takes the younger of two descriptions of one peer and says whether the peer was known.
func (v *View) refresh(entries []*tierpb.PeerEntry, entry *tierpb.PeerEntry) bool {
	for i, known := range entries {
		if known.Node.Address != entry.Node.Address {
			continue
		}
		if entry.Age < known.Age {
			entries[i] = copied(entry)
		}
		return true
	}
	return false
}

// replace puts an entry in the place of one that was sent and returns the rest of those.
func (v *View) replace(sent []*tierpb.PeerEntry, entry *tierpb.PeerEntry) []*tierpb.PeerEntry {
	for i, old := range sent {
		if place := slices.Index(v.entries, old); place >= 0 {
			v.entries[place] = copied(entry)
			return sent[i+1:]
		}
	}
	return nil
}

// remember keeps the freshest coordinators.
func (v *View) remember(entry *tierpb.PeerEntry) {
	if !v.refresh(v.coordinators, entry) {
		v.coordinators = append(v.coordinators, copied(entry))
	}
	slices.SortStableFunc(v.coordinators, byAge)
	v.coordinators = v.coordinators[:min(len(v.coordinators), coordinatorsKept)]
}

func copied(entry *tierpb.PeerEntry) *tierpb.PeerEntry {
	return &tierpb.PeerEntry{Node: entry.Node, Age: entry.Age}
}
