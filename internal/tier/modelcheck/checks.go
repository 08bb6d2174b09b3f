package modelcheck

import (
	"errors"
	"fmt"
	"hash/fnv"
	"math"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"

	"pulleygw.example/pulleygw/internal/tier/register"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// proposalKey is a proposal number as the key of a map.
type proposalKey struct{ counter, proposer uint64 }

func proposalKeyOf(b *tierpb.ProposalNumber) proposalKey {
	return proposalKey{b.GetCounter(), b.GetProposer()}
}

// acceptances are the identities that have ever accepted the value of one proposal.
type acceptances struct {
	state  *tierpb.ControlState
	digest uint64
	by     map[uint64]bool
}

// checks holds what was observed of a run and the first invariant that was violated.
type checks struct {
	run *run

	mu           sync.Mutex
	failure      string
	versions     map[uint64]uint64             // digest of the value chosen for each version
	voters       map[uint64][]*tierpb.VoterSet // of chosen values, by epoch
	accepted     map[proposalKey]*acceptances
	acknowledged map[uint64]acknowledgement // by generation
	history      []porcupine.Operation
	calls        map[int]int64 // logical time at which each operation was called
	clock        int64
}

// acknowledgement is a change that was acknowledged to a client.
type acknowledgement struct {
	from    uint64
	version uint64 // of the value that was returned with it
}

func newChecks(r *run) *checks {
	return &checks{
		run: r, versions: make(map[uint64]uint64), voters: make(map[uint64][]*tierpb.VoterSet), accepted: make(map[proposalKey]*acceptances),
		acknowledged: make(map[uint64]acknowledgement), calls: make(map[int]int64),
	}
}

// fail records the first violated invariant; mu is held.
func (c *checks) fail(format string, arguments ...any) {
	if c.failure == "" {
		c.failure = fmt.Sprintf(format, arguments...)
	}
}

func (c *checks) firstFailure() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failure
}

// recordChosen checks a value that a process takes for chosen: a version has one value, and it contains every change
// that was acknowledged at that version or before.
func (c *checks) recordChosen(state *tierpb.ControlState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	digest := digestOf(state)
	if before, found := c.versions[state.Version]; found && before != digest {
		c.fail("two values were chosen for version %d", state.Version)
	}
	c.versions[state.Version] = digest
	c.voters[state.Epoch] = state.Voters
	c.checkTerms(state)
	for generation, change := range c.acknowledged {
		if state.Version >= change.version && !isCommitted(state, generation) {
			c.fail("change %d->%d was acknowledged and is not in version %d", change.from, generation, state.Version)
		}
	}
}

func digestOf(state *tierpb.ControlState) uint64 {
	payload, _ := state.MarshalVT()
	hash := fnv.New64a()
	_, _ = hash.Write(payload)
	return hash.Sum64()
}

// checkStep checks all processes and the operations that have ended, after each step.
func (c *checks) checkStep() {
	for _, node := range c.run.nodes {
		if node.process != nil {
			c.checkAccepted(node.process)
		}
	}
	if c.run.scenario.Lease {
		c.checkSingleLeaseHolder()
	}
	for _, o := range c.run.operations {
		c.recordReturn(o)
	}
}

// checkSingleLeaseHolder checks that the voters of each epoch grant the lease to at most one process at a time.
func (c *checks) checkSingleLeaseHolder() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for epoch, voters := range c.voters {
		holders := 0
		for _, node := range c.run.nodes {
			if p := node.process; p != nil && p.candidate != nil && p.candidate.OwnsLeaseOf(voters) {
				holders++
			}
		}
		if holders > 1 {
			c.fail("%d processes own the lease by the voters of epoch %d", holders, epoch)
		}
	}
}

// checkAccepted records what the acceptor of a process has accepted. A proposal has one value, and that value is chosen
// once a quorum of its voters has accepted it.
func (c *checks) checkAccepted(p *process) {
	reply := p.durable()
	if reply.Value == nil || p.lastAccepted == reply.Value && sameProposal(p.lastAcceptedAt, reply.Accepted) {
		return
	}
	p.lastAccepted, p.lastAcceptedAt = reply.Value, reply.Accepted
	c.mu.Lock()
	key, digest := proposalKeyOf(reply.Accepted), digestOf(reply.Value)
	accepted, found := c.accepted[key]
	if !found {
		accepted = &acceptances{state: reply.Value, digest: digest, by: make(map[uint64]bool)}
		c.accepted[key] = accepted
	}
	if accepted.digest != digest {
		c.fail("two values have one proposal number, %d", key.counter)
	}
	accepted.by[p.acceptor.Identity()] = true
	c.mu.Unlock()
	if register.HasQuorum(accepted.state.Voters, func(identity uint64) bool { return accepted.by[identity] }) {
		c.recordChosen(accepted.state)
	}
}

func sameProposal(one, other *tierpb.ProposalNumber) bool {
	return proposalKeyOf(one) == proposalKeyOf(other)
}

// recordCall records the logical time at which an operation begins.
func (c *checks) recordCall(o *operation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.clock++
	c.calls[o.number] = c.clock
}

// recordReturn adds an operation that has ended to the history.
func (c *checks) recordReturn(o *operation) {
	c.run.mu.Lock()
	fresh := o.ended && !o.done
	c.run.mu.Unlock()
	if !fresh {
		return
	}
	o.done = true
	c.run.timeline.add(c.run, o.Node, "= "+o.result())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.clock++
	got := outcome{
		generation: o.state.GetConfiguration().GetGeneration(), conflict: errors.Is(o.err, errConflict),
		notExecuted: errors.Is(o.err, register.ErrUnavailable),
	}
	got.unknown = o.err != nil && !got.conflict && !got.notExecuted
	ended := c.clock
	if got.unknown {
		ended = math.MaxInt64
	}
	if o.Kind == Put || o.Kind == Read {
		c.history = append(c.history, porcupine.Operation{
			ClientId: o.number, Input: o.Operation, Call: c.calls[o.number], Output: got, Return: ended,
		})
	}
	c.checkPut(o)
}

// checkPut checks a put against the acknowledged ones; mu is held.
func (c *checks) checkPut(o *operation) {
	if o.Kind != Put {
		return
	}
	acknowledged, found := c.acknowledged[o.To]
	switch {
	case o.err == nil && !found:
		for generation, other := range c.acknowledged {
			if other.from == o.From {
				c.fail("changes %d->%d and %d->%d were both acknowledged", o.From, o.To, other.from, generation)
			}
		}
		c.acknowledged[o.To] = acknowledgement{from: o.From, version: o.state.GetVersion()}
	case errors.Is(o.err, errConflict) && found:
		c.fail("change %d->%d was acknowledged, and rejected when it was retried", acknowledged.from, o.To)
	}
}

// checkHistory checks that the whole history is linearizable, and that the final operations, which run without faults,
// have succeeded.
func (c *checks) checkHistory() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, o := range c.run.operations[len(c.run.scenario.Operations):] {
		if o.err != nil && !errors.Is(o.err, errConflict) {
			c.fail("%s without faults: %v", o, o.err)
		}
	}
	if porcupine.CheckOperationsTimeout(registerModel, c.history, 10*time.Second) == porcupine.Illegal {
		c.fail("the history is not linearizable")
	}
}
