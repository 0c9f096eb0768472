package announcer

import (
	"time"

	"gentianbarrow.example/internal/blackboard"
)

// noteDeparture sets the departure of the target if its process has just stated that it
// drains or leaves. departs is false for a repeated statement.
func noteDeparture(t blackboard.Target) (next blackboard.Target, departs bool) {
	if t.ID == "" || t.Evidence.Announced != blackboard.TargetDraining {
		return t, false
	}
	d := blackboard.TargetDeparture{ID: t.ID, Started: t.Started, Sequence: t.Sequence, Leaving: t.Evidence.Leaving}
	if isSameProcess(t.Departure, d) && t.Departure.Leaving == d.Leaving {
		return t, false
	}
	t.Departure = d
	return t, true
}

func isSameProcess(a, b blackboard.TargetDeparture) bool {
	return a.ID == b.ID && a.Started == b.Started
}

// applyDeparture applies what an earlier process of this node was told by the target. A
// process of the target that started later is not affected.
func applyDeparture(t blackboard.Target, d blackboard.TargetDeparture) blackboard.Target {
	if !d.Supersedes(t.Departure) {
		return t
	}
	t.Departure = d
	heard := blackboard.TargetDeparture{ID: t.ID, Started: t.Started}
	switch {
	case t.ID == "", t.Started < d.Started:
		t.ID, t.Started, t.Sequence = d.ID, d.Started, d.Sequence
	case !isSameProcess(heard, d), !d.Leaving && t.Sequence > d.Sequence:
		return t
	}
	t.Evidence.Announced = blackboard.TargetDraining
	t.Evidence.Leaving = d.Leaving
	return t
}

// learnDeparture applies the statement of this host's target among those that another
// node or the platform keeps. learned is false if it is known.
func learnDeparture(t blackboard.Target, host string, departures []blackboard.HostDeparture) (next blackboard.Target, learned bool) {
	next = t
	for _, d := range departures {
		if d.Host == host {
			next = applyDeparture(next, d.TargetDeparture)
		}
	}
	return next, next.Departure != t.Departure
}

// awaitDeparture sets until when a node that has just started waits for the departure.
func awaitDeparture(t blackboard.Target, r rules, now time.Time) blackboard.Target {
	if t.AssumeStayingAt.IsZero() {
		t.AssumeStayingAt = now
		if r.departuresKept {
			t.AssumeStayingAt = now.Add(departureReadTimeout)
		}
	}
	return t
}

// mayHaveLeft reports whether the target's process may have told an earlier process of
// this node that it leaves.
func mayHaveLeft(t blackboard.Target, now time.Time) bool {
	return !t.DepartureRead && now.Before(t.AssumeStayingAt)
}
