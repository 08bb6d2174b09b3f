package limits

import "time"

// slots counts over a sliding span in ten steps of it, in constant memory.
type slots struct {
	n    [slotCount + 1]float64
	head int
	at   time.Duration // when the newest slot started
}

const slotCount = 10

// advance drops the slots that have left the span.
func (s *slots) advance(now, span time.Duration) {
	step := max(span/slotCount, 1)
	passed := (now - s.at) / step
	if passed <= 0 {
		return // also where a clock went back: the counts stay
	}
	for range min(passed, slotCount+1) {
		s.head = (s.head + 1) % len(s.n)
		s.n[s.head] = 0
	}
	s.at += passed * step
}

func (s *slots) add(now, span time.Duration, x float64) {
	s.advance(now, span)
	s.n[s.head] += x
}

func (s *slots) sum(now, span time.Duration) (total float64) {
	s.advance(now, span)
	for _, x := range s.n {
		total += x
	}
	return total
}

// budget is a retry budget.
type budget struct{ first, retries slots }

func (b *budget) countFirst(r RetryBudget, now time.Duration) {
	if r.Span > 0 {
		b.first.add(now, r.Span, 1)
	}
}

// retry reports whether a retry is within the budget, and counts it if so.
func (b *budget) retry(r RetryBudget, now time.Duration) bool {
	if r.Span <= 0 {
		return true
	}
	if b.retries.sum(now, r.Span)+1 > r.Minimum+r.Ratio*b.first.sum(now, r.Span) {
		return false
	}
	b.retries.add(now, r.Span, 1)
	return true
}
