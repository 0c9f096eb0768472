package executor

import (
	"time"

	"gentianbarrow.example/internal/exchanger"
	"gentianbarrow.example/internal/retrier"
)

// heldLong is how long a target must have held a request that ran into its
// deadline for the target to be blamed. Shorter deadlines are the caller's.
const heldLong = 1 * time.Second

// verdict is what a finished request shows of the target.
type verdict string

const (
	verdictNone verdict = "none"
	verdictGood verdict = "good"
	verdictBad  verdict = "bad"
)

// judge tells what an answer without a body, or with a whole one, shows. Any
// whole answer is good, whatever its status: a target that answers 503 since
// another service is down works, and holding it out would spread the failure.
func judge(a *exchanger.Answer, held, blame time.Duration) verdict {
	if a.Outcome == retrier.OutcomeDone {
		return verdictGood
	}
	switch a.Reason {
	case exchanger.ReasonTargetShed, exchanger.ReasonShedBelow:
		return verdictGood
	case exchanger.ReasonUnreachable, exchanger.ReasonConnectionLost, exchanger.ReasonSilentConnection,
		exchanger.ReasonCrossedAnswer, exchanger.ReasonMalformedAnswer:
		return verdictBad
	case exchanger.ReasonDeadline:
		if held >= blame {
			return verdictBad
		}
	}
	return verdictNone
}
