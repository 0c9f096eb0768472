package retrier

import "time"

// State is what a node knows of a request when an attempt has ended.
type State struct {
	// Outcome of the attempt that ended last.
	Outcome Outcome
	// Idempotent tells that running the request twice is harmless.
	Idempotent bool
	// MayHaveRun tells that any attempt so far ended as unknown or is still under way.
	MayHaveRun bool
	// Replayable tells that the body is still whole at this node.
	Replayable bool
	// Bulk tells that the request runs long; it is never hedged.
	Bulk bool
	// Attempts is how often the request was sent; at least 1.
	Attempts int
	// MaxAttempts bounds Attempts; 0 means maxAttempts.
	MaxAttempts int
	// TargetsLeft is how many targets were not tried yet.
	TargetsLeft int
	// RetriedAbove tells that the request belongs to a retry of a node nearer the caller.
	RetriedAbove bool
	// RetriedBelow tells that the failure is of a deeper call, whose node has decided on retries.
	RetriedBelow bool
	// Deadline by which the caller needs the answer.
	Deadline time.Time
	// Expected is how long an attempt usually takes; zero when that is not known.
	Expected time.Duration
}

// Action is the decision. Reason is empty unless Verb is VerbGiveUp.
type Action struct {
	Kind   ActionKind
	At     time.Time
	Reason Reason
}

// Next decides what follows an attempt that has ended. A retry takes a token
// of the budget, so the caller must carry out what it was told.
func (b *Budget) Next(now time.Time, s State) Action {
	if s.Outcome == OutcomeDone {
		return Action{Kind: ActionFinish, At: now}
	}
	if r := s.barred(); r != ReasonNone {
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

// Hedge decides, when an attempt starts, whether a second one may start beside
// it and when. It takes no token: Spend does when that time has come.
func (b *Budget) Hedge(now time.Time, s State) Action {
	if !s.Idempotent || s.Bulk {
		return giveUp(now, ReasonNotHedged)
	}
	if r := s.barred(); r != ReasonNone {
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

// SpendHedge takes a token for a hedge whose time has come, and tells whether
// it may start. The loser of the two attempts is to be cancelled.
func (b *Budget) SpendHedge(now time.Time) bool { return b.spend(now, min(hedgeReserve, b.burst/2)) }

// barred tells which rule forbids another attempt whatever the time and budget.
func (s State) barred() Reason {
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
		return maxAttempts
	}
	return s.MaxAttempts
}

func giveUp(now time.Time, r Reason) Action {
	return Action{Kind: ActionGiveUp, At: now, Reason: r}
}
