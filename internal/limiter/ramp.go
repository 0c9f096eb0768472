package limiter

import "time"

// rampDuration is how long the slots of a target that became ready are ramped up.
const rampDuration = 10 * time.Second

// ramp raises the slots of a target that has just become ready linearly from
// minSlots to all. The zero value allows all slots.
type ramp struct {
	start, end time.Time
}

func newRamp(readySince time.Time) ramp {
	return ramp{start: readySince, end: readySince.Add(rampDuration)}
}

func (r ramp) slots(now time.Time, l Limits) int {
	if !now.Before(r.end) {
		return l.Slots
	}
	lowest := minSlots(l)
	progress := max(float64(now.Sub(r.start))/float64(rampDuration), 0)
	return lowest + int(progress*float64(l.Slots-lowest))
}
