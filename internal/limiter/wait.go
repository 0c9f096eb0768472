package limiter

import "time"

// trialDivisor divides the slots to give those in which requests of a route are tried that
// would miss their deadline by the estimate.
const trialDivisor = 5

// missesDeadline reports whether a request would not end in time even if it
// started now. While few requests of its class and route are running, it is tried
// regardless of the estimate. Otherwise an estimate that has become wrong, for
// example because the host was paused, would refuse the route for ever, or as long as
// one request hangs.
func (g *Gate) missesDeadline(now time.Time, r Request, c class) bool {
	if !now.Before(r.Deadline) {
		return true
	}
	return now.Add(g.estimator.expectedForRoute(c, r.Route)).After(r.Deadline) &&
		g.countRunning(c, r.Route) >= max(g.slots(now)/trialDivisor, 1)
}

// countRunning counts the requests of the class and route that hold a slot.
func (g *Gate) countRunning(c class, route string) int {
	n := 0
	for _, run := range g.running {
		if run.class == c && run.route == route {
			n++
		}
	}
	return n
}

// enqueue queues a request for which no slot is free, or refuses it. It evicts
// another waiting request if the queue is full and the new one takes precedence.
func (g *Gate) enqueue(now time.Time, r Request, w waitingRequest) Decision {
	c := w.class
	w.startBy = g.startBy(now, &w)
	switch {
	case r.NoWait:
		return g.refuse(now, &w, ReasonQueueFull)
	case g.rateStart(now, &w).After(w.startBy):
		return g.refuse(now, &w, ReasonRateLimited)
	case g.queue.order != OrderLIFO && g.expectedStart(now, &w).After(w.startBy):
		return g.refuse(now, &w, g.expiryReason(now, &w))
	}
	if !g.queue.hasSpace(c) {
		victim, ok := g.victim(now, &w)
		if !ok {
			return g.refuse(now, &w, ReasonQueueFull)
		}
		g.removeWaiting(victim.id)
		g.drop(now, victim, ReasonQueueFull)
	}
	g.queue.push(w)
	g.room.recordWaiting(&w, 1)
	g.dropUnservable(now, c)
	return Decision{Verdict: VerdictQueued, StartBy: w.startBy, Changes: g.changes}
}

// victim returns the waiting request that gives up its place to a new one.
func (g *Gate) victim(now time.Time, w *waitingRequest) (waitingRequest, bool) {
	list := g.queue.byClass[w.class]
	if !g.isRanked() || len(list) == 0 {
		return g.queue.victim(w.class, w.firm, w.priority)
	}
	last, lastRank := g.room.last(now, list)
	own := g.room.rank(now, w)
	return last, own.compare(&lastRank) < 0
}

// dropUnservable drops the waiting requests of a class that the rate limit no longer
// lets start in time, because the limit has changed or others go before them.
func (g *Gate) dropUnservable(now time.Time, c class) {
	if !g.bucket.isLimited() {
		return
	}
	if g.isRanked() {
		ahead := 0
		for _, w := range g.room.inOrder(now, g.queue.byClass[c]) {
			if !g.dropUnlessInTime(now, w, ahead) {
				ahead++
			}
		}
		return
	}
	aheadByFirm := map[string]int{}
	for _, w := range g.queue.inStartOrder(c) {
		if !g.dropUnlessInTime(now, w, aheadByFirm[w.firm]*g.queue.countFirms(c, w.firm)) {
			aheadByFirm[w.firm]++
		}
	}
}

// dropUnlessInTime drops a waiting request if the rate limit lets it start too late
// behind the given number of others.
func (g *Gate) dropUnlessInTime(now time.Time, w waitingRequest, ahead int) (dropped bool) {
	if !g.bucket.availableAt(now, ahead).After(w.startBy) {
		return false
	}
	g.removeWaiting(w.id)
	g.drop(now, w, ReasonRateLimited)
	return true
}

// countAhead counts the waiting requests of the class that start before w.
func (g *Gate) countAhead(now time.Time, w *waitingRequest) int {
	if !g.isRanked() {
		return g.queue.countAhead(w.class, w)
	}
	n, _ := g.room.ahead(now, g.queue.byClass[w.class], w)
	return n
}

// rateStart returns when the rate limit lets a further request start.
func (g *Gate) rateStart(now time.Time, w *waitingRequest) time.Time {
	if !g.bucket.isLimited() {
		return now
	}
	ahead := g.countAhead(now, w)
	if !g.isRanked() {
		ahead *= g.queue.countFirms(w.class, w.firm)
	}
	if w.class != urgent {
		ahead += g.queue.len() - len(g.queue.byClass[w.class])
	}
	return g.bucket.availableAt(now, ahead)
}

// reasonByRoom returns the reason of a refusal. It names the firm's use where that is what
// puts the request behind others. It counts the last refusal of a request for its kind,
// unless another order at this target would not have helped.
func (g *Gate) reasonByRoom(w *waitingRequest, reason Reason) Reason {
	if !g.isRanked() || reason == ReasonDuplicate {
		return reason
	}
	if w.waitPastSoftDeadline && reason != ReasonCalledRoom {
		g.room.demand.recordRefusal(w.kind, g.room.decay.factor)
	}
	isShort := reason == ReasonQueueFull || reason == ReasonWaitedTooLong || reason == ReasonMissesDeadline
	if isShort && g.room.parts.excess(w.use, g.room.decay.factor) > 0 {
		return ReasonFirmOverPart
	}
	return reason
}

