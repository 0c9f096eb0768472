package retrier

import "time"

const (
	// quantileStep is the relative change of the estimate by one sample.
	quantileStep = 0.05
	// quantileSamples is how many samples an estimate needs before it is used.
	quantileSamples = 20
)

// quantile estimates a quantile of durations in constant space. Each sample moves
// the estimate up or down, in proportions that make it converge to the quantile.
type quantile struct {
	// target is the share of samples at or below the estimate, between 0 and 1.
	target float64
	// estimate in nanoseconds; 0 before the first sample.
	estimate float64
	// samples counts the samples, up to quantileSamples.
	samples int
}

func (q *quantile) add(d time.Duration) {
	x := float64(max(d, time.Microsecond))
	if q.samples < quantileSamples {
		q.samples++
	}
	switch {
	case q.estimate == 0:
		q.estimate = x
	case x > q.estimate:
		q.estimate *= 1 + quantileStep*q.target
	default:
		q.estimate /= 1 + quantileStep*(1-q.target)
	}
}

// value returns the estimate, or false while there are too few samples.
func (q *quantile) value() (time.Duration, bool) {
	return time.Duration(q.estimate), q.samples >= quantileSamples
}
