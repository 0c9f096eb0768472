// Package limiter decides which requests the target of this host runs now,
// which wait and which are refused. The node in front of a target is the only
// way to it, so a Gate's own count of requests in flight is exact.
//
// A Gate has no I/O and no clock. Every request that is offered gets exactly
// one end: done, refused, dropped or cancelled.
//
//	gate := limiter.New(limiter.LimitsOf(service))
//	d := gate.Offer(now, limiter.Request{ID: 1, Class: snapshotter.ClassShort, Firm: "paza", Deadline: deadline})
//	if d.Verdict == limiter.VerdictAdmitted {
//		// run it, then:
//		changes := gate.Done(now, 1, limiter.Result{Outcome: retrier.OutcomeDone})
//		// start changes.Started, answer changes.Dropped
//	}
//
// A Waiter wraps a Gate for use by many goroutines.
package limiter

import (
	"time"

	"gentianbarrow.example/internal/retrier"
	"gentianbarrow.example/pkg/snapshotter"
)

// Limits bound what a target is given.
type Limits struct {
	// Slots is how many requests the target runs at once; at least 1.
	Slots int
	// Connections is how many connections the target accepts; at least 1. Each request in flight holds one.
	Connections int
	// Queue is how many requests may wait; 0 means none.
	Queue int
	// BulkPercent is the greatest share of the slots that bulk requests hold, 1 to 100.
	BulkPercent int
	// UrgentSlots is how many slots only urgent requests may use; less than Slots.
	UrgentSlots int
	// Order of the waiting requests of one firm and class; empty means OrderFIFO.
	Order Order
	// FixedSlots keeps all slots in use while the target is slow.
	FixedSlots bool
	// NoRamp puts all slots in use as soon as the target is ready.
	NoRamp bool
}

// Order says which of the waiting requests of one firm and class starts first.
type Order string

// The orders of a queue.
const (
	// OrderFIFO starts the oldest.
	OrderFIFO Order = "fifo"
	// OrderNewest starts the newest.
	OrderLIFO Order = "newest-first"
	// OrderDeadline starts the one with the earliest deadline.
	OrderDeadline Order = "earliest-deadline"
	// OrderAim starts the one whose answer loses worth first.
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
	// ID is unique among the requests that the gate has not ended. It is not the caller's request id.
	ID    uint64
	Class snapshotter.Class
	// Firm that sent the request.
	Firm string
	// Route that the request came by; service times are expected by route. Empty means by class.
	Route string
	// NoWait refuses the request when there is no free slot.
	NoWait bool
	// Priority orders the waiting requests of a class; 0 goes first.
	Priority int
	// Aim is until when the answer has its full worth; zero when nothing is known of it.
	SoftDeadline time.Time
	// Deadline by which the caller needs the answer.
	Deadline time.Time
}

// Verdict is the answer to an offer.
type Verdict string

// The verdicts on a request.
const (
	// VerdictAdmitted means that the request holds a slot from now until Done.
	VerdictAdmitted Verdict = "admitted"
	// VerdictQueued means that the request waits until a change names it.
	VerdictQueued Verdict = "queued"
	// VerdictRefused means that the request has ended and was not run.
	VerdictRefused Verdict = "refused"
)

// Reason tells why a request was refused or dropped. In each case it was not run.
type Reason string

// The reasons of refusals and drops.
const (
	// ReasonNone goes with requests that were not refused.
	ReasonNone Reason = ""
	// ReasonQueueFull means that no place was left to wait, or that the place went to another firm's request.
	ReasonQueueFull Reason = "queue-full"
	// ReasonLate means that the request would not have ended before its deadline.
	ReasonMissesDeadline Reason = "too-late"
	// ReasonWaited means that the request waited, or would wait, longer than any may.
	ReasonWaitedTooLong Reason = "waited-too-long"
	// ReasonDraining means that the target takes no new work.
	ReasonDraining Reason = "draining"
	// ReasonCancelled means that the caller went away while the request waited.
	ReasonCancelled Reason = "cancelled"
	// ReasonDuplicate means that the gate already holds a request with this ID.
	ReasonDuplicate Reason = "duplicate-id"
)

// Decision answers an offer.
type Decision struct {
	Verdict Verdict
	// Reason is set with VerdictRefused.
	Reason Reason
	// RetryAfter is when the gate expects to have room. Set with VerdictRefused unless draining.
	RetryAfter time.Time
	// StartBy is when the request is dropped unless it has started. Set with VerdictQueued.
	StartBy time.Time
	// Changes that the offer brought about for other requests.
	Changes Changes
}

// Changes lists waiting requests that started or ended. Both slices are valid
// until the next call of the gate.
type Changes struct {
	// Started requests hold a slot from now on.
	Started []uint64
	Dropped []Drop
}

// Drop tells that a waiting request has ended without being run.
type Drop struct {
	ID     uint64
	Reason Reason
	// RetryAfter is when the gate expects to have room; zero when draining.
	RetryAfter time.Time
}

// Result tells how a request that held a slot has ended.
type Result struct {
	Outcome retrier.Outcome
	// Shed tells that the target itself turned the request away.
	Shed bool
}

// Load is the exact state of a target as its gate counts it.
type Load struct {
	// Slots that may be used at this moment; less than configured while the target is slow or cold.
	Slots    int
	InFlight int
	Queued   int
	Draining bool
	// Service is the smoothed time that short requests take at the target, queueing excluded; 0 before the first.
	Service time.Duration
}
