package limiter

import (
	"math"
	"time"
)

const (
	// useWindow is the time constant with which samples of use and demand lose weight:
	// short beside a crowd of seconds, long beside the time between two requests of all but
	// the smallest firms.
	useWindow = 5 * time.Second
	// maxGrowth bounds the exponent of the growth factor before the landmark moves.
	maxGrowth = 30.0
)

// decay is the clock of sums whose samples lose weight exponentially with their age.
// Instead of lowering all sums as time passes, each sample is multiplied by a factor that
// grows with time. Sums are compared with each other as they are; divided by the factor
// they are sums of samples weighted by age.
type decay struct {
	landmark time.Time
	// at is the time for which factor was computed.
	at     time.Time
	factor float64
}

// advance moves the clock. If rescale is not 1, all sums must be multiplied by it.
func (d *decay) advance(now time.Time) (rescale float64) {
	if now.Equal(d.at) {
		return 1
	}
	exponent := now.Sub(d.landmark).Seconds() / useWindow.Seconds()
	d.at = now
	if !d.landmark.IsZero() && exponent < maxGrowth {
		d.factor = math.Exp(exponent)
		return 1
	}
	d.landmark, d.factor = now, 1
	return math.Exp(-exponent)
}
