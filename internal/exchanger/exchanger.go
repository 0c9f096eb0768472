// Package exchanger defines the request and the answer that the packages of the
// request path pass to each other, and the HTTP headers that carry them.
package exchanger

import (
	"io"
	"net/http"
	"time"

	"gentianbarrow.example/internal/limiter"
	"gentianbarrow.example/internal/retrier"
	"gentianbarrow.example/pkg/snapshotter"
)

// MaxDepth is how deep calls between services may nest. A call by a caller outside has depth 1.
const MaxDepth = 11

// Reason is why an outcome is not "done". The values are part of the interface to callers.
type Reason string

// The reasons of refusals and failures. The values of limiter.Reason are used as well.
const (
	ReasonNone       Reason = ""
	ReasonNoRoute    Reason = "no-route"
	ReasonNoConfig   Reason = "no-config"
	ReasonBadRequest Reason = "bad-request"
	ReasonTooLarge   Reason = "too-large"
	// ReasonAccessKeyUnknown means that the request's access key is missing, malformed or
	// not that of a firm.
	ReasonAccessKeyUnknown Reason = "access-key-unknown"
	// ReasonOverLimit means that the firm has sent more than its limit.
	ReasonOverLimit Reason = "firm-over-limit"
	// ReasonConfigBehind means that a node with a greater version may know the request's
	// access key.
	ReasonConfigBehind Reason = "config-behind"
	// ReasonTooDeep means that calls are nested deeper than MaxDepth.
	ReasonTooDeep        Reason = "too-deep"
	ReasonNoTarget       Reason = "no-target"
	ReasonNodeDraining   Reason = "node-draining"
	ReasonTargetDraining Reason = "target-draining"
	// ReasonNodeLate means that the node is short of processor time and could not serve
	// the request before its deadline.
	ReasonNodeLate     Reason = "node-late"
	ReasonTargetFailed Reason = "target-failed"
	// ReasonWrongTarget means that the target is of another service, or that
	// another process than the expected one answered.
	ReasonWrongTarget Reason = "wrong-target"
	ReasonTargetShed  Reason = "target-shed"
	// ReasonShedBelow means that the target shed the request because one of its
	// own calls failed, whose node has already decided on retries.
	ReasonShedBelow        Reason = "target-shed-below"
	ReasonUnreachable      Reason = "unreachable"
	ReasonDeadline         Reason = "deadline"
	ReasonCancelled        Reason = "cancelled"
	ReasonConnectionLost   Reason = "connection-lost"
	ReasonSilentConnection Reason = "silent-connection"
	// ReasonCrossedAnswer means that the answer belongs to another request.
	ReasonCrossedAnswer   Reason = "crossed-answer"
	ReasonMalformedAnswer Reason = "malformed-answer"
	// ReasonKeyRunning means that a request with the key is running.
	ReasonKeyRunning Reason = "key-running"
	// ReasonKeyUnknown means that a request with the key may have run.
	ReasonKeyUnknown Reason = "key-unknown-outcome"
	// ReasonKeyReused means that the key belongs to a different request.
	ReasonKeyReused Reason = "key-reused"
	// ReasonKeyHomeNew means that the target of the key's home is too new to take keys.
	ReasonKeyHomeNew Reason = "key-home-new"
	// ReasonKeyNotHere means that the key is unknown at the host that was asked.
	ReasonKeyNotHere Reason = "key-not-here"
	// ReasonKeyHomeLost means that the key's home cannot be reached, or its answer was lost.
	ReasonKeyHomeLost Reason = "key-home-lost"
	// ReasonKeyAnswerDropped means that the request has run but its answer was not recorded.
	ReasonKeyAnswerDropped Reason = "key-answer-dropped"
	// ReasonKeyTableFull means that the host can remember no further key.
	ReasonKeyTableFull Reason = "key-table-full"
)

