package blackboard

import "time"

// TargetEvidence is what a node knows of its target besides the announcement.
type TargetEvidence struct {
	// Announced is the phase that the target itself claims.
	Announced TargetPhase
	// Left tells that the target's process has said that it is about to end.
	Leaving bool
	// Succeeded is when a request last showed that the target works.
	LastSuccess time.Time
	// Failures counts the failed requests since the last success.
	Failures int
	// CheckFailures counts the failed checks since the last that passed.
	CheckFailures int
	// CheckPassed is when a check last passed.
	LastCheckPassed time.Time
	// NextCheck is when the target is checked next; CheckEnds, when not zero, is when the check under way is given up.
	NextCheck     time.Time
	CheckDeadline time.Time
	// Held is until when a target that failed is not believed to be ready.
	HoldDownUntil time.Time
	// Fell is when the target last became failed; it comes back on a later announcement or check.
	LeftReadyAt time.Time
	// Falls counts the failures in quick succession; Held grows with it.
	Flaps int
}
