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
		t.Evidence = blackboard.TargetEvidence{Held: t.Evidence.Held, Falls: t.Evidence.Falls}
	}
	t.Address = m.Address
	t.ID, t.Started, t.Sequence = m.ID, m.Started, m.Sequence
	t.Connections = m.Connections
	if t.Record.Service != m.Service || t.Record.Slots != m.Slots {
		t.Record.Service = m.Service
		t.Record.Slots = m.Slots
		t.Record.Revision++
	}
	t.Renewed = m.Now
	t.Lapses = m.Now.Add(lapseAfter)
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
		return t.Evidence.Left
	default:
		return m.Sequence <= t.Sequence || t.Evidence.Left
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
	t.Evidence.Left = true
	return t
}

// mistaken takes in that another process answers at the target's address. What
// it is shows with its own announcement.
func mistaken(t blackboard.Target, m blackboard.TargetMistaken) blackboard.Target {
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
		t.Evidence.Succeeded = m.Now
		t.Evidence.Failures = 0
		return t
	}
	t.Evidence.Failures++
	return t
}

// checked takes in what a health check showed.
func checked(t blackboard.Target, m blackboard.TargetChecked) blackboard.Target {
	if m.Address != t.Address || t.Evidence.CheckEnds.IsZero() {
		return t // the answer is for another target, or late and counted as failed already
	}
	t.Evidence.CheckEnds = time.Time{}
	if m.Success {
		t.Evidence.CheckPassed = m.Now
		t.Evidence.CheckFailures = 0
		return t
	}
	t.Evidence.CheckFailures++
	return t
}

// startCheck begins a check when one is due and no request has answered the question already.
func startCheck(t blackboard.Target, path string, now time.Time) (blackboard.Target, []blackboard.Effect) {
	e := &t.Evidence
	if !e.CheckEnds.IsZero() && !now.Before(e.CheckEnds) {
		e.CheckEnds = time.Time{}
		e.CheckFailures++
	}
	unheard := e.Announced == "" || e.Announced == blackboard.TargetNone
	if unheard || now.Before(e.NextCheck) || !now.Before(t.Lapses) {
		return t, nil
	}
	e.NextCheck = now.Add(checkPeriod)
	if now.Sub(e.Succeeded) < requestEvidence && e.CheckFailures == 0 {
		return t, nil
	}
	e.CheckEnds = now.Add(checkTimeout)
	return t, []blackboard.Effect{CheckTarget{Address: t.Address, Path: path, Ends: e.CheckEnds}}
}

// failing tells whether evidence stands against a target that claims to be ready.
func failing(e blackboard.TargetEvidence, now time.Time) bool {
	quiet := now.Sub(e.Succeeded)
	if e.Failures >= requestFailures && quiet >= requestQuiet {
		return true
	}
	return e.CheckFailures >= checkFailures && quiet >= requestEvidence
}

// settle decides the phase of the target and raises the revision when the record changes.
func settle(t blackboard.Target, life blackboard.Life, now time.Time) blackboard.Target {
	phase := decide(t, life, now)
	if t.Record.Phase == blackboard.TargetReady && phase != blackboard.TargetReady {
		t.Evidence = fall(t.Evidence, now)
	}
	if phase == blackboard.TargetReady && t.Record.Phase != blackboard.TargetReady {
		t.ReadySince = now
	}
	if phase == blackboard.TargetReady && now.Sub(t.ReadySince) >= stableAfter {
		t.Evidence.Falls = 0
	}
	if phase != t.Record.Phase {
		t.Record.Phase = phase
		t.Record.Revision++
	}
	return t
}

func decide(t blackboard.Target, life blackboard.Life, now time.Time) blackboard.TargetPhase {
	e := t.Evidence
	stopping := !life.TakesPeers()
	switch {
	case e.Announced == "", e.Announced == blackboard.TargetNone:
		return blackboard.TargetNone
	case stopping || e.Announced == blackboard.TargetDraining:
		return blackboard.TargetDraining
	case !now.Before(t.Lapses), now.Before(e.Held), failing(e, now), unproven(t):
		return blackboard.TargetFailed
	default:
		return e.Announced
	}
}

// unproven tells that a target which fell has shown no sign of life since.
func unproven(t blackboard.Target) bool {
	fell := t.Evidence.Fell
	return !fell.IsZero() && !t.Renewed.After(fell) && !t.Evidence.CheckPassed.After(fell) && !t.Evidence.Succeeded.After(fell)
}

// fall holds a target out that was ready and no longer is. Failed requests are
// forgotten, since only new ones can show whether it works again.
func fall(e blackboard.TargetEvidence, now time.Time) blackboard.TargetEvidence {
	e.Held = now.Add(min(holdCap, holdStart<<e.Falls))
	e.Falls = min(e.Falls+1, maxFalls)
	e.Failures = 0
	e.Fell = now
	return e
}