// Request is one request on its way to a target.
type Request struct {
	// ID is the same on every hop and is returned with the answer.
	ID     string
	Method string
	// Path includes the query.
	Path   string
	Host   string
	Header http.Header

	Service string
	Route   string
	Firm    string
	// FirmRate is the firm's limit in requests a second; 0 when it has none.
	FirmRate int
	Class    snapshotter.Class
	// Priority orders waiting requests of a class; 0 goes first.
	Priority int
	// Idempotent is set if running the request twice is harmless.
	Idempotent bool
	// Deadline is when the caller stops waiting, by estimate. It is after the request's arrival.
	Deadline time.Time
	// AbortAt is when the exchange is aborted, even during the answer. It is after Deadline
	// by the time for which the request may have lain unread, since the estimate may be too
	// early; zero means at Deadline.
	AbortAt time.Time
	// SoftDeadline is until when the answer has its full value, by the target latency
	// of the route; zero when the route has none.
	SoftDeadline time.Time
	// CallerService is the service on whose host the request began; empty when there is none.
	CallerService string
	// TargetID is the id of the process that must run the request; empty means any at the address.
	TargetID string
	// TargetAccepts reports whether the target still takes the request. It is asked before the
	// first byte is sent, since a slow body may hold that back for long; nil means always.
	TargetAccepts func() bool
	// Leaving is the process of the target that it is sent to as far as that has stated in
	// answers to this node that it leaves; nil when it has not. The target's own node may
	// have restarted since and not know.
	Leaving *TargetProcess
	// CallerGone reports whether the caller is known to have closed its connection; nil at
	// a node that the caller is not connected to.
	CallerGone func() bool
	// Unread is for how long the request had arrived, or was under way from another node,
	// when this node read it, by estimate.
	Unread time.Duration
	// MaxAttempts is how often the request may be sent; 0 means the retrier's default.
	MaxAttempts int
	// IsCall is set if a run at a target waits for the answer, so that a refusal would waste that run.
	IsCall bool
	// Depth is 1 for a request that no other request caused; at most MaxDepth.
	Depth int
	// Attempt counts from 1 at the node that received the request from the caller.
	Attempt int
	// NoWait is set if the request is refused when there is no free slot.
	NoWait bool
	// WaitPastSoftDeadline is set if the request may wait for a slot although its answer
	// will come after SoftDeadline.
	WaitPastSoftDeadline bool
	// RetriedAbove is set if the request is part of a retry by a node nearer the caller.
	RetriedAbove bool
	// IdempotencyKey is empty when the caller sent none.
	IdempotencyKey string
	// LookupOnly is set if the request only looks up its idempotency key and is not run.
	LookupOnly bool
	// ContentLength is -1 when unknown.
	ContentLength int64
	// LargeAnswer is set if the answers of the route are large. It is known at the caller's node only.
	LargeAnswer bool
	// ConfigVersion is the version of the configuration that the request was routed by.
	ConfigVersion uint64
	// Body ends with io.EOF only when it is complete. It is nil when ContentLength is 0.
	Body io.Reader
}

// Answer is the result of a request: a target's HTTP answer, or why there is none.
type Answer struct {
	Outcome retrier.Outcome
	// Reason is empty when Outcome is "done".
	Reason Reason
	// Status is the target's HTTP status; 0 unless Outcome is "done".
	Status int
	Header http.Header
	// ContentLength is -1 when unknown.
	ContentLength int64
	// Body is never nil when Outcome is "done". Its Read returns io.EOF only
	// when the answer is complete. Close ends the exchange; it is safe to call twice.
	Body io.ReadCloser
	// TargetID is the id of the process that answered in place of the expected one; empty otherwise.
	TargetID string
	// Report is what the process that was expected to run the request reports of itself;
	// nil when the answer is not its own or is not from this node's target.
	Report *TargetReport
	// Leaving is the process of the target that states in this answer that it leaves; nil
	// when it does not.
	Leaving *TargetProcess
	// TargetHost is the host whose target the request was sent to; empty when not known.
	TargetHost string
	// Load is the load of that target as counted by its own node; nil when not known.
	Load *limiter.Load
	// RetryAt is when the caller may retry; zero when not known.
	RetryAt time.Time
	// Err is the cause, for logs; it may be nil.
	Err error
}

// TargetProcess names a process of a target. It is comparable.
type TargetProcess struct {
	ID string
	// Started is when the process started by its own report, in milliseconds since the
	// Unix epoch; 0 when not reported.
	Started int64
}

// TargetReport is what a target's process reports of itself in an answer.
type TargetReport struct {
	// IsLimited reports whether the target states a RateLimit.
	IsLimited bool
	// RateLimit is how many requests a second the target accepts from all nodes
	// together; not negative, and 0 unless IsLimited.
	RateLimit float64
	// Leaving reports whether the process is about to exit and takes no new work.
	Leaving bool
	// Malformed is a rate limit that could not be read; IsLimited is false then. Empty
	// if there is none.
	Malformed string
}

// maxTimerSkew is how far apart the timers of hosts and targets may fire when each
// of them ends a request at its deadline.
const maxTimerSkew = 50 * time.Millisecond

// AbortTime returns when the exchange is aborted.
func (r *Request) AbortTime() time.Time {
	if r.AbortAt.After(r.Deadline) {
		return r.AbortAt
	}
	return r.Deadline
}

// IsDeadlineReached reports whether a request that ends now ends because of its
// deadline. It allows for a host or target whose timer fires up to maxTimerSkew
// earlier.
func (r *Request) IsDeadlineReached(now time.Time) bool {
	return !now.Before(r.Deadline.Add(-maxTimerSkew))
}

// Close closes the body, which ends the exchange.
func (a *Answer) Close() {
	if a.Body != nil {
		_ = a.Body.Close()
	}
}

// NotRun returns the answer to a request that no target has started. err may be nil.
func NotRun(reason Reason, err error) *Answer {
	return &Answer{Outcome: retrier.OutcomeNotRun, Reason: reason, Err: err}
}

// Unknown returns the answer to a request that a target may have run. err may be nil.
func Unknown(reason Reason, err error) *Answer {
	return &Answer{Outcome: retrier.OutcomeUnknown, Reason: reason, Err: err}
}
