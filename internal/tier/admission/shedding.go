package admission

import (
	"time"

	"pulleygw.example/pulleygw/internal/shared/curve"
	"pulleygw.example/pulleygw/internal/tier/ablation"
)

// level returns the request's shedding level, of which the highest is shed first: requests by priority, and above them the
// first requests of programs by priority. A program under way is worth something only when all of its turns are served.
func (p *pendingRequest) level() int {
	level := min(max(p.Priority, 0), priorityCount-1)
	if ablation.Disabled(ablation.PriorityLevels) {
		level = 0
	}
	if p.startsProgram {
		level += priorityCount
	}
	return level
}

// countLevel counts an arrival in its level's share.
func (svc *service) countLevel(level int) {
	for i := range svc.levelShares {
		svc.levelShares[i] -= levelSmoothing * svc.levelShares[i]
	}
	svc.levelShares[level] += levelSmoothing
}

// startsProgram reports whether a request is the first of its program, as far as this proxy can know.
func (svc *service) startsProgram(r *Request) bool {
	if ablation.Disabled(ablation.FirstTurns) {
		return false
	}
	return r.FirstTurn && r.Affinity != 0 && !svc.startedPrograms.has(r.Affinity)
}

// rejectIfNeeded rejects a new request that cannot be answered in time, would be queued for too long, or is to be shed. It
// reports whether it did.
func (c *core) rejectIfNeeded(svc *service, p *pendingRequest, now time.Duration, t tier) bool {
	if p.latestStart(now) <= now {
		c.reject(svc, p, DeadlineUnreachable)
		return true
	}
	if p.ResponseStarted {
		return false
	}
	if t == tierSaturated && svc.expectedWait(svc.queued+1) > (p.deadlineAt-now)/maxWaitDivisor {
		c.reject(svc, p, QueueTooLong)
		return true
	}
	share := svc.updateShedShare(now)
	if share == 0 || ablation.Disabled(ablation.LoadShedding) || !svc.busy(now) {
		return false
	}
	if c.random.Float64() >= svc.shedShareOf(p.level(), share) {
		return false
	}
	c.reject(svc, p, Shed)
	return true
}

// updateShedShare updates the share of new requests that is to be shed, by the miss rate.
func (svc *service) updateShedShare(now time.Duration) float64 {
	missed, decided := svc.missed.Since(now-missWindow), svc.decided.Since(now-missWindow)
	svc.shedShare = sheddingRule.Next(svc.shedShare, now-svc.shedShareAt, missed, decided)
	svc.shedShareAt = now
	return svc.shedShare
}

// busy reports whether requests are queued or enough slots are in use. Shedding would only waste capacity otherwise.
func (svc *service) busy(now time.Duration) bool {
	if svc.queued > 0 {
		return true
	}
	used, all := svc.slotUsage(now)
	return used >= busyShare*all
}

// shedShareOf returns the share of a level's requests that is shed, where a share of all is to be. The highest levels go
// first, most of theirs before any of the next. A program that is not started also saves its later requests.
func (svc *service) shedShareOf(level int, share float64) float64 {
	total, starting := 0.0, 0.0
	for i, s := range svc.levelShares {
		total += s
		if i >= priorityCount {
			starting += s
		}
	}
	remaining := share * total
	for i := levelCount - 1; i > level; i-- {
		remaining -= maxLevelShed * svc.levelShares[i] * requestsSaved(i, total, starting)
	}
	if remaining <= 0 {
		return 0
	}
	return min(remaining/(svc.levelShares[level]*requestsSaved(level, total, starting)), max(maxLevelShed, share))
}

// requestsSaved returns how many requests the store is spared by shedding one of a level: a program's first request spares
// all of the program's.
func requestsSaved(level int, total, starting float64) float64 {
	if level < priorityCount || starting == 0 {
		return 1
	}
	return total / starting
}

// reject rejects a request, with the time after which a retry is of use: the longer, the more is shed and queued.
func (c *core) reject(svc *service, p *pendingRequest, reason RejectReason) {
	after := minRetryAfter + curve.Duration(svc.shedShare*(maxRetryAfter-minRetryAfter).Seconds())
	after = min(max(after, svc.expectedWait(svc.queued)), maxRetryAfter)
	p.rejection = &RejectedError{Reason: reason, RetryAfter: after}
}
