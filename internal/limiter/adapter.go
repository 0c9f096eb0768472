package limiter

import (
	"time"

	"gentianbarrow.example/internal/retrier"
	"gentianbarrow.example/internal/smoother"
)

const (
	// adaptEvery is the least time between two changes of the limit.
	adaptEvery = 50 * time.Millisecond
	// adaptRounds times the slots is how many requests must end between two changes.
	adaptRounds = 2
	// holdFor is how long all slots stay in use after a lower limit has cost
	// throughput. It doubles with each further time, mostHolds times.
	holdFor   = 2 * time.Second
	mostHolds = 4
	// slowRatio of the recent service time to the usual one lowers the limit.
	slowRatio = 2.5
	// lowerBy is the factor by which a slow target's limit shrinks.
	lowerBy = 0.8
	// keptThroughput is the share of the throughput that a lower limit must keep.
	keptThroughput = 0.9
	// raiseDivisor of the slots is added to the limit of a target that keeps its pace.
	raiseDivisor = 10
	// floorDivisor of the slots is the least limit.
	floorDivisor = 5
	// ratioWeight is the weight of one sample in the recent ratio.
	ratioWeight = 0.05
	// usualUpWeight and usualDownWeight move the usual service time slowly, so
	// that a slow spell does not become usual but a lasting change does.
	usualUpWeight   = 0.001
	usualDownWeight = 0.01
	// usualSamples is how many samples the first usual service time is the mean of.
	usualSamples = 50
	// usualClip bounds a sample's effect on the usual service time, as a multiple of it.
	usualClip = 2.0
	// ratioClip bounds a sample's effect on the recent ratio.
	ratioClip = 10.0
)

// adapter lowers the number of slots in use while the target is slower than
// usual and serves as many requests with fewer slots. It restores all slots
// when a lower limit turns out to cost throughput, and raises the limit again
// when the target has recovered.
type adapter struct {
	limits Limits
	// limit lies between the floor and limits.Slots.
	limit float64
	// usual service time of each class in nanoseconds; 0 before the first sample.
	usual [classes]float64
	// samples counts those of usual up to usualSamples.
	samples [classes]int
	// ratio of recent service times to the usual ones.
	ratio float64
	// round is what was seen since the latest change.
	round round
	// before is the throughput before the limit was lowered; 0 unless it has just been.
	before float64
	// wasSlow tells that the target was slow throughout the round before.
	wasSlow bool
	// holdUntil is when the limit may be lowered again.
	holdUntil time.Time
	// holds counts the times in a row that a lower limit cost throughput.
	holds int
}

// round counts the requests that ended since it began.
type round struct {
	began time.Time
	ended int
	// full tells that the limit was reached.
	full bool
}

func newAdapter(l Limits) adapter {
	return adapter{limits: l, limit: float64(l.Slots), ratio: 1}
}

func (a *adapter) resize(l Limits) {
	grown := float64(l.Slots) / float64(a.limits.Slots)
	a.limits = l
	a.limit = min(max(a.limit*grown, a.floor()), float64(l.Slots))
}

func (a *adapter) slots() int {
	if a.limits.FixedSlots {
		return a.limits.Slots
	}
	return int(a.limit)
}

func (a *adapter) floor() float64 { return float64(floorSlots(a.limits)) }

// floorSlots returns the least number of slots that a slow or cold target keeps.
func floorSlots(l Limits) int {
	return min(max(l.Slots/floorDivisor, l.UrgentSlots+1, 2), l.Slots)
}

// observe records the end of a request and changes the limit when it is time.
// A request that did not end with an answer counts as slow when it ran longer
// than usual, and not at all otherwise.
func (a *adapter) observe(now time.Time, c class, ran time.Duration, res Result, full bool) {
	answered := res.Outcome == retrier.OutcomeDone
	if answered || float64(ran) > a.usual[c] && a.usual[c] > 0 {
		a.sample(c, float64(ran), answered)
	}
	if res.Shed {
		a.ratio = max(a.ratio, slowRatio+1)
	}
	if a.round.began.IsZero() {
		a.round.began = now
	}
	a.round.full = a.round.full || full
	a.round.ended++
	elapsed := now.Sub(a.round.began)
	if elapsed < adaptEvery || a.round.ended < adaptRounds*a.limits.Slots {
		return
	}
	a.change(now, float64(a.round.ended)/elapsed.Seconds())
	a.round = round{began: now}
}

func (a *adapter) sample(c class, ran float64, answered bool) {
	if a.usual[c] == 0 {
		a.usual[c] = ran
	}
	ratio := min(ran/max(a.usual[c], 1), ratioClip)
	a.ratio = smoother.Smooth(a.ratio, ratio, ratioWeight)
	if !answered {
		return
	}
	if a.samples[c] < usualSamples {
		a.samples[c]++
		a.usual[c] = smoother.Smooth(a.usual[c], ran, 1/float64(a.samples[c]))
		return
	}
	weight := usualDownWeight
	if ran > a.usual[c] {
		weight = usualUpWeight
	}
	a.usual[c] = smoother.Smooth(a.usual[c], min(ran, usualClip*a.usual[c]), weight)
}

// change ends a round in which so many requests ended a second.
func (a *adapter) change(now time.Time, throughput float64) {
	slots := float64(a.limits.Slots)
	before, wasSlow := a.before, a.wasSlow
	a.before, a.wasSlow = 0, a.ratio > slowRatio
	switch {
	case !a.round.full:
		return
	case a.ratio <= slowRatio:
		a.limit = min(a.limit+max(slots/raiseDivisor, 1), slots)
		a.holds, a.holdUntil = 0, time.Time{}
	case throughput < before*keptThroughput:
		a.limit = slots
		a.holdUntil = now.Add(holdFor << min(a.holds, mostHolds))
		a.holds++
	case !wasSlow || now.Before(a.holdUntil):
		return
	default:
		a.limit = max(a.limit*lowerBy, a.floor())
		a.before = throughput
	}
}
