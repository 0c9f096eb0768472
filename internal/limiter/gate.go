package limiter

import (
	"math"
	"time"

	"gentianbarrow.example/internal/retrier"
)

const (
	// waitLimitFactor times the baseline service time is how long a request may wait.
	waitLimitFactor = 3
	// minWaitLimit is how long a request may wait even if its service time is short.
	minWaitLimit = 20 * time.Millisecond
)

// runningRequest is a request that holds a slot.
type runningRequest struct {
	class   class
	firm    string
	route   string
	isCall  bool
	calls   []string
	started time.Time
	// expected, use and kind are those of its queue entry.
	expected time.Duration
	use      *firmUse
	kind     *kind
}

// Gate admits requests to one target. It is not safe for concurrent use.
type Gate struct {
	limits        Limits
	running       map[uint64]runningRequest
	runningCounts requestCounts
	queue         queue
	estimator     estimator
	adaptiveLimit adaptiveLimit
	ramp          ramp
	bucket        tokenBucket
	// room and returns are used with OrderSoftDeadline only.
	room    room
	returns returns
	// starts counts the requests that started, by order. Only kept with OrderSoftDeadline.
	starts     map[StartOrder]int
	calledRoom calledRoom
	// callWait is the smoothed time that calls waited for a slot.
	callWait time.Duration
	draining bool
	// changes is returned to the caller and reused by the next call.
	changes Changes
}

// NewGate returns a gate that uses all slots at once, without a ramp-up.
func NewGate(l Limits) *Gate {
	l = l.normalised()
	return &Gate{
		limits:        l,
		running:       map[uint64]runningRequest{},
		runningCounts: newRequestCounts(),
		queue:         newQueue(l),
		adaptiveLimit: newAdaptiveLimit(l),
		estimator:     newEstimator(),
		room:          newRoom(),
		starts:        map[StartOrder]int{},
		calledRoom:    newCalledRoom(),
	}
}

// Offer admits, queues or refuses a new request.
func (g *Gate) Offer(now time.Time, r Request) Decision {
	g.resetChanges()
	g.advance(now)
	c := classOf(r.Class)
	if g.contains(r.ID) {
		w := g.newWaiting(now, r, c)
		return g.refuse(now, &w, ReasonDuplicate)
	}
	if g.draining {
		return Decision{Verdict: VerdictRefused, Reason: ReasonDraining}
	}
	g.processQueue(now)
	w := g.newWaiting(now, r, c)
	if g.isRanked() {
		g.room.recordArrival(now, &w, r.FirmRate)
	}
	if g.missesDeadline(now, r, c) {
		return g.refuse(now, &w, ReasonMissesDeadline)
	}
	if g.mayStart(now, r, &w) {
		g.countStart(StartAtOnce)
		g.start(now, &w)
		return Decision{Verdict: VerdictAdmitted, Changes: g.changes}
	}
	return g.enqueue(now, r, w)
}

// isRanked reports whether waiting requests start by rank.
func (g *Gate) isRanked() bool { return g.queue.order == OrderSoftDeadline }

// Precheck decides on a request that will be offered after the given number of others.
// If refused is true, the rate limit would let it start too late even if it were
// offered now.
func (g *Gate) Precheck(now time.Time, r Request, ahead int) (d Decision, refused bool) {
	g.resetChanges()
	g.advance(now)
	c := classOf(r.Class)
	w := g.newWaiting(now, r, c)
	ahead += g.countAhead(now, &w)
	if !g.bucket.availableAt(now, ahead).After(g.startBy(now, &w)) {
		return Decision{}, false
	}
	return g.refuse(now, &w, ReasonRateLimited), true
}

// Done releases the slot of a request and returns the waiting requests that
// start or end as a result. It does nothing for a request that holds no slot.
func (g *Gate) Done(now time.Time, id uint64, res Result) Changes {
	g.resetChanges()
	run, ok := g.running[id]
	if !ok {
		return g.changes
	}
	g.advance(now)
	limitReached := !g.capacity(now).admits(short, g.runningCounts)
	delete(g.running, id)
	g.runningCounts.remove(run.class, run.firm, run.isCall)
	g.room.recordEnd(&run, len(g.running))
	g.calledRoom.remove(run.calls)
	g.estimator.removeRunning(run.class, run.started)
	if res.Outcome == retrier.OutcomeDone {
		g.estimator.recordServiceTime(run.class, run.route, now.Sub(run.started))
	}
	g.estimator.recordFreedSlot(now)
	g.adaptiveLimit.observe(now, run.class, now.Sub(run.started), res, limitReached)
	g.processQueue(now)
	return g.changes
}

