package limiter

import (
	"time"

	"gentianbarrow.example/internal/retrier"
	"gentianbarrow.example/internal/smoother"
)

const (
	// minAdjustInterval is the shortest time between two changes of the limit.
	minAdjustInterval = 50 * time.Millisecond
	// minEndedPerSlot times the slots is how many requests must end between two changes.
	minEndedPerSlot = 2
	// baseHoldDuration is how long the limit is not lowered again after a decrease
	// has reduced throughput. It doubles with each further failed decrease, at most
	// maxHoldDoublings times.
	baseHoldDuration = 2 * time.Second
	maxHoldDoublings = 4
	// slowRatio is the ratio of recent service times to the baseline above which
	// the target counts as slow.
	slowRatio = 2.5
	// decreaseFactor multiplies the limit of a slow target.
	decreaseFactor = 0.8
	// minThroughputRatio is the share of the earlier throughput that a lowered limit must sustain.
	minThroughputRatio = 0.9
	// increaseDivisor divides the slots to give the step by which the limit of a
	// target that is not slow rises.
	increaseDivisor = 10
	// minSlotsDivisor divides the slots to give the lowest limit; see minSlots.
	minSlotsDivisor = 5
	// ratioWeight is the weight of one sample in the smoothed ratio.
	ratioWeight = 0.05
	// baselineUpWeight and baselineDownWeight move the baseline slowly, so that a
	// short slowdown does not become the baseline but a lasting change does.
	baselineUpWeight   = 0.001
	baselineDownWeight = 0.01
	// baselineSamples is how many samples enter the first baseline as a plain mean.
	baselineSamples = 50
	// maxBaselineFactor caps a sample of the baseline, as a multiple of the baseline.
	maxBaselineFactor = 2.0
	// maxRatio caps a sample of the smoothed ratio.
	maxRatio = 10.0
)

// adaptiveLimit lowers the number of slots in use while the target is slower
// than its baseline and sustains its throughput with fewer slots. It restores
// all slots when a decrease reduces throughput, and raises the limit step by
// step when the target has recovered.
type adaptiveLimit struct {
	limits Limits
	// limit is the number of slots in use, between minLimit and limits.Slots.
	limit float64
	// baseline is the usual service time of each class in nanoseconds; 0 before
	// the first sample.
	baseline [classCount]float64
	// samples counts the samples of baseline, up to baselineSamples.
	samples [classCount]int
	// ratio is the smoothed ratio of service times to their baseline.
	ratio float64
	// window counts the requests that ended since the limit was last evaluated.
	window window
	// throughputBefore is the throughput of the window that ended with a decrease;
	// 0 unless that was the latest window.
	throughputBefore float64
	// wasSlow reports whether the target was slow when the latest window ended.
	wasSlow bool
	// holdUntil is the time before which the limit is not lowered.
	holdUntil time.Time
	// failedDecreases counts consecutive decreases that reduced throughput.
	failedDecreases int
}

// window counts the requests that ended since its start.
type window struct {
	start time.Time
	ended int
	// limitReached reports whether the slots for short requests were all in use
	// when one of the requests ended.
	limitReached bool
}

func newAdaptiveLimit(l Limits) adaptiveLimit {
	return adaptiveLimit{limits: l, limit: float64(l.Slots), ratio: 1}
}

func (a *adaptiveLimit) resize(l Limits) {
	growth := float64(l.Slots) / float64(a.limits.Slots)
	a.limits = l
	a.limit = min(max(a.limit*growth, a.minLimit()), float64(l.Slots))
}

func (a *adaptiveLimit) slots() int {
	if a.limits.FixedSlots {
		return a.limits.Slots
	}
	return int(a.limit)
}

func (a *adaptiveLimit) minLimit() float64 { return float64(minSlots(a.limits)) }

// minSlots returns the least number of slots that a slow or cold target keeps.
func minSlots(l Limits) int {
	return min(max(l.Slots/minSlotsDivisor, l.UrgentSlots+1, 2), l.Slots)
}

// observe records the end of a request and adjusts the limit when the window is
// complete. The service time of a request that ended without an answer is a
// sample only if it is above the baseline, and never changes the baseline.
func (a *adaptiveLimit) observe(now time.Time, c class, serviceTime time.Duration, res Result, limitReached bool) {
	answered := res.Outcome == retrier.OutcomeDone
	if answered || float64(serviceTime) > a.baseline[c] && a.baseline[c] > 0 {
		a.recordServiceTime(c, float64(serviceTime), answered)
	}
	if res.Shed {
		a.ratio = max(a.ratio, slowRatio+1)
	}
	if a.window.start.IsZero() {
		a.window.start = now
	}
	a.window.limitReached = a.window.limitReached || limitReached
	a.window.ended++
	elapsed := now.Sub(a.window.start)
	if elapsed < minAdjustInterval || a.window.ended < minEndedPerSlot*a.limits.Slots {
		return
	}
	a.adjust(now, float64(a.window.ended)/elapsed.Seconds())
	a.window = window{start: now}
}

func (a *adaptiveLimit) recordServiceTime(c class, serviceTime float64, answered bool) {
	if a.baseline[c] == 0 {
		a.baseline[c] = serviceTime
	}
	ratio := min(serviceTime/max(a.baseline[c], 1), maxRatio)
	a.ratio = smoother.Smooth(a.ratio, ratio, ratioWeight)
	if !answered {
		return
	}
	if a.samples[c] < baselineSamples {
		a.samples[c]++
		a.baseline[c] = smoother.Smooth(a.baseline[c], serviceTime, 1/float64(a.samples[c]))
		return
	}
	weight := baselineDownWeight
	if serviceTime > a.baseline[c] {
		weight = baselineUpWeight
	}
	a.baseline[c] = smoother.Smooth(a.baseline[c], min(serviceTime, maxBaselineFactor*a.baseline[c]), weight)
}

// adjust updates the limit after a window with the given throughput, in
// requests per second.
func (a *adaptiveLimit) adjust(now time.Time, throughput float64) {
	slots := float64(a.limits.Slots)
	before, wasSlow := a.throughputBefore, a.wasSlow
	a.throughputBefore, a.wasSlow = 0, a.ratio > slowRatio
	switch {
	case !a.window.limitReached:
		return
	case a.ratio <= slowRatio:
		a.limit = min(a.limit+max(slots/increaseDivisor, 1), slots)
		a.failedDecreases, a.holdUntil = 0, time.Time{}
	case throughput < before*minThroughputRatio:
		a.limit = slots
		a.holdUntil = now.Add(baseHoldDuration << min(a.failedDecreases, maxHoldDoublings))
		a.failedDecreases++
	case !wasSlow || now.Before(a.holdUntil):
		return
	default:
		a.limit = max(a.limit*decreaseFactor, a.minLimit())
		a.throughputBefore = throughput
	}
}
