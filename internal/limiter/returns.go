package limiter

import (
	"maps"
	"time"
)

const (
	// returnShareDivisor divides the time that a refused caller has left to give the time
	// in which it returns.
	returnShareDivisor = 3
	// maxReturnPriorities bounds the priorities for which returns are booked.
	maxReturnPriorities = 64
)

// returns books when refused callers come back.
//
// The load pattern: a crowd is refused within a second and told the same time, at which all
// come back and are refused again. Each return is demand that is known beforehand. They are
// booked one after the other at the rate at which the target can serve them, more urgent
// priorities first.
type returns struct {
	// last holds, by priority, the time of the latest booked return.
	last map[int]time.Time
}

// book returns when a caller should come back: not before earliest, and an interval after
// the callers of the same and more urgent priorities that were booked before. It returns
// latest if that is earlier.
func (r *returns) book(priority int, earliest, latest time.Time, interval time.Duration) time.Time {
	at := earliest
	for p, last := range r.last {
		if p <= priority {
			at = laterTime(at, last.Add(interval))
		}
	}
	if at.After(latest) {
		return latest
	}
	if len(r.last) >= maxReturnPriorities {
		maps.DeleteFunc(r.last, func(_ int, last time.Time) bool { return last.Before(earliest) })
	}
	if r.last == nil {
		r.last = map[int]time.Time{}
	}
	if _, known := r.last[priority]; known || len(r.last) < maxReturnPriorities {
		r.last[priority] = at
	}
	return at
}
