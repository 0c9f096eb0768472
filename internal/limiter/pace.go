package limiter

import (
	"time"

	"gentianbarrow.example/internal/smoother"
)

const (
	// serviceWeight is the weight of one sample in a smoothed service time.
	serviceWeight = 0.1
	// ageFactor times the mean age of running requests is about their service time.
	ageFactor = 1.5
)

// pace estimates how long requests run and wait.
type pace struct {
	// mean service time of each class in nanoseconds; 0 before the first sample.
	mean [classes]float64
	// byRoute is the same for each route.
	byRoute smoother.RouteMeans
	// starts is the sum of the start times of each class's running requests, in microseconds since 1970.
	starts [classes]int64
	// lastFreed is when a slot last came free or the target went from idle to busy.
	lastFreed time.Time
}

func newPace() pace { return pace{byRoute: smoother.RouteMeans{Weight: serviceWeight}} }

func (p *pace) add(c class, route string, service time.Duration) {
	p.mean[c] = smoother.Smooth(p.mean[c], float64(service), serviceWeight)
	if route != "" {
		p.byRoute.Add(route, float64(service))
	}
}

// expectedOn returns how long a request of the route runs, as far as that is known.
func (p *pace) expectedOn(c class, route string) time.Duration {
	if mean, known := p.byRoute.Mean(route); known {
		return time.Duration(mean)
	}
	return p.expected(c)
}

func (p *pace) freed(now time.Time) { p.lastFreed = now }

// expected returns how long a request of the class runs; 0 while that is not known.
func (p *pace) expected(c class) time.Duration { return time.Duration(p.mean[c]) }

// service returns how long requests that are not bulk run.
func (p *pace) service() time.Duration {
	if p.mean[short] == 0 {
		return p.expected(urgent)
	}
	return p.expected(short)
}

// started and ended keep the sum of the start times of running requests.
func (p *pace) started(c class, at time.Time) { p.starts[c] += at.UnixMicro() }

func (p *pace) ended(c class, started time.Time) { p.starts[c] -= started.UnixMicro() }

// current returns how long requests of the class run at this moment: as the
// smoothed mean says, or longer when those that run are already older.
func (p *pace) current(now time.Time, c class, running int) time.Duration {
	if running == 0 {
		return p.expected(c)
	}
	age := now.UnixMicro() - p.starts[c]/int64(running)
	return max(p.expected(c), time.Duration(ageFactor*float64(age)*float64(time.Microsecond)))
}

// wait returns how long a request waits behind the given number of others when
// each runs for service. A target that frees no slot for longer than usual
// makes the wait longer.
func (p *pace) wait(now time.Time, ahead, slots int, service time.Duration) time.Duration {
	gap := service / time.Duration(slots)
	stalled := max(gap, now.Sub(p.lastFreed))
	if p.lastFreed.IsZero() {
		stalled = gap
	}
	return stalled + time.Duration(ahead)*gap
}
