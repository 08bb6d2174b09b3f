package upstream

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// once is a request that may not be sent again.
func once(id string) *Request {
	request := post(id, "in")
	request.Service, request.LastAttempt = "s", true
	return request
}

func repeatable(id string) *Request {
	request := post(id, "in")
	request.Service = "s"
	return request
}

// movableClock is a clock that goes on by itself and can be moved on.
type movableClock struct{ ahead atomic.Int64 }

func (c *movableClock) now() time.Time          { return time.Now().Add(time.Duration(c.ahead.Load())) }
func (c *movableClock) pass(span time.Duration) { c.ahead.Add(int64(span)) }

// What may not be sent again goes out on a new connection once one that had rested as long turned out to be dead, at any store
// of the service; what may be sent again still goes out on the kept one.
func TestRequestsThatMayNotBeRepeatedKeepAwayFromRestedConnections(t *testing.T) {
	pools, here, accept := loopbackPools(t)
	clock := &movableClock{}
	pools.now = clock.now
	there := Store{Instance: "i-2", Address: here.Address}
	kept := exchangeOn(t, pools, there, once("a"), accept)
	side := exchangeOn(t, pools, here, once("b"), accept)
	clock.pass(time.Second)
	exchangeOn(t, pools, here, once("c"), func() *storeSide { return side }) // nothing speaks against it yet
	clock.pass(time.Second)
	lost := sendInBackground(context.Background(), pools, here, repeatable("lost"))
	side.readRequest()
	side.reset()
	assertSent(t, (<-lost).err, ErrConnectionLost)
	exchangeOn(t, pools, there, repeatable("d"), func() *storeSide { return kept })
	clock.pass(time.Second/restMargin + 100*time.Millisecond)
	fresh := exchangeOn(t, pools, there, once("e"), accept)
	assert.Equal(t, pools.idleConnections(there), 2)
	clock.pass(time.Second / restMargin / 2)
	exchangeOn(t, pools, there, once("f"), func() *storeSide { return fresh }) // it has rested for less
}

func TestDeadConnectionsAreForgotten(t *testing.T) {
	now := time.Unix(1000, 0)
	limits := restLimits{}
	limits.dead("s", 3*time.Second, now)
	limits.dead("s", time.Second, now.Add(time.Second))
	limits.dead("s", 2*time.Second, now.Add(2*time.Second))
	most, limited := limits.most("s", now.Add(3*time.Second))
	assert.Assert(t, limited)
	assert.Equal(t, most, time.Second/restMargin)
	_, limited = limits.most("other", now)
	assert.Assert(t, !limited)
	_, limited = limits.most("s", now.Add(2*time.Second+restKept))
	assert.Assert(t, !limited)
	limits.dead("s", 3*time.Second, now.Add(time.Minute))
	most, _ = limits.most("s", now.Add(time.Minute))
	assert.Equal(t, most, 3*time.Second/restMargin)
}

// A new connection that breaks off, and a kept one that breaks off within an answer, say nothing about rests.
func TestBreaksThatAreNoDeadConnections(t *testing.T) {
	pools, store, accept := loopbackPools(t)
	broken := sendInBackground(context.Background(), pools, store, once("a"))
	side := accept()
	side.readRequest()
	side.reset()
	assertSent(t, (<-broken).err, ErrConnectionLost)
	side = exchangeOn(t, pools, store, once("b"), accept)
	broken = sendInBackground(context.Background(), pools, store, once("c"))
	side.readRequest()
	side.write("HTTP/1.1 200 O")
	side.Close()
	assertSent(t, (<-broken).err, ErrConnectionLost)
	assert.Equal(t, len(pools.rests), 0)
}
