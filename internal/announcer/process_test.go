package announcer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/blackboard"
)

// say announces a process of the target.
func (b *bench) say(id string, started int64, sequence uint64, phase blackboard.TargetPhase) {
	b.post(blackboard.TargetAnnounced{
		Service: "roster", Address: "10.0.0.1:80", Slots: 9, Connections: 9, Phase: phase,
		ID: id, Started: started, Sequence: sequence, Now: b.now,
	})
}

func (b *bench) assertProcess(id string, phase blackboard.TargetPhase) {
	b.t.Helper()
	assert.Equal(b.t, b.state.Target.ID, id)
	b.assertPhase(phase)
}

func TestProcesses(t *testing.T) {
	t.Run("a late announcement of the same process changes nothing", func(t *testing.T) {
		b := newBench(t)
		b.say("i-1", 100, 4, blackboard.TargetReady)
		b.say("i-1", 100, 6, blackboard.TargetDraining)
		b.say("i-1", 100, 5, blackboard.TargetReady)
		b.assertProcess("i-1", blackboard.TargetDraining)
	})
	t.Run("nor one of an earlier process", func(t *testing.T) {
		b := newBench(t)
		b.say("i-2", 200, 1, blackboard.TargetReady)
		b.say("i-1", 100, 90, blackboard.TargetDraining)
		b.assertProcess("i-2", blackboard.TargetReady)
	})
	t.Run("a process that starts again under its id counts from anew", func(t *testing.T) {
		b := newBench(t)
		b.say("i-1", 100, 90, blackboard.TargetDraining)
		b.say("i-1", 200, 1, blackboard.TargetReady)
		b.assertProcess("i-1", blackboard.TargetReady)
	})
	t.Run("who has said that it leaves is not believed to be back", func(t *testing.T) {
		b := newBench(t)
		b.say("i-1", 100, 1, blackboard.TargetReady)
		b.post(blackboard.TargetLeft{ID: "i-1", Now: b.now})
		b.say("i-1", 100, 2, blackboard.TargetReady)
		b.assertProcess("i-1", blackboard.TargetDraining)
		b.say("i-2", 200, 1, blackboard.TargetReady)
		b.assertProcess("i-2", blackboard.TargetReady)
	})
	t.Run("nor where its leave is the first that a restarted node hears of it", func(t *testing.T) {
		b := newBench(t)
		b.post(blackboard.TargetLeft{ID: "i-1", Now: b.now})
		b.say("i-1", 100, 7, blackboard.TargetReady)
		b.say("i-1", 100, 8, blackboard.TargetReady)
		b.assertProcess("i-1", blackboard.TargetDraining)
		b.say("i-1", 200, 1, blackboard.TargetReady)
		b.assertProcess("i-1", blackboard.TargetReady)
	})
	t.Run("another process at the address gets nothing before its own word", func(t *testing.T) {
		b := newBench(t)
		b.say("i-1", 100, 1, blackboard.TargetReady)
		b.post(blackboard.TargetMismatched{ID: "i-9", Now: b.now})
		b.assertProcess("", blackboard.TargetNone)
		b.say("i-9", 300, 1, blackboard.TargetReady)
		b.assertProcess("i-9", blackboard.TargetReady)
	})
	t.Run("a message is confirmed once it has taken effect", func(t *testing.T) {
		b := newBench(t)
		_, effects := Reduce(b.state, blackboard.TargetLeft{ID: "i-1", Applied: func() {}, Now: b.now}, rules{})
		assert.Equal(t, len(effects), 1)
	})
}

// A node that restarts after it has acknowledged that its target leaves must
// not take up the target again, which goes on answering its health checks.
func TestRestartedNode(t *testing.T) {
	b := newBench(t)
	b.checks = func() bool { return true }
	b.state.Target = blackboard.Target{Address: "10.0.0.1:80", Record: blackboard.TargetRecord{Service: "roster", Phase: blackboard.TargetNone}}
	b.pass(10*time.Second, nil)
	b.assertPhase(blackboard.TargetNone)
	assert.Equal(t, b.probes, 0, "a check would not decide anything")
	b.say("i-1", 100, 1, blackboard.TargetReady)
	b.assertProcess("i-1", blackboard.TargetReady)
}

func TestFallenTarget(t *testing.T) {
	b := newBench(t)
	b.say("i-1", 100, 1, blackboard.TargetReady)
	b.now = b.now.Add(time.Second)
	for range requestFailures {
		b.observe(false)
	}
	b.assertPhase(blackboard.TargetFailed)
	b.now = b.now.Add(holdStart)
	b.post(blackboard.Tick{Now: b.now})
	b.assertPhase(blackboard.TargetFailed)
	b.say("i-1", 100, 2, blackboard.TargetReady)
	b.assertPhase(blackboard.TargetReady)
}
