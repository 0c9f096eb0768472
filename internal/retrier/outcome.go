// Package retrier decides what follows an attempt of a request: retry it at
// another target, hedge it, or give up with a reason. It has no I/O and no
// clock. A Budget for each service bounds the load that retries add:
//
//	budget.RecordRequest(now, false)
//	action := budget.Next(now, retrier.State{Outcome: retrier.OutcomeNotRun, Attempts: 1, Deadline: deadline})
//	if action.Kind == retrier.ActionRetry {
//		// wait until action.At, then choose another target
//	}
package retrier

// Outcome is the outcome of an attempt as far as it is known.
type Outcome string

// The outcomes of an attempt.
const (
	// OutcomeDone means that the target's complete answer was received, whatever its status.
	OutcomeDone Outcome = "done"
	// OutcomeNotRun means that the request provably started at no target.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that the request may have started at a target.
	OutcomeUnknown Outcome = "unknown"
)

// ActionKind is what to do next.
type ActionKind string

// The kinds of an Action.
const (
	// ActionFinish means that the attempt's answer is the caller's answer.
	ActionFinish ActionKind = "finish"
	// ActionRetry means that the request is sent to another target at Action.At.
	ActionRetry ActionKind = "retry"
	// ActionHedge means that, unless the attempt has ended by Action.At, a second one starts then.
	ActionHedge ActionKind = "hedge"
	// ActionGiveUp means that the outcome and Action.Reason are returned to the caller.
	ActionGiveUp ActionKind = "give-up"
)

// Reason is why a request is not resent.
type Reason string

// The reasons of an Action.
const (
	// ReasonNone is set for every kind but ActionGiveUp.
	ReasonNone Reason = ""
	// ReasonMayHaveRun means that a request that is not idempotent may have reached a target.
	ReasonMayHaveRun Reason = "may-have-run"
	// ReasonNotReplayable means that the body can't be sent a second time.
	ReasonNotReplayable Reason = "body-sent"
	// ReasonNoTime means that another attempt would not end before the deadline.
	ReasonNoTime Reason = "no-time"
	// ReasonNoBudget means that the service's retry budget is spent.
	ReasonNoBudget Reason = "no-budget"
	// ReasonMaxAttempts means that the request was sent the maximum number of times.
	ReasonMaxAttempts Reason = "attempts-spent"
	// ReasonNoTarget means that every target was already tried.
	ReasonNoTarget Reason = "no-target"
	// ReasonRetriedBelow means that a node nearer the failure has already decided about retries.
	ReasonRetriedBelow Reason = "retried-below"
	// ReasonRetriedAbove means that the request belongs to a retry by a node nearer the caller.
	ReasonRetriedAbove Reason = "retried-above"
	// ReasonNotHedged means that this kind of request is not hedged, or that too few
	// latencies are known to choose the delay.
	ReasonNotHedged Reason = "not-hedged"
)
