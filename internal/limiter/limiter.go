// Package limiter decides which requests the target of this host runs now,
// which wait and which are refused. All requests to a target pass through the
// node in front of it, so a Gate's own count of requests in flight is exact.
//
// A Gate has no I/O and no clock. Every request that is offered ends exactly
// once: it is done, refused, dropped or cancelled.
//
// The load pattern: demand swings to several times what the target can run within a
// second, by one firm or by all, with requests that run from milliseconds to seconds.
// These parts act together, in the order in which a request meets them:
//
//   - Slots. capacity divides them among urgent, short and bulk requests. ramp gives a
//     target that has just become ready fewer, and adaptiveLimit one that is slower than
//     usual, as long as that keeps its throughput. The least of these counts.
//   - Rate. tokenBucket paces the requests to a target that states how many a second it
//     accepts. Until its first answer it gets as many as a slow one.
//   - Queue. A request that finds no slot, or no token, waits if estimator expects that it
//     starts in time, and is refused at once if not. It is dropped when its time to start
//     has passed. A full queue gives the place of one that would start last to one that
//     would start before it.
//   - Order. By class, then by priority. Within these either by the fewest running requests of
//     a firm and then by Order, or, with OrderSoftDeadline, by rank:
//   - Fair parts. fairParts sums what each firm used of the target. Firms beyond their part
//     go behind the others of their priority, and take what these leave. Within that, requests
//     that can meet their soft deadline go first, the earliest before the others.
//   - Demand. demand follows the load of each kind of request. Long ones leave room for
//     shorter and more urgent ones that cannot wait until a long one ends, and a kind that
//     starves goes first. The expected wait of a request counts the work that ranks before
//     it, in the room that the load of more urgent kinds leaves.
//   - Returns. returns spreads the callers that are refused at their last target over the
//     room that there will be for them.
//
// Use and demand are forgotten within seconds, and bounded in size.
//
//	gate := limiter.NewGate(limiter.LimitsOf(service))
//	d := gate.Offer(now, limiter.Request{ID: 1, Class: snapshotter.ClassShort, Firm: "paza", Deadline: deadline})
//	if d.Verdict == limiter.VerdictAdmitted {
//		// run it, then:
//		changes := gate.Done(now, 1, limiter.Result{Outcome: retrier.OutcomeDone})
//		// start changes.Started, answer changes.Dropped
//	}
//
// A SyncGate wraps a Gate for concurrent use.
package limiter

import (
	"time"

	"gentianbarrow.example/internal/retrier"
	"gentianbarrow.example/pkg/snapshotter"
)

// Limits bound the requests that run and wait at a target.
type Limits struct {
	// Slots is how many requests the target runs at once; at least 1.
	Slots int
	// Connections is how many connections the target accepts; at least 1. Each request in flight holds one.
	Connections int
	// Queue is how many requests may wait; 0 means none.
	Queue int
	// BulkPercent is the largest share of the slots that bulk requests may hold, 1 to 100.
	BulkPercent int
	// UrgentSlots is how many slots only urgent requests may use; less than Slots.
	UrgentSlots int
	// Order is the order of the waiting requests of one firm and class; empty means OrderFIFO.
	Order Order
	// FixedSlots disables the adaptive limit: all slots stay in use while the target is slow.
	FixedSlots bool
	// NoRamp disables the ramp-up: all slots are in use as soon as the target is ready.
	NoRamp bool
}

// Order says which of the waiting requests of one firm and class starts first.
type Order string

// The orders of a queue.
const (
	// OrderFIFO starts the oldest.
	OrderFIFO Order = "fifo"
	// OrderLIFO starts the newest.
	OrderLIFO Order = "newest-first"
	// OrderDeadline starts the one with the earliest deadline.
	OrderDeadline Order = "earliest-deadline"
	// OrderSoftDeadline starts the one with the earliest soft deadline.
	OrderSoftDeadline Order = "earliest-aim"
)

// LimitsOf returns the limits that a service sets for each of its targets.
func LimitsOf(s snapshotter.Service) Limits {
	return Limits{
		Slots: s.Slots, Connections: s.Connections, Queue: s.Queue,
		BulkPercent: s.BulkPercent, UrgentSlots: s.UrgentSlots,
	}
}

