package admission

import (
	"container/heap"
	"time"

	"pulleygw.example/pulleygw/internal/shared/tailguard"
)

// waiter is a request that is held, or being decided on.
type waiter struct {
	Request
	class   *class
	begins  bool   // the first of its program
	store   *store // whose queue it is in
	shunned *store // it failed what this one goes on from
	place   tailguard.QueueKey
	index   int // in the queue, -1 when it is in none
	since   time.Duration
	aimAt   time.Duration
	endAt   time.Duration
	counted bool // as a miss
	grant   *Grant
	refusal *RejectedError
	done    chan struct{} // closed when it has a grant or a refusal; made only when it is held
}

// queue is a store's held requests as a heap, in the order of release.
type queue []*waiter

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, j int) bool { return q[i].place.Before(q[j].place) }
func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push is heap.Interface's.
func (q *queue) Push(x any) {
	w := x.(*waiter)
	w.index = len(*q)
	*q = append(*q, w)
}

// Pop is heap.Interface's.
func (q *queue) Pop() any {
	last := len(*q) - 1
	w := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	w.index = -1
	return w
}

// hold puts a waiter into the store's queue.
func (s *store) hold(w *waiter) {
	w.store = s
	if w.done == nil {
		w.done = make(chan struct{})
	}
	s.service.held++
	heap.Push(&s.held, w)
}

// unhold takes it out again.
func (w *waiter) unhold() {
	if w.index >= 0 {
		w.store.service.held--
		heap.Remove(&w.store.held, w.index)
	}
}
