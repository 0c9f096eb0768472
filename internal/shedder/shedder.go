// Package shedder decides which requests a node rejects because it is short of
// processor time. It does no I/O.
//
// The load pattern: a crowd of callers at few nodes, or a node that has stood still. All
// that the node does then waits for the processor, several times for each request, and
// what it accepts it finishes after its caller has left. Each such request takes
// processor time from one that could still be served. Rejecting costs a fraction of
// serving, so the node gets back to the requests that it can serve.
package shedder

import "time"

const (
	// turns is how often a request waits for the processor at a node: to be read, to be
	// sent on, to take its answer and to return it.
	turns = 4
	// minRetryDelay and maxRetryDelay bound when a rejected caller may come back.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 2 * time.Second
)

// Decision tells whether a request is rejected.
type Decision struct {
	Rejected bool
	// RetryAt is when the caller may come back; zero unless the request is rejected.
	RetryAt time.Time
}

// Decide rejects a request whose deadline passes while it waits for the processor. delay
// is how late the node runs. spread, from 0 to 1, distributes the callers that are
// rejected at the same time.
func Decide(now, deadline time.Time, delay time.Duration, spread float64) Decision {
	if now.Add(turns * delay).Before(deadline) {
		return Decision{}
	}
	wait := min(max(turns*delay, minRetryDelay), maxRetryDelay)
	return Decision{Rejected: true, RetryAt: now.Add(wait/2 + time.Duration(spread*float64(wait)))}
}