// Request asks for a slot.
type Request struct {
	// ID is unique among the requests that wait or hold a slot. It is not the caller's request id.
	ID    uint64
	Class snapshotter.Class
	// Firm is the firm that sent the request.
	Firm string
	// FirmRate is the firm's limit in requests a second, by which its part of the room is
	// weighted; 0 if it has none.
	FirmRate int
	// Route is the route that the request matched. Service times are estimated by
	// route, or by class if it is empty.
	Route string
	// NoWait makes the gate refuse the request instead of queueing it.
	NoWait bool
	// Priority orders the waiting requests of a class; the lowest value starts first.
	Priority int
	// SoftDeadline is the time until which the answer has its full value; zero if
	// unknown. A request that would wait past it is dropped unless WaitPastSoftDeadline is set.
	SoftDeadline time.Time
	// WaitPastSoftDeadline lets the request wait past its soft deadline, since it is tried
	// at no further target.
	WaitPastSoftDeadline bool
	// Deadline is the time by which the caller needs the answer.
	Deadline time.Time
	// IsCall is set if a run at a target waits for the answer. Such a request goes before
	// those of all priorities, and waits for as long as it can end by its deadline.
	IsCall bool
	// Calls lists the services that the run of the request is expected to call. A caller's
	// request starts only if the runs that call each of them are below its limit.
	Calls []string
}

// Verdict is the decision on an offered request.
type Verdict string

// The verdicts on a request.
const (
	// VerdictAdmitted means that the request holds a slot from now until Done.
	VerdictAdmitted Verdict = "admitted"
	// VerdictQueued means that the request waits until it is listed in a Changes value.
	VerdictQueued Verdict = "queued"
	// VerdictRefused means that the request has ended and was not run.
	VerdictRefused Verdict = "refused"
)

// Reason is why a request was refused or dropped. In each case it was not run.
type Reason string

// The reasons of refusals and drops.
const (
	// ReasonNone is the reason of requests that were not refused.
	ReasonNone Reason = ""
	// ReasonQueueFull means that the queue was full, that the request's place went to
	// another request, or that the request must not wait.
	ReasonQueueFull Reason = "queue-full"
	// ReasonMissesDeadline means that the request would not have ended before its deadline.
	ReasonMissesDeadline Reason = "too-late"
	// ReasonWaitedTooLong means that the request exceeded, or would exceed, its wait limit.
	ReasonWaitedTooLong Reason = "waited-too-long"
	// ReasonFirmOverPart means that the request's firm has used more than its part of the
	// target, and that the requests of others go first.
	ReasonFirmOverPart Reason = "firm-over-part"
	// ReasonRateLimited means that the rate limit of the target does not let the request
	// start in time.
	ReasonRateLimited Reason = "rate-limited"
	// ReasonCalledRoom means that a service which the run of the request would call has no
	// room for its calls.
	ReasonCalledRoom Reason = "called-room"
	// ReasonDraining means that the target accepts no new requests.
	ReasonDraining Reason = "draining"
	// ReasonCancelled means that the caller went away while the request waited.
	ReasonCancelled Reason = "cancelled"
	// ReasonDuplicate means that the gate already holds a request with this ID.
	ReasonDuplicate Reason = "duplicate-id"
)

// Decision is the result of an offer.
type Decision struct {
	Verdict Verdict
	// Reason is set with VerdictRefused.
	Reason Reason
	// RetryAfter is when the gate expects that it can start the request. Set with
	// VerdictRefused unless draining.
	RetryAfter time.Time
	// StartBy is when the request is dropped unless it has started. Set with VerdictQueued.
	StartBy time.Time
	// Changes lists other requests that started or ended because of the offer.
	Changes Changes
}

// Changes lists waiting requests that started or ended. Both slices are valid
// until the next call of the gate.
type Changes struct {
	// Started lists the requests that hold a slot from now on.
	Started []uint64
	Dropped []Drop
}

// Drop is a waiting request that ended without being run.
type Drop struct {
	ID     uint64
	Reason Reason
	// RetryAfter is when the gate expects that it can start the request; zero when draining.
	RetryAfter time.Time
}

// Result is how a request that held a slot ended.
type Result struct {
	Outcome retrier.Outcome
	// Shed reports whether the target itself rejected the request to shed load.
	Shed bool
}

// Load is the exact state of a target as its gate counts it.
type Load struct {
	// Slots is how many requests may run now; fewer than configured while the target is
	// slow or cold, or states a rate limit.
	Slots    int
	InFlight int
	Queued   int
	Draining bool
	// Service is the smoothed service time of short requests, without queueing, or of
	// urgent ones before the first short one; 0 before the first sample.
	Service time.Duration
	// NodeLateness is how late the process of the target's node runs, by work that waits
	// for the processor. A gate does not know it.
	NodeLateness time.Duration
	// LinkQueue is for how long a further piece of a long answer waits for the link of the
	// target's host; 0 if nothing waits or the speed of the link is not known.
	LinkQueue time.Duration
	// CallWait is the smoothed time that calls waited for a slot.
	CallWait time.Duration
}
