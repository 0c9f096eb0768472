package limiter

import (
	"cmp"
	"time"

	"gentianbarrow.example/internal/smoother"
)

const (
	// serviceTimeWeight is the weight of one sample in a smoothed service time.
	serviceTimeWeight = 0.1
	// ageFactor times the mean age of running requests approximates their service time.
	ageFactor = 1.5
)

// estimator estimates how long requests run and wait.
type estimator struct {
	// mean is the smoothed service time of each class in nanoseconds; 0 before the first sample.
	mean [classCount]float64
	// byRoute holds the smoothed service time of each route in nanoseconds.
	byRoute smoother.RouteMeans
	// startTimeSums holds the sum of the start times of each class's running requests,
	// in microseconds since 1970.
	startTimeSums [classCount]int64
	// lastFreed is when a slot was last released or the target went from idle to busy.
	lastFreed time.Time
}

func newEstimator() estimator {
	return estimator{byRoute: smoother.RouteMeans{Weight: serviceTimeWeight}}
}

func (e *estimator) recordServiceTime(c class, route string, serviceTime time.Duration) {
	e.mean[c] = smoother.Smooth(e.mean[c], float64(serviceTime), serviceTimeWeight)
	if route != "" {
		e.byRoute.Add(route, float64(serviceTime))
	}
}

// expectedForRoute returns the expected service time of a request of the route,
// or of its class if nothing is known of the route.
func (e *estimator) expectedForRoute(c class, route string) time.Duration {
	if mean, known := e.byRoute.Mean(route); known {
		return time.Duration(mean)
	}
	return e.expectedForClass(c)
}

func (e *estimator) recordFreedSlot(now time.Time) { e.lastFreed = now }

// expectedForClass returns the expected service time of a request of the class;
// 0 if unknown.
func (e *estimator) expectedForClass(c class) time.Duration { return time.Duration(e.mean[c]) }

// nonBulkServiceTime returns the expected service time of short requests, or of
// urgent ones if that is unknown.
func (e *estimator) nonBulkServiceTime() time.Duration {
	if e.mean[short] == 0 {
		return e.expectedForClass(urgent)
	}
	return e.expectedForClass(short)
}

// serviceTime returns the expected service time of requests that are not bulk, or
// of bulk ones if that is unknown; 0 if neither is known.
func (e *estimator) serviceTime() time.Duration {
	return cmp.Or(e.nonBulkServiceTime(), e.expectedForClass(bulk))
}

// addRunning and removeRunning maintain the sums of the start times of running requests.
func (e *estimator) addRunning(c class, at time.Time) { e.startTimeSums[c] += at.UnixMicro() }

func (e *estimator) removeRunning(c class, started time.Time) {
	e.startTimeSums[c] -= started.UnixMicro()
}

// ageSum returns the sum of the ages of the running requests.
func (e *estimator) ageSum(now time.Time, running *requestCounts) time.Duration {
	micros := int64(running.total) * now.UnixMicro()
	for _, sum := range e.startTimeSums {
		micros -= sum
	}
	return time.Duration(micros) * time.Microsecond
}

// currentServiceTime returns the service time expected of the class now: the
// smoothed mean, or more if the age of the running requests suggests it.
func (e *estimator) currentServiceTime(now time.Time, c class, running int) time.Duration {
	if running == 0 {
		return e.expectedForClass(c)
	}
	age := now.UnixMicro() - e.startTimeSums[c]/int64(running)
	return max(e.expectedForClass(c), time.Duration(ageFactor*float64(age)*float64(time.Microsecond)))
}

// expectedWait returns how long a request waits behind the given number of others
// when each runs for service. If no slot was released for longer than expected,
// the wait is longer.
func (e *estimator) expectedWait(now time.Time, ahead, slots int, serviceTime time.Duration) time.Duration {
	interval := serviceTime / time.Duration(slots)
	untilNextFree := max(interval, now.Sub(e.lastFreed))
	if e.lastFreed.IsZero() {
		untilNextFree = interval
	}
	return untilNextFree + time.Duration(ahead)*interval
}
