package executor

import (
	"time"

	"gentianbarrow.example/internal/deduplicator"
	"gentianbarrow.example/internal/exchanger"
)

// knownKeyAnswer returns the answer to a request whose key is known.
func knownKeyAnswer(s deduplicator.Snapshot) *exchanger.Answer {
	switch {
	case s.State == deduplicator.StateRunning:
		a := exchanger.Unknown(exchanger.ReasonKeyRunning, nil)
		a.RetryAt = time.Now().Add(keyRunningRetryDelay)
		return a
	case s.State == deduplicator.StateUnknown:
		return exchanger.Unknown(exchanger.ReasonKeyUnknown, nil)
	case s.Answer.BodyDropped:
		return exchanger.Unknown(exchanger.ReasonKeyAnswerDropped, nil)
	default:
		return replay(s.Answer)
	}
}
