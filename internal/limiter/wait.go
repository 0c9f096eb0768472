package limiter

import "time"

// missesDeadline reports whether a request would not end in time even if it
// started now. While no request of its class and route is running, it is tried
// regardless of the estimate. Otherwise an estimate that has become wrong, for
// example because the host was paused, would refuse the route for ever.
func (g *Gate) missesDeadline(now time.Time, r Request, c class) bool {
	if !now.Before(r.Deadline) {
		return true
	}
	return now.Add(g.estimator.expectedForRoute(c, r.Route)).After(r.Deadline) && g.hasRunning(c, r.Route)
}

// hasRunning reports whether a request of the class and route holds a slot.
func (g *Gate) hasRunning(c class, route string) bool {
	for _, run := range g.running {
		if run.class == c && run.route == route {
			return true
		}
	}
	return false
}

// enqueue queues a request for which no slot is free, or refuses it. It evicts
// another waiting request if the queue is full and the new one takes precedence.
func (g *Gate) enqueue(now time.Time, r Request, c class) Decision {
	startBy := g.startBy(now, r, c)
	switch {
	case r.NoWait:
		return g.refuse(now, r, ReasonQueueFull)
	case g.rateStart(now, c, r.toWaiting()).After(startBy):
		return g.refuse(now, r, ReasonRateLimited)
	case g.queue.order != OrderLIFO && g.expectedStart(now, c, r.toWaiting()).After(startBy):
		w := r.toWaiting()
		w.class, w.startBy = c, startBy
		return g.refuse(now, r, g.expiryReason(now, &w))
	}
	if !g.queue.hasSpace(c) {
		victim, ok := g.queue.victim(c, r.Firm, r.rank())
		if !ok {
			return g.refuse(now, r, ReasonQueueFull)
		}
		g.queue.remove(victim.id)
		g.drop(now, victim, ReasonQueueFull)
	}
	w := r.toWaiting()
	w.class, w.startBy, w.arrived = c, startBy, now
	g.queue.push(w)
	g.dropUnservable(now, c)
	return Decision{Verdict: VerdictQueued, StartBy: startBy, Changes: g.changes}
}

// dropUnservable drops the waiting requests of a class that the rate limit no longer
// lets start in time, because the limit has changed or others go before them.
func (g *Gate) dropUnservable(now time.Time, c class) {
	if !g.bucket.isLimited() {
		return
	}
	aheadByFirm := map[string]int{}
	for _, w := range g.queue.inStartOrder(c) {
		ahead := aheadByFirm[w.firm] * g.queue.countFirms(c, w.firm)
		if g.bucket.availableAt(now, ahead).After(w.startBy) {
			g.queue.remove(w.id)
			g.drop(now, w, ReasonRateLimited)
			continue
		}
		aheadByFirm[w.firm]++
	}
}

// rateStart returns when the rate limit lets a further request start.
func (g *Gate) rateStart(now time.Time, c class, w waitingRequest) time.Time {
	ahead := g.queue.countAhead(c, &w) * g.queue.countFirms(c, w.firm)
	if c != urgent {
		ahead += g.queue.len() - len(g.queue.byClass[c])
	}
	return g.bucket.availableAt(now, ahead)
}

// retryAfter returns when a request that was not run should come back. Under a rate
// limit the refused requests come back one after the other, and each in the first
// half of the time to its deadline, so that it can still be served then.
func (g *Gate) retryAfter(now time.Time, c class, w waitingRequest, reason Reason) time.Time {
	expected := g.expectedStart(now, c, w)
	if reason != ReasonRateLimited {
		return expected
	}
	latest := now.Add(w.deadline.Sub(now) / 2)
	return g.bucket.reserveReturn(w.priority, expected, laterTime(latest, expected))
}

// expectedStart returns when a further request of the firm would start: after
// the firm's own waiting requests, at the rate of its fair share of the slots and
// within the rate limit.
func (g *Gate) expectedStart(now time.Time, c class, w waitingRequest) time.Time {
	available := g.capacity(now)
	slots := available.nonUrgentSlots
	if c == bulk {
		slots = available.bulkSlots
	}
	if !w.isCall() {
		slots = min(slots, g.calledRoom.slots(w.calls, slots))
	}
	serviceTime := g.estimator.currentServiceTime(now, c, g.runningCounts.byClass[c])
	ahead := g.queue.countAhead(c, &w) * g.queue.countFirms(c, w.firm)
	return laterTime(now.Add(g.estimator.expectedWait(now, ahead, slots, serviceTime)), g.rateStart(now, c, w))
}

// toWaiting returns the request as a queue entry, without its class and startBy.
func (r Request) toWaiting() waitingRequest {
	return waitingRequest{
		id: r.ID, firm: r.Firm, route: r.Route, priority: r.rank(), softDeadline: r.SoftDeadline, deadline: r.Deadline, calls: r.Calls,
	}
}

// callRank is the priority of calls, before those of all requests of callers.
const callRank = -1

// rank returns the priority of a request, which is callRank for a call.
func (r Request) rank() int {
	if r.IsCall {
		return callRank
	}
	return r.Priority
}

// startBy returns when a waiting request is dropped: when it could no longer
// end in time, or when it has waited so long that another target is likely to be faster.
func (g *Gate) startBy(now time.Time, r Request, c class) time.Time {
	expected := g.estimator.expectedForRoute(c, r.Route)
	by := r.Deadline.Add(-expected)
	if by.Before(now) {
		by = r.Deadline
	}
	if r.IsCall {
		return by
	}
	if !r.SoftDeadline.IsZero() {
		return earlierTime(by, laterTime(r.SoftDeadline.Add(-expected), now.Add(minWaitLimit)))
	}
	if c == bulk {
		return by
	}
	baseline := time.Duration(g.adaptiveLimit.baseline[c])
	if limit := now.Add(max(minWaitLimit, waitLimitFactor*baseline)); limit.Before(by) {
		return limit
	}
	return by
}

func earlierTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func laterTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