// Cancel removes a waiting request. It returns false when the request is not
// waiting: one that holds a slot keeps it until Done.
func (g *Gate) Cancel(now time.Time, id uint64) (Changes, bool) {
	g.resetChanges()
	g.advance(now)
	ok := g.removeWaiting(id)
	g.processQueue(now)
	return g.changes, ok
}

// Expire drops waiting requests whose time to start has passed and starts those
// for which the ramp-up has made a slot available.
func (g *Gate) Expire(now time.Time) Changes {
	g.resetChanges()
	g.advance(now)
	g.processQueue(now)
	return g.changes
}

// Drain refuses new requests from now on and drops all waiting ones.
func (g *Gate) Drain(time.Time) Changes {
	g.resetChanges()
	g.draining = true
	for _, w := range g.queue.clear() {
		g.room.recordWaiting(&w, -1)
		g.changes.Dropped = append(g.changes.Dropped, Drop{ID: w.id, Reason: ReasonDraining})
	}
	return g.changes
}

// Resume accepts new requests again after Drain and starts a ramp-up.
func (g *Gate) Resume(now time.Time) {
	if !g.draining {
		return
	}
	g.draining = false
	g.SetReadySince(now)
}

// SetReadySince sets when the target last became ready; the ramp-up starts then.
func (g *Gate) SetReadySince(t time.Time) { g.ramp = newRamp(t) }

// SetRate changes the rate limit of the target. Requests in flight are not affected;
// waiting ones that can no longer start in time are dropped.
func (g *Gate) SetRate(now time.Time, r Rate) Changes {
	g.resetChanges()
	g.advance(now)
	g.bucket.set(now, r)
	g.processQueue(now)
	for c := range classCount {
		g.dropUnservable(now, c)
	}
	return g.changes
}

// NextStart returns when the rate limit lets the next waiting request start; false
// if none waits for it.
func (g *Gate) NextStart(now time.Time) (time.Time, bool) {
	if !g.bucket.isLimited() || g.queue.len() == 0 {
		return time.Time{}, false
	}
	at := g.bucket.availableAt(now, 0)
	return at, at.After(now)
}

// SetLimits changes the limits. Requests in flight keep their slots; waiting
// ones that exceed the new queue limits are dropped.
func (g *Gate) SetLimits(now time.Time, l Limits) Changes {
	g.resetChanges()
	g.advance(now)
	g.limits = l.normalised()
	g.adaptiveLimit.resize(g.limits)
	for _, w := range g.queue.resize(g.limits) {
		g.room.recordWaiting(&w, -1)
		g.drop(now, w, ReasonQueueFull)
	}
	g.processQueue(now)
	return g.changes
}

// Load returns the current state of the target.
func (g *Gate) Load(now time.Time) Load {
	return Load{
		Slots:    g.usableSlots(now),
		InFlight: len(g.running),
		Queued:   g.queue.len(),
		Draining: g.draining,
		Service:  g.estimator.nonBulkServiceTime(),
		CallWait: g.callWait,
	}
}

// advance moves the clock of what is known of the use of the target.
func (g *Gate) advance(now time.Time) {
	if g.isRanked() {
		g.room.advance(now)
	}
}

func (g *Gate) resetChanges() {
	g.changes.Started = g.changes.Started[:0]
	g.changes.Dropped = g.changes.Dropped[:0]
}

func (g *Gate) contains(id uint64) bool {
	if _, ok := g.running[id]; ok {
		return true
	}
	return g.queue.contains(id)
}

// slots returns how many requests may run now.
func (g *Gate) slots(now time.Time) int {
	ramped := g.limits.Slots
	if !g.limits.NoRamp {
		ramped = g.ramp.slots(now, g.limits)
	}
	if g.bucket.rate.State == RateUnknown {
		ramped = min(ramped, minSlots(g.limits))
	}
	return min(g.adaptiveLimit.slots(), ramped, g.limits.Connections)
}

// usableSlots returns how many slots requests hold at the same time if they start at
// the rate of the limit; all slots without a limit.
func (g *Gate) usableSlots(now time.Time) int {
	all := g.slots(now)
	serviceTime := g.estimator.serviceTime()
	if !g.bucket.isLimited() || serviceTime == 0 {
		return all
	}
	return min(int(math.Ceil(g.bucket.perSecond()*serviceTime.Seconds())), all)
}

