package limiter

import "time"

// rampFor is how long a target that became ready is ramped.
const rampFor = 10 * time.Second

// ramp raises the slots of a target that has just become ready from the floor
// to all. The zero value ramps nothing.
type ramp struct {
	from, until time.Time
}

func newRamp(readySince time.Time) ramp {
	return ramp{from: readySince, until: readySince.Add(rampFor)}
}

func (r ramp) slots(now time.Time, l Limits) int {
	if !now.Before(r.until) {
		return l.Slots
	}
	floor := floorSlots(l)
	part := max(float64(now.Sub(r.from))/float64(rampFor), 0)
	return floor + int(part*float64(l.Slots-floor))
}
