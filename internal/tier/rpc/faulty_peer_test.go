package rpc

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// faultyPeer is an echo server with faults chosen by a seeded generator: it reorders, duplicates and drops replies, sends
// replies with unknown call ids, invalid lengths and failures, and closes connections within a frame. It counts how often
// it received each request.
type faultyPeer struct {
	mu       sync.Mutex
	random   *rand.Rand
	received map[string]int
}

// intN returns a random number below n.
func (p *faultyPeer) intN(n int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.random.IntN(n)
}

// serve reads requests and replies to them in groups, until it closes the connection.
func (p *faultyPeer) serve(connection net.Conn) {
	defer connection.Close()
	var queued []frame
	var header [headerBytes]byte
	for {
		request, err := readFrame(connection, &header)
		if err != nil {
			return
		}
		p.count(request)
		queued = append(queued, request)
		if len(queued) < 1+p.intN(4) {
			continue
		}
		p.mu.Lock()
		p.random.Shuffle(len(queued), func(i, j int) { queued[i], queued[j] = queued[j], queued[i] })
		p.mu.Unlock()
		for _, request := range queued {
			if !p.reply(connection, request) {
				return
			}
		}
		queued = queued[:0]
	}
}

// count counts a request under the node name that it contains.
func (p *faultyPeer) count(request frame) {
	node := &tierpb.Node{}
	if node.UnmarshalVT(request.payload) == nil {
		p.mu.Lock()
		p.received[node.Name]++
		p.mu.Unlock()
	}
}

// reply replies to a request with or without a random fault. It reports whether the connection is still open.
func (p *faultyPeer) reply(connection net.Conn, request frame) bool {
	reply := encodeRawFrame(request.kind|replyFlag, request.callID, request.payload)
	switch p.intN(12) {
	case 0: // no reply
		return true
	case 1: // duplicate reply
		_, err := connection.Write(append(reply, reply...))
		return err == nil
	case 2: // preceded by a reply with an unknown call id
		_, _ = connection.Write(encodeRawFrame(request.kind|replyFlag, 1<<31, []byte{0x0a, 1, 'x'}))
		_, err := connection.Write(reply)
		return err == nil
	case 3: // truncated reply
		_, _ = connection.Write(reply[:p.intN(len(reply))])
		return false
	case 4: // invalid frame length
		_, _ = connection.Write([][]byte{[]byte("\xff\xff\xff\xff garbage"), []byte("HTTP/1.1 400 Bad Request\r\n\r\n")}[p.intN(2)])
		return false
	case 5: // failure
		_, err := connection.Write(encodeRawFrame(kindFailure, request.callID, nil))
		return err == nil
	}
	_, err := connection.Write(reply)
	return err == nil
}

// TestCallsGetTheirOwnRepliesAndAreSentOnce: with a faulty peer, a call returns its own reply or an error, and no request is
// sent more than once. It guards against replies that reach the wrong call, because call ids are reused by the next
// connection and many calls time out before their replies arrive.
func TestCallsGetTheirOwnRepliesAndAreSentOnce(t *testing.T) {
	const seeds = 30
	completed := 0
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) { completed += runCallsToFaultyPeer(t, seed) })
	}
	t.Logf("%d calls completed", completed)
	assert.Assert(t, completed > 0)
}

// runCallsToFaultyPeer makes concurrent calls to a faulty peer and returns how many got their replies.
func runCallsToFaultyPeer(t *testing.T, seed uint64) int {
	t.Helper()
	const callers, callsEach = 6, 25
	peer := &faultyPeer{random: rand.New(rand.NewPCG(seed, 5)), received: map[string]int{}}
	client := newClient(func(context.Context, string) (net.Conn, error) {
		local, remote := net.Pipe()
		go peer.serve(remote)
		return local, nil
	})
	var calls sync.WaitGroup
	var completed atomic.Int32
	for caller := range callers {
		calls.Go(func() {
			for i := range callsEach {
				name := fmt.Sprintf("%d/%d", caller, i)
				ctx, cancel := context.WithTimeout(context.Background(), time.Duration(1+i%5)*unresponsiveTimeout/4)
				reply := &tierpb.Node{}
				err := client.Call(ctx, "a", MethodPing, &tierpb.Node{Name: name}, reply)
				cancel()
				if err == nil {
					assert.Check(t, reply.Name == name, "seed %d: %q got %q", seed, name, reply.Name)
					completed.Add(1)
				}
			}
		})
	}
	calls.Wait()
	client.Close()
	synctest.Wait()
	for name, times := range peer.received {
		assert.Check(t, times == 1, "seed %d: %q was received %d times", seed, name, times)
	}
	return int(completed.Load())
}
