package modelcheck

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"pulleygw.example/pulleygw/internal/tier/register"
	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// OperationKind is what a client requests.
type OperationKind int

// The kinds of operations.
const (
	Put              OperationKind = iota // a configuration From -> To
	Read                                  // the current value
	Replace                               // the vote of node Out is transferred to node In
	ChangeUnderLease                      // a change by the lease holder, once the node owns the lease
)

// Operation is a client's request at a node. The same Put may occur twice: a change that is retried.
type Operation struct {
	Kind     OperationKind
	Node     int
	From, To uint64 // generations of a Put
	Out, In  int    // nodes of a Replace
	After    int    // number of operations that must have ended before it begins
}

func (o Operation) String() string {
	switch o.Kind {
	case Put:
		return fmt.Sprintf("put %d->%d", o.From, o.To)
	case ChangeUnderLease:
		return "change under the lease"
	case Replace:
		return fmt.Sprintf("replace voter n%d by n%d", o.Out, o.In)
	}
	return "read"
}

// Time-out of an operation. No two time-outs end at the same moment.
const (
	operationTime = 4*time.Second + 3700*time.Microsecond
	operationStep = 1100 * time.Microsecond // more for each operation
)

// errConflict is the rejection that the control API answers with status 412.
var errConflict = eris.New("another generation is current")

// operation is an Operation under way.
type operation struct {
	Operation
	run     *run
	number  int
	offered bool
	done    bool // ended, and recorded in the history
	err     error
	state   *tierpb.ControlState
	ended   bool // guarded by the run's mu
}

// offered counts the operations whose beginning was passed to the scheduler.
func (r *run) offered() (count int) {
	for _, o := range r.operations {
		if o.offered {
			count++
		}
	}
	return count
}

// offerOperations queues the beginnings of the operations that may begin.
func (r *run) offerOperations() {
	for _, o := range r.operations {
		if o.offered || r.ended() < o.After {
			continue
		}
		o.offered = true
		r.queue = append(r.queue, o.beginning())
	}
}

func (o *operation) beginning() *event {
	return &event{
		kind: beginEvent, from: o.Node, to: o.Node, label: "begin " + o.String(),
		observation: observation{kind: observationOperationBegin, from: o.Node, number: uint64(o.number)}, release: o.begin,
	}
}

// begin runs the operation in the process of its node. Without a process it is deferred until there is one.
func (o *operation) begin() {
	p := o.run.nodes[o.Node].process
	if p == nil {
		o.run.deferred = append(o.run.deferred, o.beginning())
		return
	}
	o.run.checks.recordCall(o)
	p.observe(observation{kind: observationOperationBegin, number: uint64(o.number)})
	go func() {
		ctx, cancel := context.WithTimeout(p.ctx, operationTime+time.Duration(o.number)*operationStep)
		defer cancel()
		state, err := o.call(ctx, p)
		if p.hasEnded() {
			state, err = nil, register.ErrUncertain // the caller gets no reply
		}
		p.observe(observation{kind: observationOperationEnd, number: uint64(o.number)})
		o.end(state, err)
	}()
}

func (o *operation) call(ctx context.Context, p *process) (*tierpb.ControlState, error) {
	switch o.Kind {
	case Put:
		return p.proposer.Change(ctx, putFunc(o.From, o.To))
	case Replace:
		return register.ChangeVoters(ctx, p.proposer, func(current *tierpb.ControlState) []*tierpb.Node {
			return o.run.replaced(current, o.Out, o.In)
		})
	}
	if o.Kind == ChangeUnderLease {
		return p.changeUnderLease(ctx)
	}
	return p.proposer.Read(ctx)
}

// replaced returns the newest set of voters with one node's vote transferred to another.
func (r *run) replaced(current *tierpb.ControlState, out, in int) []*tierpb.Node {
	standby := r.nodes[in].process
	if standby == nil {
		return nil
	}
	nodes := current.Voters[len(current.Voters)-1].Nodes
	for i, voter := range nodes {
		if voter.Address == r.nodes[out].address {
			nodes[i] = &tierpb.Node{
				Address: r.nodes[in].address, Identity: standby.acceptor.Identity(), Role: tierpb.Role_ROLE_COORDINATOR,
			}
		}
	}
	return nodes
}

func (o *operation) end(state *tierpb.ControlState, err error) {
	o.run.mu.Lock()
	o.state, o.err, o.ended = state, err, true
	o.run.finished++
	o.run.mu.Unlock()
}

func (o *operation) result() string {
	switch {
	case o.err == nil:
		return fmt.Sprintf("%s: done, %s", o, o.run.stateName(o.state))
	case errors.Is(o.err, errConflict):
		return fmt.Sprintf("%s: conflict", o)
	case isFenced(o.err):
		return fmt.Sprintf("%s: rejected, %v", o, o.err)
	case errors.Is(o.err, register.ErrUnavailable):
		return fmt.Sprintf("%s: unavailable", o)
	}
	return fmt.Sprintf("%s: outcome unknown", o)
}

// putFunc applies a configuration change as a coordinator does: a change that is committed already is acknowledged again,
// one that builds on another generation is rejected.
func putFunc(from, to uint64) register.ChangeFunc {
	return func(current *tierpb.ControlState) (*tierpb.ControlState, error) {
		if isCommitted(current, to) {
			return current, nil
		}
		if current.GetConfiguration().GetGeneration() != from {
			return nil, errConflict
		}
		current.Configuration = &tierpb.Configuration{Generation: to}
		current.CommittedChanges = append(current.CommittedChanges, &tierpb.CommittedChange{IfMatch: from, Generation: to})
		return current, nil
	}
}

func isCommitted(state *tierpb.ControlState, generation uint64) bool {
	for _, committed := range state.GetCommittedChanges() {
		if committed.Generation == generation {
			return true
		}
	}
	return false
}
