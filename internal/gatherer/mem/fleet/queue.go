package fleet

import "container/heap"

// queue is a server's held parts as a heap, in the order of release.
type queue struct{ *Server }

func (q queue) Len() int { return len(q.Held) }

func (q queue) Less(i, j int) bool { return q.Held[i].QueueKey.Before(q.Held[j].QueueKey) }

func (q queue) Swap(i, j int) {
	q.Held[i], q.Held[j] = q.Held[j], q.Held[i]
	q.Held[i].Index, q.Held[j].Index = i, j
}

func (q queue) Push(x any) {
	p := x.(*Part)
	p.Index = len(q.Held)
	q.Held = append(q.Held, p)
}

func (q queue) Pop() any {
	last := len(q.Held) - 1
	p := q.Held[last]
	q.Held[last] = nil
	q.Held = q.Held[:last]
	p.Index = -1
	return p
}

// Hold puts a part into the server's queue.
func (s *Server) Hold(p *Part) {
	p.Server = s
	heap.Push(queue{s}, p)
}

// Unhold takes a part out of it, if it is in.
func (s *Server) Unhold(p *Part) {
	if p.Index >= 0 {
		heap.Remove(queue{s}, p.Index)
	}
}

// Next takes the first part out of it.
func (s *Server) Next() *Part { return heap.Pop(queue{s}).(*Part) }

// Reorder puts a held part whose deadline has changed where it belongs.
func (s *Server) Reorder(p *Part) { heap.Fix(queue{s}, p.Index) }