// mayStart reports whether a new request starts at once. While the target states a
// rate limit, one that must not wait does not start: it would take the place of
// another request's first attempt.
func (g *Gate) mayStart(now time.Time, r Request, w *waitingRequest) bool {
	if r.NoWait && g.bucket.isLimited() {
		return false
	}
	available := g.capacity(now)
	if !available.admits(w.class, g.runningCounts) || !g.bucket.admits(now) || !g.hasCalledRoom(w) {
		return false
	}
	return g.room.demand.mayStart(w.kind, g.room.decay.factor, available.slots)
}

func (g *Gate) capacity(now time.Time) capacity { return newCapacity(g.limits, g.slots(now)) }

// processQueue drops the waiting requests that have expired and starts those
// for which a slot is free.
func (g *Gate) processQueue(now time.Time) {
	for {
		w, ok := g.queue.expired(now)
		if !ok {
			break
		}
		g.removeWaiting(w.id)
		g.drop(now, w, g.expiryReason(now, &w))
	}
	if g.draining {
		return
	}
	available := g.capacity(now)
	for g.bucket.admits(now) {
		w, ok := g.next(now, available)
		if !ok {
			return
		}
		g.removeWaiting(w.id)
		if g.isRanked() {
			r := g.room.rank(now, &w)
			g.countStart(r.startOrder())
		}
		g.start(now, &w)
		g.changes.Started = append(g.changes.Started, w.id)
	}
}

// expiryReason returns why a request that can't start by startBy ends: because of
// the rate limit or the room that its calls need, because it exceeds its wait limit, or
// because it would miss its deadline.
func (g *Gate) expiryReason(now time.Time, w *waitingRequest) Reason {
	if !g.bucket.admits(now) {
		return ReasonRateLimited
	}
	if !g.hasCalledRoom(w) {
		return ReasonCalledRoom
	}
	if w.startBy.Add(g.estimator.expectedForRoute(w.class, w.route)).Before(w.deadline) {
		return ReasonWaitedTooLong
	}
	return ReasonMissesDeadline
}

// next returns the waiting request that starts next, if there is a slot for any.
func (g *Gate) next(now time.Time, available capacity) (waitingRequest, bool) {
	if !g.isRanked() {
		return g.queue.next(available, &g.runningCounts, g.hasCalledRoom)
	}
	if g.queue.len() == 0 {
		return waitingRequest{}, false
	}
	callsDeferred := available.defersCalls(g.runningCounts)
	for _, c := range available.startOrder(g.runningCounts) {
		if len(g.queue.byClass[c]) == 0 || !available.admits(c, g.runningCounts) {
			continue
		}
		if w, ok := g.room.next(now, g.queue.byClass[c], available.slots, callsDeferred, g.hasCalledRoom); ok {
			return w, true
		}
	}
	return waitingRequest{}, false
}

func (g *Gate) countStart(o StartOrder) {
	if g.isRanked() {
		g.starts[o]++
	}
}

func (g *Gate) removeWaiting(id uint64) bool {
	w, ok := g.queue.take(id)
	if ok {
		g.room.recordWaiting(&w, -1)
	}
	return ok
}

func (g *Gate) start(now time.Time, w *waitingRequest) {
	if len(g.running) == 0 {
		g.estimator.recordFreedSlot(now)
	}
	run := runningRequest{
		class: w.class, firm: w.firm, route: w.route, isCall: w.isCall(), calls: w.calls, started: now,
		expected: w.expected, use: w.use, kind: w.kind,
	}
	g.bucket.take(now)
	g.running[w.id] = run
	g.runningCounts.add(run.class, run.firm, run.isCall)
	g.calledRoom.add(run.calls)
	g.recordCallWait(run.isCall, now.Sub(w.arrived))
	g.room.recordStart(&run)
	g.estimator.addRunning(run.class, now)
}

func (g *Gate) refuse(now time.Time, w *waitingRequest, reason Reason) Decision {
	reason = g.reasonByRoom(w, reason)
	retryAfter := g.retryAfter(now, w, reason)
	return Decision{Verdict: VerdictRefused, Reason: reason, RetryAfter: retryAfter, Changes: g.changes}
}

func (g *Gate) drop(now time.Time, w waitingRequest, reason Reason) {
	reason = g.reasonByRoom(&w, reason)
	retryAfter := g.retryAfter(now, &w, reason)
	g.changes.Dropped = append(g.changes.Dropped, Drop{ID: w.id, Reason: reason, RetryAfter: retryAfter})
}
