package admission

import (
	"time"

	"pulleygw.example/pulleygw/internal/shared/curve"
	"pulleygw.example/pulleygw/internal/tier/ablation"
)

// level returns the request's shedding level; higher levels are shed first. The levels are the priorities, followed by the
// priorities of first requests of programs: a program under way has a value only if all of its turns are served.
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

// countLevel updates the levels' shares with an arrival.
func (svc *service) countLevel(level int) {
	for i := range svc.levelShares {
		svc.levelShares[i] -= levelSmoothing * svc.levelShares[i]
	}
	svc.levelShares[level] += levelSmoothing
}

// startsProgram reports whether a request is the first of its program, as far as this proxy can tell.
func (svc *service) startsProgram(r *Request) bool {
	if ablation.Disabled(ablation.FirstTurns) {
		return false
	}
	return r.FirstTurn && r.Affinity != 0 && !svc.startedPrograms.has(r.Affinity)
}

// rejectIfNeeded rejects a new request that cannot be answered in time, would be queued for too long or is shed. It reports
// whether it rejected the request.
func (c *core) rejectIfNeeded(svc *service, p *pendingRequest, now time.Duration, t tier) bool {
	if p.latestStart(now) <= now {
		c.reject(svc, p, DeadlineUnreachable)
		return true
	}
	if p.ResponseStarted {
		return false
	}
	if t == tierSaturated && svc.expectedWait(svc.queued+1) > (p.timeoutAt-now)/maxWaitDivisor {
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

// updateShedShare updates and returns the share of new requests to shed, which follows from the miss rate.
func (svc *service) updateShedShare(now time.Duration) float64 {
	missed, total := svc.missedDeadlines.SumSince(now-missWindow), svc.deadlines.SumSince(now-missWindow)
	svc.shedShare = sheddingRule.Next(svc.shedShare, now-svc.shedShareAt, missed, total)
	svc.shedShareAt = now
	return svc.shedShare
}

// busy reports whether requests are queued or enough slots are in use. Otherwise shedding would only waste capacity.
func (svc *service) busy(now time.Duration) bool {
	if svc.queued > 0 {
		return true
	}
	used, all := svc.slotUsage(now)
	return used >= busyShare*all
}

// shedShareOf returns the share of a level's requests to shed, given the share to shed of all requests. Up to maxLevelShed of
// the highest level is shed before any of the next. Shedding the first request of a program also saves its later requests.
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

// requestsSaved returns how many requests are saved by shedding one request of a level: for the first request of a program,
// the average number of requests of a program.
func requestsSaved(level int, total, starting float64) float64 {
	if level < priorityCount || starting == 0 {
		return 1
	}
	return total / starting
}

// reject rejects a request. Its RetryAfter grows with the share that is shed and with the expected wait in the queue.
func (c *core) reject(svc *service, p *pendingRequest, reason RejectReason) {
	after := minRetryAfter + curve.Duration(svc.shedShare*(maxRetryAfter-minRetryAfter).Seconds())
	after = min(max(after, svc.expectedWait(svc.queued)), maxRetryAfter)
	p.rejection = &RejectedError{Reason: reason, RetryAfter: after}
}
