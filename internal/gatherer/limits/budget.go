package limits

import "time"

// slidingCount counts events in a sliding window of time, the span. It uses constant memory: one count per slot, a tenth of
// the span.
type slidingCount struct {
	counts      [slotsPerSpan + 1]float64 // ring buffer
	head        int                       // index of the newest slot
	newestStart time.Duration             // when the newest slot started
}

const slotsPerSpan = 10 // slots per span

// advance clears the slots that have left the span.
func (s *slidingCount) advance(now, span time.Duration) {
	step := max(span/slotsPerSpan, 1)
	passed := (now - s.newestStart) / step
	if passed <= 0 {
		return // also if the clock went back: the counts are kept
	}
	for range min(passed, slotsPerSpan+1) {
		s.head = (s.head + 1) % len(s.counts)
		s.counts[s.head] = 0
	}
	s.newestStart += passed * step
}

func (s *slidingCount) add(now, span time.Duration, x float64) {
	s.advance(now, span)
	s.counts[s.head] += x
}

func (s *slidingCount) sum(now, span time.Duration) (total float64) {
	s.advance(now, span)
	for _, x := range s.counts {
		total += x
	}
	return total
}

// budget enforces a RetryBudget.
type budget struct{ first, retries slidingCount }

// countFirst counts a first attempt.
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
