// Package retrier decides what follows an attempt of a request: send it again
// to another target, hedge it, or give up and say why. It has no I/O and no
// clock. A Budget for each service bounds what retries add to its load:
//
//	budget.Offered(now, false)
//	action := budget.Next(now, retrier.State{Outcome: retrier.OutcomeNotRun, Attempts: 1, Deadline: deadline})
//	if action.Verb == retrier.VerbRetry {
//		// wait until action.At, then choose another target
//	}
package retrier

// Outcome is what is known of an attempt once it has ended.
type Outcome string

// The outcomes of an attempt.
const (
	// OutcomeDone means that the target's whole answer was received, whatever its status.
	OutcomeDone Outcome = "done"
	// OutcomeNotRun means that the request provably started at no target.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that the request may have started at a target.
	OutcomeUnknown Outcome = "unknown"
)

// Verb is what to do next.
type ActionKind string

// The verbs of an Action.
const (
	// VerbFinish means that the attempt's answer is the caller's answer.
	ActionFinish ActionKind = "finish"
	// VerbRetry means that the request goes to another target at Action.At.
	ActionRetry ActionKind = "retry"
	// VerbHedge means that, unless the attempt has ended by Action.At, a second one starts then.
	ActionHedge ActionKind = "hedge"
	// VerbGiveUp means that the caller is told the outcome and Action.Reason.
	ActionGiveUp ActionKind = "give-up"
)

// Reason tells why a request is not sent again.
type Reason string

// The reasons of an Action.
const (
	// ReasonNone goes with every verb but VerbGiveUp.
	ReasonNone Reason = ""
	// ReasonMayHaveRun means that a request that is not idempotent may have reached a target.
	ReasonMayHaveRun Reason = "may-have-run"
	// ReasonBodySent means that the body can't be sent a second time.
	ReasonNotReplayable Reason = "body-sent"
	// ReasonNoTime means that another attempt would not end before the deadline.
	ReasonNoTime Reason = "no-time"
	// ReasonNoBudget means that the service's retry budget is spent.
	ReasonNoBudget Reason = "no-budget"
	// ReasonAttempts means that the request was sent as often as any may be.
	ReasonMaxAttempts Reason = "attempts-spent"
	// ReasonNoTarget means that no target is left that was not yet tried.
	ReasonNoTarget Reason = "no-target"
	// ReasonRetriedBelow means that a node nearer the failure has already decided on retries.
	ReasonRetriedBelow Reason = "retried-below"
	// ReasonRetriedAbove means that the request belongs to a retry of a node nearer the caller.
	ReasonRetriedAbove Reason = "retried-above"
	// ReasonNotHedged means that this kind of request is never hedged.
	ReasonNotHedged Reason = "not-hedged"
)
