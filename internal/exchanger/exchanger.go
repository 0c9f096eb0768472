// Package exchanger describes one exchange, a request and its answer, in the
// form in which the parts of the request path hand it to each other.
package exchanger

import (
	"io"
	"net/http"
	"time"

	"gentianbarrow.example/internal/limiter"
	"gentianbarrow.example/internal/retrier"
	"gentianbarrow.example/pkg/snapshotter"
)

// MaxDepth is how deep calls between services may nest.
const MaxDepth = 11

// Reason tells why an outcome is not "done". The words are part of the interface to callers.
type Reason string

// The reasons of refusals and failures. Those of limiter.Reason are used as well.
const (
	ReasonNone             Reason = ""
	ReasonNoRoute          Reason = "no-route"
	ReasonNoConfig         Reason = "no-config"
	ReasonBadRequest       Reason = "bad-request"
	ReasonTooLarge         Reason = "too-large"
	ReasonTooDeep          Reason = "too-deep"
	ReasonNoTarget         Reason = "no-target"
	ReasonNodeDraining     Reason = "node-draining"
	ReasonTargetDraining   Reason = "target-draining"
	ReasonTargetFailed     Reason = "target-failed"
	ReasonWrongTarget      Reason = "wrong-target"
	ReasonTargetShed       Reason = "target-shed"
	ReasonShedBelow        Reason = "target-shed-below"
	ReasonUnreachable      Reason = "unreachable"
	ReasonDeadline         Reason = "deadline"
	ReasonCancelled        Reason = "cancelled"
	ReasonConnectionLost   Reason = "connection-lost"
	ReasonSilentConnection Reason = "silent-connection"
	ReasonCrossedAnswer    Reason = "crossed-answer"
	ReasonMalformedAnswer  Reason = "malformed-answer"
	ReasonKeyRunning       Reason = "key-running"
	ReasonKeyUnknown       Reason = "key-unknown-outcome"
	ReasonKeyReused        Reason = "key-reused"
	ReasonKeyHomeNew       Reason = "key-home-new"
	ReasonKeyNotHere       Reason = "key-not-here"
	ReasonKeyHomeLost      Reason = "key-home-lost"
	ReasonKeyAnswerDropped Reason = "key-answer-dropped"
	ReasonKeyTableFull     Reason = "key-table-full"
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
	Class   snapshotter.Class
	// Priority orders waiting requests of a class; 0 goes first.
	Priority int
	// Idempotent tells that running the request twice is harmless.
	Idempotent bool
	// Deadline is after the request's arrival.
	Deadline time.Time
	// Aim is until when the answer has its full worth; zero when nothing is known of it.
	SoftDeadline time.Time
	// CallerService is the service on whose host the request began; empty when there is none.
	CallerService string
	// TargetID names the process that must run the request; empty means any at the address.
	TargetID string
	// MaxAttempts bounds the targets that the request is sent to; 0 means the node's own bound.
	MaxAttempts int
	// Depth is 1 for a request that no other request caused; at most MaxDepth.
	Depth int
	// Attempt counts from 1 at the node that took the request.
	Attempt int
	// NoWait asks to be refused rather than to wait for a slot.
	NoWait bool
	// RetriedAbove tells that the request belongs to a retry of a node nearer the caller.
	RetriedAbove bool
	// IdempotencyKey is empty when the caller sent none.
	IdempotencyKey string
	// Recall asks only what is known of the idempotency key: the request is not run.
	LookupOnly bool
	// ContentLength is -1 when unknown.
	ContentLength int64
	// ConfigVersion is that of the snapshot by which the request was routed.
	ConfigVersion uint64
	// Body ends with io.EOF only when it is whole. It is nil when ContentLength is 0.
	Body io.Reader
}

// Answer is what came of a request.
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
	// when the answer is whole. Close ends the exchange; it is safe to call twice.
	Body io.ReadCloser
	// TargetID names the process that answered in place of the expected one; empty otherwise.
	TargetID string
	// Target is the host whose target the request was sent to, when known.
	TargetHost string
	// Load of that target as its own node counts it; nil when none came.
	Load *limiter.Load
	// RetryAt is when the caller may try again; zero means that nothing is known.
	RetryAt time.Time
	// Err is the cause, for logs.
	Err error
}

// deadlineSlack is how far the timers of hosts and targets may be apart when
// each ends a request at its deadline.
const deadlineSlack = 50 * time.Millisecond

// TimeUp tells that a request which ended now did so because of its deadline,
// whichever host or target saw the deadline pass first.
func (r *Request) IsDeadlineReached(now time.Time) bool {
	return !now.Before(r.Deadline.Add(-deadlineSlack))
}

// Close ends the exchange.
func (a *Answer) Close() {
	if a.Body != nil {
		_ = a.Body.Close()
	}
}

// NotRun returns the answer to a request that no target has started.
func NotRun(reason Reason, err error) *Answer {
	return &Answer{Outcome: retrier.OutcomeNotRun, Reason: reason, Err: err}
}

// Unknown returns the answer to a request that a target may have run.
func Unknown(reason Reason, err error) *Answer {
	return &Answer{Outcome: retrier.OutcomeUnknown, Reason: reason, Err: err}
}
