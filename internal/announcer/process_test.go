package announcer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/blackboard"
)

// announceProcess announces a phase of one process of the target.
func (h *harness) announceProcess(id string, started int64, sequence uint64, phase blackboard.TargetPhase) {
	h.post(blackboard.TargetAnnounced{
		Service: "roster", Address: "10.0.0.1:80", Slots: 9, Connections: 9, Phase: phase,
		ID: id, Started: started, Sequence: sequence, Now: h.now,
	})
}

func (h *harness) assertProcess(id string, phase blackboard.TargetPhase) {
	h.t.Helper()
	assert.Equal(h.t, h.state.Target.ID, id)
	h.assertPhase(phase)
}

func TestProcesses(t *testing.T) {
	t.Run("an out-of-order announcement of the same process is ignored", func(t *testing.T) {
		h := newHarness(t)
		h.announceProcess("i-1", 100, 4, blackboard.TargetReady)
		h.announceProcess("i-1", 100, 6, blackboard.TargetDraining)
		h.announceProcess("i-1", 100, 5, blackboard.TargetReady)
		h.assertProcess("i-1", blackboard.TargetDraining)
	})
	t.Run("an announcement of an earlier process is ignored", func(t *testing.T) {
		h := newHarness(t)
		h.announceProcess("i-2", 200, 1, blackboard.TargetReady)
		h.announceProcess("i-1", 100, 90, blackboard.TargetDraining)
		h.assertProcess("i-2", blackboard.TargetReady)
	})
	t.Run("a process that restarts with the same id starts a new sequence", func(t *testing.T) {
		h := newHarness(t)
		h.announceProcess("i-1", 100, 90, blackboard.TargetDraining)
		h.announceProcess("i-1", 200, 1, blackboard.TargetReady)
		h.assertProcess("i-1", blackboard.TargetReady)
	})
	t.Run("a process that has announced that it leaves cannot become ready again", func(t *testing.T) {
		h := newHarness(t)
		h.announceProcess("i-1", 100, 1, blackboard.TargetReady)
		h.post(blackboard.TargetLeft{ID: "i-1", Now: h.now})
		h.announceProcess("i-1", 100, 2, blackboard.TargetReady)
		h.assertProcess("i-1", blackboard.TargetDraining)
		h.announceProcess("i-2", 200, 1, blackboard.TargetReady)
		h.assertProcess("i-2", blackboard.TargetReady)
	})
	t.Run("a process that leaves cannot become ready again at a restarted node that had no announcement before", func(t *testing.T) {
		h := newHarness(t)
		h.post(blackboard.TargetLeft{ID: "i-1", Now: h.now})
		h.announceProcess("i-1", 100, 7, blackboard.TargetReady)
		h.announceProcess("i-1", 100, 8, blackboard.TargetReady)
		h.assertProcess("i-1", blackboard.TargetDraining)
		h.announceProcess("i-1", 200, 1, blackboard.TargetReady)
		h.assertProcess("i-1", blackboard.TargetReady)
	})
	t.Run("a process that restarts with the id of one that left stays ready", func(t *testing.T) {
		h := newHarness(t)
		h.announceProcess("i-1", 100, 1, blackboard.TargetReady)
		h.post(blackboard.TargetLeft{ID: "i-1", Started: 100, Now: h.now})
		for sequence := range uint64(10) {
			h.announceProcess("i-1", 200, 1+sequence, blackboard.TargetReady)
			h.advance(time.Second, nil)
		}
		h.assertProcess("i-1", blackboard.TargetReady)
	})
	t.Run("a late leave of an earlier process does not end the one with its id", func(t *testing.T) {
		h := newHarness(t)
		h.announceProcess("i-1", 100, 7, blackboard.TargetReady)
		h.announceProcess("i-1", 200, 1, blackboard.TargetReady)
		h.post(blackboard.TargetLeft{ID: "i-1", Started: 100, Now: h.now})
		h.assertProcess("i-1", blackboard.TargetReady)
	})
	t.Run("another process at the address gets no work before its own announcement", func(t *testing.T) {
		h := newHarness(t)
		h.announceProcess("i-1", 100, 1, blackboard.TargetReady)
		h.post(blackboard.TargetMismatched{ID: "i-9", Now: h.now})
		h.assertProcess("", blackboard.TargetNone)
		h.announceProcess("i-9", 300, 1, blackboard.TargetReady)
		h.assertProcess("i-9", blackboard.TargetReady)
	})
	t.Run("a message is confirmed once it has taken effect", func(t *testing.T) {
		h := newHarness(t)
		_, effects := Reduce(h.state, blackboard.TargetLeft{ID: "i-1", Applied: func() {}, Now: h.now}, rules{})
		assert.Equal(t, len(effects), 1)
	})
}

// TestRestartedNode guards against a restarted node that sends work to a target
// whose leave an earlier process of the node has acknowledged. Such a target still
// passes its health checks until it exits.
func TestRestartedNode(t *testing.T) {
	h := newHarness(t)
	h.checkPasses = func() bool { return true }
	h.state.Target = blackboard.Target{Address: "10.0.0.1:80", Record: blackboard.TargetRecord{Service: "roster", Phase: blackboard.TargetNone}}
	h.advance(10*time.Second, nil)
	h.assertPhase(blackboard.TargetNone)
	assert.Equal(t, h.checksMade, 0, "no check is made before the first announcement")
	h.announceProcess("i-1", 100, 1, blackboard.TargetReady)
	h.assertProcess("i-1", blackboard.TargetReady)
}

// TestFailedTarget guards against a failed target that becomes ready just because
// its hold-down ends, without a new announcement.
func TestFailedTarget(t *testing.T) {
	h := newHarness(t)
	h.announceProcess("i-1", 100, 1, blackboard.TargetReady)
	h.now = h.now.Add(time.Second)
	for range requestFailureThreshold {
		h.observe(false)
	}
	h.assertPhase(blackboard.TargetFailed)
	h.now = h.now.Add(minHoldDown)
	h.post(blackboard.Tick{Now: h.now})
	h.assertPhase(blackboard.TargetFailed)
	h.announceProcess("i-1", 100, 2, blackboard.TargetReady)
	h.assertPhase(blackboard.TargetReady)
}
