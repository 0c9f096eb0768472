package shedder

import "time"

const (
	// stepsOfRequest is how often a request waits for the processor at the two nodes on its
	// way to a target and back, and the call that its run makes waits as often.
	stepsOfRequest = 4 * turns
	// minTolerance and maxTolerance bound the lateness from which on requests are rejected.
	// Below the first, timers and collections of garbage look like a shortage.
	minTolerance = 10 * time.Millisecond
	maxTolerance = 100 * time.Millisecond
	// rejectAllFactor times the tolerance is the lateness at which all new requests are rejected.
	rejectAllFactor = 2
	// startedFactor is how much more lateness is tolerated for requests that work has been
	// spent on: those of other nodes, and those that a run waits for.
	startedFactor = 4
	// priorityStep is by how much sooner the requests of a priority are rejected than those
	// of the next more urgent one, and maxPriorityFactor the limit of that, so that the
	// least urgent ones are not rejected altogether.
	priorityStep      = 0.25
	maxPriorityFactor = 2
)

// Request is what matters of a request for its admission.
type Request struct {
	Deadline time.Time
	// Priority is 0 for the most urgent.
	Priority int
	// IsStarted is set if work has been spent on the request: another node has forwarded it,
	// or a run waits for it.
	IsStarted bool
}

// Tolerance returns how late a node may run without harm to requests whose answers keep
// their full value for the given time.
func Tolerance(targetLatency time.Duration) time.Duration {
	if targetLatency <= 0 {
		return maxTolerance
	}
	return min(max(targetLatency/stepsOfRequest, minTolerance), maxTolerance)
}

// Lateness is how late a node runs, and how late it may run.
type Lateness struct {
	// Mean is the mean of the last measurements. Standing is the least of them: work that
	// waits although the node had time to catch up.
	Mean, Standing time.Duration
	// Tolerance is the lateness that does no harm.
	Tolerance time.Duration
}

// RejectedShare returns the share of the requests like r that are rejected so that the
// others are served in time. It grows with the lateness, so that the node neither falls
// idle nor further behind.
func (l Lateness) RejectedShare(r Request) float64 {
	tolerance := float64(l.Tolerance)
	if r.IsStarted {
		tolerance *= startedFactor
	}
	excess := (float64(l.Standing) - tolerance) / (tolerance * (rejectAllFactor - 1))
	return min(max(excess*min(1+priorityStep*float64(r.Priority), maxPriorityFactor), 0), 1)
}