// retryAfter returns when a request that was not run should come back. Under a rate
// limit the refused requests come back one after the other, and each in the first
// half of the time to its deadline, so that it can still be served then.
func (g *Gate) retryAfter(now time.Time, w *waitingRequest, reason Reason) time.Time {
	expected := g.expectedStart(now, w)
	if reason == ReasonRateLimited {
		latest := now.Add(w.deadline.Sub(now) / 2)
		return g.bucket.reserveReturn(w.priority, expected, laterTime(latest, expected))
	}
	if !g.isRanked() || !w.waitPastSoftDeadline {
		// The request is sent to another target, or its class has a short queue.
		return expected
	}
	latest := now.Add(w.deadline.Sub(now) / returnShareDivisor)
	return g.returns.book(w.priority, expected, laterTime(latest, now), g.startInterval(now, w))
}

// startInterval returns the time between the starts of requests like w.
func (g *Gate) startInterval(now time.Time, w *waitingRequest) time.Duration {
	return time.Duration(float64(w.expected) * g.slowness(now) / g.roomFor(w, g.slotsFor(now, w.class)))
}

func (g *Gate) slotsFor(now time.Time, c class) int {
	available := g.capacity(now)
	if c == bulk {
		return available.bulkSlots
	}
	return available.nonUrgentSlots
}

// calledSlots returns how many of the slots requests that make the same calls as w may hold.
func (g *Gate) calledSlots(w *waitingRequest, slots int) int {
	if w.isCall() {
		return slots
	}
	return g.calledRoom.slots(w.calls, slots)
}

// roomFor returns how many of the slots are left for requests like w by the load of more
// urgent kinds and by the room for its calls.
func (g *Gate) roomFor(w *waitingRequest, slots int) float64 {
	left := g.room.demand.roomFor(w.kind, w.priority, g.room.decay.factor, slots)
	return min(left, float64(g.calledSlots(w, slots)))
}

// slowness returns how much longer than expected the running requests take.
func (g *Gate) slowness(now time.Time) float64 {
	return g.room.demand.slowness(g.estimator.ageSum(now, &g.runningCounts))
}

// expectedStart returns when a further request would start, within the rate limit.
func (g *Gate) expectedStart(now time.Time, w *waitingRequest) time.Time {
	return laterTime(now.Add(g.expectedWait(now, w)), g.rateStart(now, w))
}

// expectedWait returns how long a further request waits for a slot. Without ranks that is
// after the firm's own waiting requests, at the rate of its fair share of the slots; else
// after the work that ranks before it, in the room that the load of more urgent kinds leaves.
func (g *Gate) expectedWait(now time.Time, w *waitingRequest) time.Duration {
	slots := g.slotsFor(now, w.class)
	usable := g.calledSlots(w, slots)
	releases := g.room.demand.releaseRate * float64(usable) / float64(slots)
	if !g.isRanked() || releases <= 0 {
		serviceTime := g.estimator.currentServiceTime(now, w.class, g.runningCounts.byClass[w.class])
		ahead := g.queue.countAhead(w.class, w) * g.queue.countFirms(w.class, w.firm)
		return g.estimator.expectedWait(now, ahead, usable, serviceTime)
	}
	slow := g.slowness(now)
	untilNextFree := max(time.Duration(slow/releases*float64(time.Second)), now.Sub(g.estimator.lastFreed))
	_, work := g.room.ahead(now, g.queue.byClass[w.class], w)
	return untilNextFree + time.Duration(float64(work)*slow/g.roomFor(w, slots))
}

// newWaiting returns a request as a queue entry, without its startBy.
func (g *Gate) newWaiting(now time.Time, r Request, c class) waitingRequest {
	return waitingRequest{
		id: r.ID, class: c, firm: r.Firm, route: r.Route, priority: r.rank(), softDeadline: r.SoftDeadline, deadline: r.Deadline,
		waitPastSoftDeadline: r.WaitPastSoftDeadline, expected: g.estimator.expectedForRoute(c, r.Route),
		arrived: now, calls: r.Calls,
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

// maxPatienceDivisor divides the time until a request must start to give that for which it
// may wait past its soft deadline, since the load may grow while it waits.
const maxPatienceDivisor = 2

// startBy returns when a waiting request is dropped: when it could no longer
// end in time, or when it has waited so long that another target is likely to be faster.
func (g *Gate) startBy(now time.Time, w *waitingRequest) time.Time {
	by := w.deadline.Add(-w.expected)
	if by.Before(now) {
		by = w.deadline
	}
	if w.isCall() {
		return by
	}
	if !w.softDeadline.IsZero() {
		soft := earlierTime(by, laterTime(w.softDeadline.Add(-w.expected), now.Add(minWaitLimit)))
		if !w.waitPastSoftDeadline {
			return soft
		}
		return laterTime(soft, now.Add(by.Sub(now)/maxPatienceDivisor))
	}
	if w.class == bulk {
		return by
	}
	baseline := time.Duration(g.adaptiveLimit.baseline[w.class])
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
