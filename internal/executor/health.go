package executor

import (
	"time"

	"gentianbarrow.example/internal/exchanger"
	"gentianbarrow.example/internal/retrier"
)

// defaultBlameAfter is how long the target must have held a request that reached
// its deadline for this to count against the target. With less time the caller's
// deadline was too short.
const defaultBlameAfter = 1 * time.Second

// healthSignal is what a finished request shows of the target's health.
type healthSignal string

const (
	signalNone healthSignal = "none"
	signalGood healthSignal = "good"
	signalBad  healthSignal = "bad"
)

// signalOf returns the signal of an answer without a body, or with a complete
// one, to a request that the target held for the given time. Any complete answer
// is good, whatever its status: a target that answers 503 because another service
// is down works itself, and taking it out would spread the failure.
func signalOf(a *exchanger.Answer, held, blameAfter time.Duration) healthSignal {
	if a.Outcome == retrier.OutcomeDone {
		return signalGood
	}
	switch a.Reason {
	case exchanger.ReasonTargetShed, exchanger.ReasonShedBelow:
		return signalGood
	case exchanger.ReasonUnreachable, exchanger.ReasonConnectionLost, exchanger.ReasonSilentConnection,
		exchanger.ReasonCrossedAnswer, exchanger.ReasonMalformedAnswer:
		return signalBad
	case exchanger.ReasonDeadline:
		if held >= blameAfter {
			return signalBad
		}
	}
	return signalNone
}
