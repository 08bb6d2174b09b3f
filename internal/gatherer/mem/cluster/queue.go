package cluster

import "container/heap"

// queue implements heap.Interface for a server's queue, ordered by QueueKey.
type queue struct{ *Server }

func (q queue) Len() int { return len(q.Queue) }

func (q queue) Less(i, j int) bool { return q.Queue[i].Before(q.Queue[j].QueueKey) }

func (q queue) Swap(i, j int) {
	q.Queue[i], q.Queue[j] = q.Queue[j], q.Queue[i]
	q.Queue[i].QueueIndex, q.Queue[j].QueueIndex = i, j
}

func (q queue) Push(x any) {
	sub := x.(*Subquery)
	sub.QueueIndex = len(q.Queue)
	q.Queue = append(q.Queue, sub)
}

func (q queue) Pop() any {
	last := len(q.Queue) - 1
	sub := q.Queue[last]
	q.Queue[last] = nil
	q.Queue = q.Queue[:last]
	sub.QueueIndex = -1
	return sub
}

// Enqueue adds a subquery to the server's queue.
func (s *Server) Enqueue(sub *Subquery) {
	sub.Server = s
	heap.Push(queue{s}, sub)
}

// Unqueue removes a subquery from the queue, if it is queued.
func (s *Server) Unqueue(sub *Subquery) {
	if sub.QueueIndex >= 0 {
		heap.Remove(queue{s}, sub.QueueIndex)
	}
}

// Dequeue removes and returns the first subquery of the queue, which must not be empty.
func (s *Server) Dequeue() *Subquery { return heap.Pop(queue{s}).(*Subquery) }

// Reorder restores the order of the queue after the deadline of a queued subquery has changed.
func (s *Server) Reorder(sub *Subquery) { heap.Fix(queue{s}, sub.QueueIndex) }
