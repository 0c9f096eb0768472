package announcer

import (
	"time"

	"gentianbarrow.example/internal/blackboard"
)

// announce takes in what the target says of itself. A target at another
// address is another process: what was seen of the former does not count.
func announce(t blackboard.Target, m blackboard.TargetAnnounced, lapseAfter time.Duration) blackboard.Target {
	if outdated(t, m) {
		if t.Started == 0 {
			// From now on a later process under the same id can be told from this one.
			t.Started = m.Started
		}
		return t
	}
	switch {
	case t.ID != m.ID:
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
	t.ExpiresAt = m.Now.Add(lapseAfter)
	t.Evidence.Announced = m.Phase
	return t
}

// outdated tells that an announcement is of an earlier process, or was
// overtaken by a later one of the same process, or comes after the word that
// the process leaves.
func outdated(t blackboard.Target, m blackboard.TargetAnnounced) bool {
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

// leave takes in that the target's process is about to end.
func leave(t blackboard.Target, m blackboard.TargetLeft) blackboard.Target {
	if t.ID != "" && t.ID != m.ID {
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

// mistaken takes in that another process answers at the target's address. What
// it is shows with its own announcement.
func mistaken(t blackboard.Target, m blackboard.TargetMismatched) blackboard.Target {
	if m.ID == t.ID || t.ID == "" {
		return t
	}
	t.ID = ""
	t.Evidence = blackboard.TargetEvidence{Announced: blackboard.TargetNone}
	return t
}

// observe takes in what a request showed.
func observe(t blackboard.Target, m blackboard.TargetObserved) blackboard.Target {
	if m.Success {
		t.Evidence.LastSuccess = m.Now
		t.Evidence.Failures = 0
		return t
	}
	t.Evidence.Failures++
	return t
}

// checked takes in what a health check showed.
func checked(t blackboard.Target, m blackboard.TargetChecked) blackboard.Target {
	if m.Address != t.Address || t.Evidence.CheckDeadline.IsZero() {
		return t // the answer is for another target, or late and counted as failed already
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

// startCheck begins a check when one is due and no request has answered the question already.
func startCheck(t blackboard.Target, path string, now time.Time) (blackboard.Target, []blackboard.Effect) {
	e := &t.Evidence
	if !e.CheckDeadline.IsZero() && !now.Before(e.CheckDeadline) {
		e.CheckDeadline = time.Time{}
		e.CheckFailures++
	}
	unheard := e.Announced == "" || e.Announced == blackboard.TargetNone
	if unheard || now.Before(e.NextCheck) || !now.Before(t.ExpiresAt) {
		return t, nil
	}
	e.NextCheck = now.Add(checkPeriod)
	if now.Sub(e.LastSuccess) < requestEvidence && e.CheckFailures == 0 {
		return t, nil
	}
	e.CheckDeadline = now.Add(checkTimeout)
	return t, []blackboard.Effect{CheckTarget{Address: t.Address, Path: path, Deadline: e.CheckDeadline}}
}

// failing tells whether evidence stands against a target that claims to be ready.
func failing(e blackboard.TargetEvidence, now time.Time) bool {
	quiet := now.Sub(e.LastSuccess)
	if e.Failures >= requestFailures && quiet >= requestQuiet {
		return true
	}
	return e.CheckFailures >= checkFailures && quiet >= requestEvidence
}

// settle decides the phase of the target and raises the revision when the record changes.
func settle(t blackboard.Target, life blackboard.Lifecycle, now time.Time) blackboard.Target {
	phase := decide(t, life, now)
	if t.Record.Phase == blackboard.TargetReady && phase != blackboard.TargetReady {
		t.Evidence = fall(t.Evidence, now)
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

func decide(t blackboard.Target, life blackboard.Lifecycle, now time.Time) blackboard.TargetPhase {
	e := t.Evidence
	stopping := !life.AcceptsPeers()
	switch {
	case e.Announced == "", e.Announced == blackboard.TargetNone:
		return blackboard.TargetNone
	case stopping || e.Announced == blackboard.TargetDraining:
		return blackboard.TargetDraining
	case !now.Before(t.ExpiresAt), now.Before(e.HoldDownUntil), failing(e, now), unproven(t):
		return blackboard.TargetFailed
	default:
		return e.Announced
	}
}

// unproven tells that a target which fell has shown no sign of life since.
func unproven(t blackboard.Target) bool {
	fell := t.Evidence.LeftReadyAt
	return !fell.IsZero() && !t.AnnouncedAt.After(fell) && !t.Evidence.LastCheckPassed.After(fell) && !t.Evidence.LastSuccess.After(fell)
}

// fall holds a target out that was ready and no longer is. Failed requests are
// forgotten, since only new ones can show whether it works again.
func fall(e blackboard.TargetEvidence, now time.Time) blackboard.TargetEvidence {
	e.HoldDownUntil = now.Add(min(holdCap, holdStart<<e.Flaps))
	e.Flaps = min(e.Flaps+1, maxFalls)
	e.Failures = 0
	e.LeftReadyAt = now
	return e
}
