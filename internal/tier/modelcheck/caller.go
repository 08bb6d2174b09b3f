package modelcheck

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"pulleygw.example/pulleygw/internal/tier/rpc"
)

// call is one call between processes.
type call struct {
	replies chan callResult
	done    atomic.Bool // the caller has returned
}

// callResult is the result of a call: an encoded message or an error.
type callResult struct {
	payload []byte
	err     error
}

// caller makes the calls of one process; it implements rpc.Caller. Every message becomes an event.
type caller struct{ process *process }

// Call implements rpc.Caller. A request stays in flight after its caller has given up.
func (c *caller) Call(ctx context.Context, address string, method rpc.Method, request, reply rpc.Message) error {
	payload, err := encode(request)
	if err != nil {
		return err
	}
	r := c.process.run
	if deadline, set := ctx.Deadline(); set && !time.Now().Before(deadline) {
		<-ctx.Done() // at this very moment, so that two timers of one moment have one outcome
		return rpc.ErrTimeout
	}
	made := &call{replies: make(chan callResult, 2)}
	defer made.done.Store(true)
	if c.process.hasEnded() {
		return rpc.ErrUnreachable
	}
	observation := r.observationOf(request)
	e := &event{
		kind: requestEvent, from: c.process.node.number, to: r.numberOf(address), label: r.describe(request), observation: observation,
		call: made,
	}
	e.release = func() { r.deliver(c.process, e, method, payload) }
	r.post(e)
	select {
	case got := <-made.replies:
		if got.err != nil {
			return got.err
		}
		return reply.UnmarshalVT(got.payload)
	case <-ctx.Done():
		return rpc.ErrTimeout
	case <-c.process.incarnation.Ended():
		return rpc.ErrUnreachable
	}
}

// deliver passes a request to the process of its node; the reply becomes an event. Where no process runs the call fails
// at once, as a refused connection does.
func (r *run) deliver(from *process, e *event, method rpc.Method, payload []byte) {
	target := r.nodes[e.to].process
	if target == nil {
		from.observe(observation{kind: observationUnreachable, from: e.to})
		e.call.complete(callResult{err: rpc.ErrUnreachable})
		return
	}
	number := target.beginRequest(e.observation)
	go func() {
		message, err := target.incarnation.Server.Dispatch(context.Background(), method, slices.Clone(payload))
		target.endRequest(number)
		if target.hasEnded() {
			return
		}
		r.post(r.replyTo(from, e, message, err))
	}()
}

// replyTo returns the event in which the reply to a request arrives.
func (r *run) replyTo(from *process, e *event, message rpc.Message, err error) *event {
	arrival := &event{kind: replyEvent, from: e.to, to: e.from, call: e.call, label: "rejection"}
	got := callResult{err: rpc.ErrRejected}
	if err == nil {
		got.payload, got.err = encode(message)
		arrival.label, arrival.observation = r.describe(message), r.observationOf(message)
	}
	arrival.release = func() {
		from.observe(arrival.observation)
		e.call.complete(got)
	}
	return arrival
}

// complete ends a call; further replies to it are dropped.
func (c *call) complete(got callResult) {
	select {
	case c.replies <- got:
	default:
	}
}

func encode(message rpc.Message) ([]byte, error) {
	data := make([]byte, message.SizeVT())
	_, err := message.MarshalToSizedBufferVT(data)
	return data, err
}
