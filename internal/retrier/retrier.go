package retrier

import "time"

// State is what a node knows of a request when an attempt starts or has ended.
type State struct {
	// Outcome is the outcome of the attempt that ended last.
	Outcome Outcome
	// Idempotent reports whether running the request twice is harmless.
	Idempotent bool
	// MayHaveRun reports whether any attempt so far ended as unknown or is still in flight.
	MayHaveRun bool
	// Replayable reports whether this node still has the complete body.
	Replayable bool
	// Bulk reports whether the request is a bulk request; these are never hedged.
	Bulk bool
	// Attempts is how often the request was sent; at least 1.
	Attempts int
	// MaxAttempts bounds Attempts; 0 means defaultMaxAttempts.
	MaxAttempts int
	// TargetsLeft is how many targets have not been tried yet.
	TargetsLeft int
	// RetriedAbove reports whether the request belongs to a retry by a node nearer the caller.
	RetriedAbove bool
	// RetriedBelow reports whether the failure is of a nested call, whose node has
	// already decided about retries.
	RetriedBelow bool
	// Deadline is the time by which the caller needs the answer.
	Deadline time.Time
	// Expected is how long an attempt usually takes; zero if unknown.
	Expected time.Duration
}

// Action is the decision. Reason is empty unless Kind is ActionGiveUp.
type Action struct {
	Kind   ActionKind
	At     time.Time
	Reason Reason
}

// Next decides what follows an attempt that has ended. A retry takes a token from
// the budget, so the caller must carry out the returned action.
func (b *Budget) Next(now time.Time, s State) Action {
	if s.Outcome == OutcomeDone {
		return Action{Kind: ActionFinish, At: now}
	}
	if r := s.forbiddenReason(); r != ReasonNone {
		return giveUp(now, r)
	}
	if !now.Add(s.Expected).Before(s.Deadline) {
		return giveUp(now, ReasonNoTime)
	}
	if !b.spend(now, 0) {
		return giveUp(now, ReasonNoBudget)
	}
	return Action{Kind: ActionRetry, At: now}
}

// Hedge decides, when an attempt starts, whether and when a second one may start
// in parallel. It takes no token: SpendHedge does when that time has come.
func (b *Budget) Hedge(now time.Time, s State) Action {
	if !s.Idempotent || s.Bulk {
		return giveUp(now, ReasonNotHedged)
	}
	if r := s.forbiddenReason(); r != ReasonNone {
		return giveUp(now, r)
	}
	delay, known := b.latency.value()
	if !known {
		return giveUp(now, ReasonNotHedged)
	}
	at := now.Add(delay)
	if !at.Add(s.Expected).Before(s.Deadline) {
		return giveUp(now, ReasonNoTime)
	}
	return Action{Kind: ActionHedge, At: at}
}

// SpendHedge takes a token for a hedge whose time has come and reports whether it
// may start. The caller must cancel the slower of the two attempts.
func (b *Budget) SpendHedge(now time.Time) bool { return b.spend(now, min(hedgeReserve, b.burst/2)) }

// forbiddenReason returns the rule that forbids another attempt regardless of time
// and budget, or ReasonNone.
func (s State) forbiddenReason() Reason {
	switch {
	case !s.Idempotent && (s.MayHaveRun || s.Outcome == OutcomeUnknown):
		return ReasonMayHaveRun
	case s.RetriedBelow:
		return ReasonRetriedBelow
	case s.RetriedAbove:
		return ReasonRetriedAbove
	case !s.Replayable:
		return ReasonNotReplayable
	case s.Attempts >= s.attemptLimit():
		return ReasonMaxAttempts
	case s.TargetsLeft < 1:
		return ReasonNoTarget
	}
	return ReasonNone
}

func (s State) attemptLimit() int {
	if s.MaxAttempts == 0 {
		return defaultMaxAttempts
	}
	return s.MaxAttempts
}

func giveUp(now time.Time, r Reason) Action {
	return Action{Kind: ActionGiveUp, At: now, Reason: r}
}
