package limiter

import (
	"time"

	"gentianbarrow.example/internal/retrier"
)

const (
	// patienceTimes is how many usual service times a request may wait.
	patienceTimes = 3
	// leastPatience is how long a request may wait however short its service time is.
	leastPatience = 20 * time.Millisecond
)

// running is a request that holds a slot.
type running struct {
	class   class
	firm    string
	route   string
	started time.Time
}

// Gate admits requests to one target. It is not safe for concurrent use.
type Gate struct {
	limits   Limits
	running  map[uint64]running
	tally    tally
	queue    queue
	pace     pace
	adapter  adapter
	ramp     ramp
	draining bool
	// changes is handed out and reused by the next call.
	changes Changes
}

// New returns a gate that admits at once.
func NewGate(l Limits) *Gate {
	l = l.normal()
	return &Gate{
		limits:  l,
		running: map[uint64]running{},
		tally:   newTally(),
		queue:   newQueue(l),
		adapter: newAdapter(l),
		pace:    newPace(),
	}
}

// Offer decides on a new request.
func (g *Gate) Offer(now time.Time, r Request) Decision {
	g.begin()
	c := classOf(r.Class)
	if g.holds(r.ID) {
		return g.refuse(now, r, ReasonDuplicate)
	}
	if g.draining {
		return Decision{Verdict: VerdictRefused, Reason: ReasonDraining}
	}
	g.settle(now)
	if g.late(now, r, c) {
		return g.refuse(now, r, ReasonMissesDeadline)
	}
	if g.room(now).admits(c, g.tally) {
		g.start(now, r.ID, running{class: c, firm: r.Firm, route: r.Route})
		return Decision{Verdict: VerdictAdmitted, Changes: g.changes}
	}
	return g.enqueue(now, r, c)
}

// Done frees the slot of a request and tells which waiting ones start or end.
// It does nothing for a request that holds no slot.
func (g *Gate) Done(now time.Time, id uint64, res Result) Changes {
	g.begin()
	run, ok := g.running[id]
	if !ok {
		return g.changes
	}
	full := !g.room(now).admits(short, g.tally)
	delete(g.running, id)
	g.tally.remove(run.class, run.firm)
	g.pace.ended(run.class, run.started)
	if res.Outcome == retrier.OutcomeDone {
		g.pace.add(run.class, run.route, now.Sub(run.started))
	}
	g.pace.freed(now)
	g.adapter.observe(now, run.class, now.Sub(run.started), res, full)
	g.settle(now)
	return g.changes
}

// Cancel ends a waiting request. It returns false when the request is not
// waiting: one that holds a slot keeps it until Done.
func (g *Gate) Cancel(now time.Time, id uint64) (Changes, bool) {
	g.begin()
	ok := g.queue.remove(id)
	g.settle(now)
	return g.changes, ok
}

// Expire drops waiting requests that can no longer end in time and starts
// those for which a slot has come free with time.
func (g *Gate) Expire(now time.Time) Changes {
	g.begin()
	g.settle(now)
	return g.changes
}

// Drain refuses new requests from now on and drops all waiting ones.
func (g *Gate) Drain(time.Time) Changes {
	g.begin()
	g.draining = true
	for _, w := range g.queue.clear() {
		g.changes.Dropped = append(g.changes.Dropped, Drop{ID: w.id, Reason: ReasonDraining})
	}
	return g.changes
}

// Resume takes new requests again after Drain; slots are ramped from now.
func (g *Gate) Resume(now time.Time) {
	if !g.draining {
		return
	}
	g.draining = false
	g.SetReadySince(now)
}

// SetReadySince sets when the target last became ready: slots are ramped from then.
func (g *Gate) SetReadySince(t time.Time) { g.ramp = newRamp(t) }

// SetLimits changes the limits. Requests in flight keep their slots; waiting
// ones for which no place is left are dropped.
func (g *Gate) SetLimits(now time.Time, l Limits) Changes {
	g.begin()
	g.limits = l.normal()
	g.adapter.resize(g.limits)
	for _, w := range g.queue.resize(g.limits) {
		g.drop(now, w, ReasonQueueFull)
	}
	g.settle(now)
	return g.changes
}

// Load returns the state of the target.
func (g *Gate) Load(now time.Time) Load {
	return Load{
		Slots:    g.slots(now),
		InFlight: len(g.running),
		Queued:   g.queue.len(),
		Draining: g.draining,
		Service:  g.pace.service(),
	}
}

func (g *Gate) begin() {
	g.changes.Started = g.changes.Started[:0]
	g.changes.Dropped = g.changes.Dropped[:0]
}

func (g *Gate) holds(id uint64) bool {
	if _, ok := g.running[id]; ok {
		return true
	}
	return g.queue.holds(id)
}

// slots returns how many requests may run now.
func (g *Gate) slots(now time.Time) int {
	ramped := g.limits.Slots
	if !g.limits.NoRamp {
		ramped = g.ramp.slots(now, g.limits)
	}
	return min(g.adapter.slots(), ramped, g.limits.Connections)
}

func (g *Gate) room(now time.Time) room { return newRoom(g.limits, g.slots(now)) }

// settle drops the waiting requests that are due and starts those that have room.
func (g *Gate) settle(now time.Time) {
	for {
		w, ok := g.queue.due(now)
		if !ok {
			break
		}
		g.queue.remove(w.id)
		g.drop(now, w, g.dueReason(w.class, w.route, w.startBy, w.deadline))
	}
	if g.draining {
		return
	}
	room := g.room(now)
	for {
		w, ok := g.queue.next(room, &g.tally)
		if !ok {
			return
		}
		g.queue.remove(w.id)
		g.start(now, w.id, running{class: w.class, firm: w.firm, route: w.route})
		g.changes.Started = append(g.changes.Started, w.id)
	}
}

// dueReason tells why a request that can't start by its time ends: because it
// waits longer than any may, or because it would miss its deadline.
func (g *Gate) dueReason(c class, route string, startBy, deadline time.Time) Reason {
	if startBy.Add(g.pace.expectedOn(c, route)).Before(deadline) {
		return ReasonWaitedTooLong
	}
	return ReasonMissesDeadline
}

func (g *Gate) start(now time.Time, id uint64, run running) {
	if len(g.running) == 0 {
		g.pace.freed(now)
	}
	run.started = now
	g.running[id] = run
	g.tally.add(run.class, run.firm)
	g.pace.started(run.class, now)
}

func (g *Gate) refuse(now time.Time, r Request, why Reason) Decision {
	after := g.expectedStart(now, classOf(r.Class), r.waiting())
	return Decision{Verdict: VerdictRefused, Reason: why, RetryAfter: after, Changes: g.changes}
}

func (g *Gate) drop(now time.Time, w waiting, why Reason) {
	after := g.expectedStart(now, w.class, w)
	g.changes.Dropped = append(g.changes.Dropped, Drop{ID: w.id, Reason: why, RetryAfter: after})
}
