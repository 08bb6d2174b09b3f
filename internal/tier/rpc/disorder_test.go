package rpc

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"pulleygw.example/pulleygw/internal/tier/tierpb"
)

// cuttingConnection takes a few bytes of the first write, which then fails, and all of the others.
type cuttingConnection struct {
	net.Conn
	failure error
	writes  int
	written bytes.Buffer
	closed  bool
}

func (c *cuttingConnection) SetWriteDeadline(time.Time) error { return nil }

func (c *cuttingConnection) Close() error {
	c.closed = true
	return nil
}

func (c *cuttingConnection) Write(data []byte) (int, error) {
	c.writes++
	if c.writes > 1 {
		return c.written.Write(data)
	}
	n, _ := c.written.Write(data[:3])
	return n, c.failure
}

// A frame that was cut is followed by nothing: its peer would take the next one for the rest of it.
func TestNothingFollowsACutFrame(t *testing.T) {
	for name, failure := range map[string]error{"peer does not read": os.ErrDeadlineExceeded, "reset": syscall.ECONNRESET} {
		t.Run(name, func(t *testing.T) {
			connection := &cuttingConnection{failure: failure}
			writer := newFrameWriter(connection)
			for call := range uint32(2) {
				encoded, err := encode(byte(MethodPing)|kindReply, call, &tierpb.Node{Name: "cut"})
				assert.NilError(t, err)
				assert.ErrorIs(t, writer.write(context.Background(), encoded), ErrUnreachable)
				assert.Assert(t, connection.closed)
			}
			assert.Equal(t, connection.written.Len(), 3)
		})
	}
}

// A reply of another method shows a peer that counts calls in another way; the connection goes.
func TestReplyOfAnotherMethodEndsTheConnection(t *testing.T) {
	client, far := pipeClient(t)
	ended := make(chan error)
	go func() { ended <- client.Call(patient(t), "a", MethodPing, &tierpb.Node{}, &tierpb.Node{}) }()
	peer := <-far
	var header [headerBytes]byte
	asked, err := readFrame(peer, &header)
	assert.NilError(t, err)
	reply, err := encode(byte(MethodLease)|kindReply, asked.call, &tierpb.Node{Name: "of another"})
	assert.NilError(t, err)
	_, err = peer.Write(reply)
	assert.NilError(t, err)
	assert.ErrorIs(t, <-ended, ErrUnreachable)
	_, err = peer.Read(make([]byte, 1))
	assert.Assert(t, err != nil)
}

// disorder is a peer that answers echo calls in another order, twice, not at all, with numbers nobody asked for, and that cuts
// its connection within frames, all by a seed. It counts how often each request came.
type disorder struct {
	mu     sync.Mutex
	random *rand.Rand
	came   map[string]int
}

func (d *disorder) draw(below int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.random.IntN(below)
}

// serve reads requests and answers them in groups, until it cuts the connection.
func (d *disorder) serve(connection net.Conn) {
	defer connection.Close()
	var held []frame
	var header [headerBytes]byte
	for {
		asked, err := readFrame(connection, &header)
		if err != nil {
			return
		}
		d.note(asked)
		held = append(held, asked)
		if len(held) < 1+d.draw(4) {
			continue
		}
		d.mu.Lock()
		d.random.Shuffle(len(held), func(i, j int) { held[i], held[j] = held[j], held[i] })
		d.mu.Unlock()
		for _, one := range held {
			if !d.answer(connection, one) {
				return
			}
		}
		held = held[:0]
	}
}

func (d *disorder) note(asked frame) {
	request := &tierpb.Node{}
	if request.UnmarshalVT(asked.payload) == nil {
		d.mu.Lock()
		d.came[request.Name]++
		d.mu.Unlock()
	}
}

// answer answers one request in one of the ways and says whether the connection goes on.
func (d *disorder) answer(connection net.Conn, asked frame) bool {
	reply := rawFrame(asked.kind|kindReply, asked.call, asked.payload)
	switch d.draw(12) {
	case 0: // none
		return true
	case 1: // twice
		_, err := connection.Write(append(reply, reply...))
		return err == nil
	case 2: // one that nobody asked for, ahead of it
		_, _ = connection.Write(rawFrame(asked.kind|kindReply, 1<<31, []byte{0x0a, 1, 'x'}))
		_, err := connection.Write(reply)
		return err == nil
	case 3: // cut
		_, _ = connection.Write(reply[:d.draw(len(reply))])
		return false
	case 4: // longer than the bound, or no frame at all
		_, _ = connection.Write([][]byte{[]byte("\xff\xff\xff\xff garbage"), []byte("HTTP/1.1 400 Bad Request\r\n\r\n")}[d.draw(2)])
		return false
	case 5: // failure
		_, err := connection.Write(rawFrame(kindFailure, asked.call, nil))
		return err == nil
	}
	_, err := connection.Write(reply)
	return err == nil
}

func rawFrame(kind byte, call uint32, payload []byte) []byte {
	length := uint32(headerBytes - lengthBytes + len(payload))
	head := []byte{byte(length >> 24), byte(length >> 16), byte(length >> 8), byte(length), kind,
		byte(call >> 24), byte(call >> 16), byte(call >> 8), byte(call)}
	return append(head, payload...)
}

// Whatever happens on the way, a call returns its own reply or an error, and no request leaves more than once. Numbers begin
// anew with each connection, and many calls are given up before their replies come.
func TestCallsGetTheirOwnRepliesAndLeaveOnce(t *testing.T) {
	const seeds = 30
	own := 0
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) { own += callInDisorder(t, seed) })
	}
	t.Logf("%d calls got their replies", own)
	assert.Assert(t, own > 0)
}

// callInDisorder makes calls at once to a peer in disorder and returns how many got their replies.
func callInDisorder(t *testing.T, seed uint64) int {
	const callers, callsEach = 6, 25
	peer := &disorder{random: rand.New(rand.NewPCG(seed, 5)), came: map[string]int{}}
	client := newClient(func(context.Context, string) (net.Conn, error) {
		near, far := net.Pipe()
		go peer.serve(far)
		return near, nil
	})
	var calls sync.WaitGroup
	var own atomic.Int32
	for caller := range callers {
		calls.Go(func() {
			for i := range callsEach {
				name := fmt.Sprintf("%d/%d", caller, i)
				ctx, cancel := context.WithTimeout(context.Background(), time.Duration(1+i%5)*silentTime/4)
				reply := &tierpb.Node{}
				err := client.Call(ctx, "a", MethodPing, &tierpb.Node{Name: name}, reply)
				cancel()
				if err == nil {
					assert.Check(t, reply.Name == name, "seed %d: %q got %q", seed, name, reply.Name)
					own.Add(1)
				}
			}
		})
	}
	calls.Wait()
	client.Close()
	synctest.Wait()
	for name, times := range peer.came {
		assert.Check(t, times == 1, "seed %d: %q came %d times", seed, name, times)
	}
	return int(own.Load())
}
