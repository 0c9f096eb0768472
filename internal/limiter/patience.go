package limiter

import "time"

// late tells whether a request would not end in time even if it started now.
// While none of its route runs it is tried all the same, so that an estimate
// that has become wrong, as by a host that stood still, does not stand for ever.
func (g *Gate) late(now time.Time, r Request, c class) bool {
	if !now.Before(r.Deadline) {
		return true
	}
	return now.Add(g.pace.expectedOn(c, r.Route)).After(r.Deadline) && g.runs(c, r.Route)
}

// runs tells that a request of the class and route holds a slot.
func (g *Gate) runs(c class, route string) bool {
	for _, run := range g.running {
		if run.class == c && run.route == route {
			return true
		}
	}
	return false
}

func (g *Gate) enqueue(now time.Time, r Request, c class) Decision {
	startBy := g.startBy(now, r, c)
	if r.NoWait {
		return g.refuse(now, r, ReasonQueueFull)
	}
	if g.queue.order != OrderLIFO && g.expectedStart(now, c, r.waiting()).After(startBy) {
		return g.refuse(now, r, g.dueReason(c, r.Route, startBy, r.Deadline))
	}
	if !g.queue.hasPlace(c) {
		victim, ok := g.queue.victim(c, r.Firm, r.Priority)
		if !ok {
			return g.refuse(now, r, ReasonQueueFull)
		}
		g.queue.remove(victim.id)
		g.drop(now, victim, ReasonQueueFull)
	}
	w := r.waiting()
	w.class, w.startBy = c, startBy
	g.queue.push(w)
	return Decision{Verdict: VerdictQueued, StartBy: startBy, Changes: g.changes}
}

// expectedStart returns when a further request of the firm would start: behind
// the firm's own that wait, at the pace of its fair share of the slots.
func (g *Gate) expectedStart(now time.Time, c class, w waiting) time.Time {
	room := g.room(now)
	slots := room.ordinarySlots
	if c == bulk {
		slots = room.bulkSlots
	}
	service := g.pace.current(now, c, g.tally.classes[c])
	ahead := g.queue.ahead(c, &w) * g.queue.firms(c, w.firm)
	return now.Add(g.pace.wait(now, ahead, slots, service))
}

// waiting returns the request as it stands in the queue, without its class and time to start.
func (r Request) waiting() waiting {
	return waiting{id: r.ID, firm: r.Firm, route: r.Route, priority: r.Priority, aim: r.SoftDeadline, deadline: r.Deadline}
}

// startBy returns when a waiting request is dropped: when it could no longer
// end in time, or when it has waited so long that another target is the better try.
func (g *Gate) startBy(now time.Time, r Request, c class) time.Time {
	expected := g.pace.expectedOn(c, r.Route)
	by := r.Deadline.Add(-expected)
	if by.Before(now) {
		by = r.Deadline
	}
	if !r.SoftDeadline.IsZero() {
		return earlier(by, later(r.SoftDeadline.Add(-expected), now.Add(leastPatience)))
	}
	if c == bulk {
		return by
	}
	usual := time.Duration(g.adapter.usual[c])
	if patience := now.Add(max(leastPatience, patienceTimes*usual)); patience.Before(by) {
		return patience
	}
	return by
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
