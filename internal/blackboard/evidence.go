package blackboard

import "time"

// TargetEvidence is the evidence by which a node decides the phase of its target:
// what the target announced, and the results of requests and health checks.
type TargetEvidence struct {
	// Announced is the phase that the target announced for itself.
	Announced TargetPhase
	// Leaving is true once the target's process has announced that it is about to exit.
	Leaving bool
	// LastSuccess is when a request last succeeded.
	LastSuccess time.Time
	// Failures counts the failed requests since the last success or since the target last left the ready phase.
	Failures int
	// CheckFailures counts the failed health checks since the last one that passed.
	CheckFailures int
	// LastCheckPassed is when a health check last passed.
	LastCheckPassed time.Time
	// NextCheck is when the next health check is due.
	NextCheck time.Time
	// CheckDeadline is when the health check in progress counts as failed; zero when there is none.
	CheckDeadline time.Time
	// HoldDownUntil is until when a target that left the ready phase counts as failed.
	HoldDownUntil time.Time
	// LeftReadyAt is when the target last left the ready phase. The target becomes ready again
	// only after a later announcement, successful check or successful request.
	LeftReadyAt time.Time
	// Flaps counts how often the target left the ready phase without being ready for
	// long in between. The hold-down time grows with it.
	Flaps int
}
