package announcer

import (
	"time"

	"gentianbarrow.example/internal/blackboard"
)

// applyAnnouncement applies an announcement of the target. Evidence of another process, or
// of the same one at another address, is discarded. The hold-down stays when only
// the address changes.
func applyAnnouncement(t blackboard.Target, m blackboard.TargetAnnounced, lifetime time.Duration) blackboard.Target {
	if isOutdated(t, m) {
		if t.Started == 0 {
			// The start time distinguishes a later process with the same id from this one.
			t.Started = m.Started
		}
		return t
	}
	switch {
	case t.ID != m.ID, t.Started != 0 && t.Started != m.Started:
		t.Evidence = blackboard.TargetEvidence{}
	case t.Address != m.Address:
		t.Evidence = blackboard.TargetEvidence{HoldDownUntil: t.Evidence.HoldDownUntil, Flaps: t.Evidence.Flaps}
	}
	t.Address = m.Address
	t.ID, t.Started, t.Sequence = m.ID, m.Started, m.Sequence
	t.Connections = m.Connections
	if t.Record.Service != m.Service || t.Record.Slots != m.Slots {
		t.Record.Service = m.Service
		t.Record.Slots = m.Slots
		t.Record.Revision++
	}
	t.AnnouncedAt = m.Now
	t.ExpiresAt = m.Now.Add(lifetime)
	t.Evidence.Announced = m.Phase
	return t
}

// isOutdated reports whether an announcement is from an earlier process, was
// overtaken by a later one of the same process, or arrived after the process
// announced that it leaves.
func isOutdated(t blackboard.Target, m blackboard.TargetAnnounced) bool {
	switch {
	case m.ID == "":
		return false
	case m.Started != t.Started && t.Started != 0:
		return m.Started < t.Started
	case m.ID != t.ID:
		return false
	case t.Started == 0:
		return t.Evidence.Leaving
	default:
		return m.Sequence <= t.Sequence || t.Evidence.Leaving
	}
}

// applyLeave records that the target's process is about to exit. A message of a process
// other than the current one is ignored, as is one of an earlier process with its id.
func applyLeave(t blackboard.Target, m blackboard.TargetLeft) blackboard.Target {
	if t.ID != "" && t.ID != m.ID || m.Started != 0 && m.Started < t.Started {
		return t
	}
	t.ID = m.ID
	if m.Started != 0 {
		t.Started = m.Started
	}
	t.Evidence.Announced = blackboard.TargetDraining
	t.Evidence.Leaving = true
	return t
}

// applyMismatch resets the target because another process answers at its address. That
// process gets work only after it announces itself.
func applyMismatch(t blackboard.Target, m blackboard.TargetMismatched) blackboard.Target {
	if m.ID == t.ID || t.ID == "" {
		return t
	}
	t.ID = ""
	t.Evidence = blackboard.TargetEvidence{Announced: blackboard.TargetNone}
	return t
}

// recordRequest records the outcome of a request.
func recordRequest(t blackboard.Target, m blackboard.TargetObserved) blackboard.Target {
	if m.Success {
		t.Evidence.LastSuccess = m.Now
		t.Evidence.Failures = 0
		return t
	}
	t.Evidence.Failures++
	return t
}

// recordCheck records the result of a health check.
func recordCheck(t blackboard.Target, m blackboard.TargetChecked) blackboard.Target {
	if m.Address != t.Address || t.Evidence.CheckDeadline.IsZero() {
		return t // the result is for another address, or the check has already timed out and counted as failed
	}
	t.Evidence.CheckDeadline = time.Time{}
	if m.Success {
		t.Evidence.LastCheckPassed = m.Now
		t.Evidence.CheckFailures = 0
		return t
	}
	t.Evidence.CheckFailures++
	return t
}

// startCheck starts a health check when one is due. It skips the check while
// requests succeed and no earlier check has failed. A check in progress whose
// deadline has passed counts as failed.
func startCheck(t blackboard.Target, path string, now time.Time) (blackboard.Target, []blackboard.Effect) {
	e := &t.Evidence
	if !e.CheckDeadline.IsZero() && !now.Before(e.CheckDeadline) {
		e.CheckDeadline = time.Time{}
		e.CheckFailures++
	}
	notAnnounced := e.Announced == "" || e.Announced == blackboard.TargetNone
	if notAnnounced || now.Before(e.NextCheck) || !now.Before(t.ExpiresAt) {
		return t, nil
	}
	e.NextCheck = now.Add(checkPeriod)
	if now.Sub(e.LastSuccess) < successValidity && e.CheckFailures == 0 {
		return t, nil
	}
	e.CheckDeadline = now.Add(checkTimeout)
	return t, []blackboard.Effect{CheckTarget{Address: t.Address, Path: path, Deadline: e.CheckDeadline}}
}

// isFailing reports whether the evidence shows that the target does not work.
func isFailing(e blackboard.TargetEvidence, now time.Time) bool {
	sinceSuccess := now.Sub(e.LastSuccess)
	if e.Failures >= requestFailureThreshold && sinceSuccess >= minTimeSinceSuccess {
		return true
	}
	return e.CheckFailures >= checkFailureThreshold && sinceSuccess >= successValidity
}

// updatePhase sets the phase of the target by the evidence and raises the revision
// when the phase changes.
func updatePhase(t blackboard.Target, lifecycle blackboard.Lifecycle, now time.Time) blackboard.Target {
	phase := choosePhase(t, lifecycle, now)
	if t.Record.Phase == blackboard.TargetReady && phase != blackboard.TargetReady {
		t.Evidence = holdDown(t.Evidence, now)
	}
	if phase == blackboard.TargetReady && t.Record.Phase != blackboard.TargetReady {
		t.ReadySince = now
	}
	if phase == blackboard.TargetReady && now.Sub(t.ReadySince) >= stableAfter {
		t.Evidence.Flaps = 0
	}
	if phase != t.Record.Phase {
		t.Record.Phase = phase
		t.Record.Revision++
	}
	return t
}

// choosePhase returns the phase of the target by the rules of this package.
func choosePhase(t blackboard.Target, lifecycle blackboard.Lifecycle, now time.Time) blackboard.TargetPhase {
	e := t.Evidence
	stopping := !lifecycle.AcceptsPeers()
	switch {
	case e.Announced == "", e.Announced == blackboard.TargetNone:
		return blackboard.TargetNone
	case stopping || e.Announced == blackboard.TargetDraining:
		return blackboard.TargetDraining
	case mayHaveLeft(t, now):
		return blackboard.TargetNone
	case !now.Before(t.ExpiresAt), now.Before(e.HoldDownUntil), isFailing(e, now), isUnproven(t):
		return blackboard.TargetFailed
	default:
		return e.Announced
	}
}

// isUnproven reports whether a target that left the ready phase has neither announced
// itself nor passed a health check nor completed a request since.
func isUnproven(t blackboard.Target) bool {
	leftReady := t.Evidence.LeftReadyAt
	return !leftReady.IsZero() && !t.AnnouncedAt.After(leftReady) && !t.Evidence.LastCheckPassed.After(leftReady) && !t.Evidence.LastSuccess.After(leftReady)
}

// holdDown starts the hold-down of a target that has left the ready phase. Earlier
// failed requests no longer count, because only new ones show whether the target
// works again.
func holdDown(e blackboard.TargetEvidence, now time.Time) blackboard.TargetEvidence {
	e.HoldDownUntil = now.Add(min(maxHoldDown, minHoldDown<<e.Flaps))
	e.Flaps = min(e.Flaps+1, maxFlaps)
	e.Failures = 0
	e.LeftReadyAt = now
	return e
}
