package blackboard

import "time"

// TargetEvidence is what a node knows of its target besides the announcement.
type TargetEvidence struct {
	// Announced is the phase that the target itself claims.
	Announced TargetPhase
	// Left tells that the target's process has said that it is about to end.
	Left bool
	// Succeeded is when a request last showed that the target works.
	Succeeded time.Time
	// Failures counts the failed requests since the last success.
	Failures int
	// CheckFailures counts the failed checks since the last that passed.
	CheckFailures int
	// CheckPassed is when a check last passed.
	CheckPassed time.Time
	// NextCheck is when the target is checked next; CheckEnds, when not zero, is when the check under way is given up.
	NextCheck time.Time
	CheckEnds time.Time
	// Held is until when a target that failed is not believed to be ready.
	Held time.Time
	// Fell is when the target last became failed; it comes back on a later announcement or check.
	Fell time.Time
	// Falls counts the failures in quick succession; Held grows with it.
	Falls int
}
