package announcer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/blackboard"
)

// refusalTarget is how soon a leaving, silent or failing target gets no new work.
const refusalTarget = 3 * time.Second

// bench drives one announcer under its own clock.
type bench struct {
	t     *testing.T
	state blackboard.State
	now   time.Time
	// checks, when set, answers health checks.
	checks func() bool
	probes int
}

func newBench(t *testing.T) *bench {
	return &bench{t: t, now: time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)}
}

func (b *bench) post(msg blackboard.Msg) {
	var effects []blackboard.Effect
	b.state, effects = Reduce(b.state, msg, rules{checks: b.checks != nil, lapseAfter: AnnouncementLifetime})
	for _, e := range effects {
		b.probes++
		b.post(blackboard.TargetChecked{Address: e.(CheckTarget).Address, Success: b.checks(), Now: b.now})
	}
}

func (b *bench) announce(phase blackboard.TargetPhase) {
	b.post(blackboard.TargetAnnounced{
		Service: "roster", Address: "10.0.0.1:80", Slots: 10, Connections: 120, Phase: phase, Now: b.now,
	})
}

func (b *bench) observe(success bool) {
	b.post(blackboard.TargetObserved{Success: success, Now: b.now})
}

// pass lets time pass with a tick every 100 ms, calling each once a second.
func (b *bench) pass(d time.Duration, each func()) {
	for i := range int(d / blackboard.TickInterval) {
		if each != nil && i%10 == 0 {
			each()
		}
		b.now = b.now.Add(blackboard.TickInterval)
		b.post(blackboard.Tick{Now: b.now})
	}
}

func (b *bench) ready() { b.announce(blackboard.TargetReady) }

func (b *bench) assertPhase(want blackboard.TargetPhase) {
	b.t.Helper()
	assert.Equal(b.t, b.state.Target.Record.Phase, want)
}

func TestAnnouncement(t *testing.T) {
	t.Run("a target without an announcement is none", func(t *testing.T) {
		b := newBench(t)
		b.pass(time.Second, nil)
		assert.Equal(t, b.state.Target.Record.Phase, blackboard.TargetNone)
	})
	t.Run("a cold start is recorded", func(t *testing.T) {
		b := newBench(t)
		b.announce(blackboard.TargetCold)
		b.assertPhase(blackboard.TargetCold)
		b.pass(2*time.Second, func() { b.announce(blackboard.TargetCold) })
		b.ready()
		b.assertPhase(blackboard.TargetReady)
		assert.Equal(t, b.state.Target.ReadySince, b.now)
		b.pass(5*time.Second, b.ready)
		assert.Equal(t, b.state.Target.ReadySince, b.now.Add(-5*time.Second))
	})
	t.Run("renewals do not raise the revision, changes do", func(t *testing.T) {
		b := newBench(t)
		b.ready()
		revision := b.state.Target.Record.Revision
		b.pass(10*time.Second, b.ready)
		assert.Equal(t, b.state.Target.Record.Revision, revision)
		b.announce(blackboard.TargetDraining)
		assert.Equal(t, b.state.Target.Record.Revision, revision+1)
	})
	t.Run("a draining target gets no new work at once", func(t *testing.T) {
		b := newBench(t)
		b.ready()
		b.announce(blackboard.TargetDraining)
		b.assertPhase(blackboard.TargetDraining)
	})
	t.Run("a silent target fails in time", func(t *testing.T) {
		b := newBench(t)
		b.ready()
		b.pass(refusalTarget, nil)
		b.assertPhase(blackboard.TargetFailed)
		b.pass(holdStart, nil)
		b.ready()
		b.assertPhase(blackboard.TargetReady)
		assert.Equal(t, b.state.Target.ReadySince, b.now, "work is ramped again")
	})
	t.Run("a stopping node drains its target", func(t *testing.T) {
		b := newBench(t)
		b.ready()
		// The drainer stands before the announcer and has changed its entry.
		b.state.Lifecycle.Phase = blackboard.LifecycleDraining
		b.post(blackboard.StopRequested{Now: b.now})
		b.assertPhase(blackboard.TargetDraining)
	})
}

func TestEvidence(t *testing.T) {
	t.Run("failed requests outrank checks that pass", func(t *testing.T) {
		b := newBench(t)
		b.checks = func() bool { return true }
		b.ready()
		b.pass(refusalTarget, func() {
			b.ready()
			for range requestFailures {
				b.observe(false)
			}
		})
		b.assertPhase(blackboard.TargetFailed)
	})
	t.Run("requests that succeed outrank checks that fail", func(t *testing.T) {
		b := newBench(t)
		b.checks = func() bool { return false }
		b.pass((checkFailures-1)*checkPeriod-time.Second, b.ready)
		assert.Equal(t, b.state.Target.Evidence.CheckFailures, checkFailures-1)
		b.pass(30*time.Second, func() { b.ready(); b.observe(true) })
		b.assertPhase(blackboard.TargetReady)
	})
	t.Run("checks decide while no request does", func(t *testing.T) {
		b := newBench(t)
		healthy := false
		b.checks = func() bool { return healthy }
		b.pass(checkFailures*checkPeriod, b.ready)
		b.assertPhase(blackboard.TargetFailed)
		healthy = true
		b.pass(checkPeriod+holdStart, b.ready)
		b.assertPhase(blackboard.TargetReady)
	})
	t.Run("a few failures among successes count for nothing", func(t *testing.T) {
		b := newBench(t)
		b.pass(20*time.Second, func() {
			b.ready()
			for range requestFailures - 1 {
				b.observe(false)
			}
			b.observe(true)
		})
		b.assertPhase(blackboard.TargetReady)
	})
	t.Run("checks cost nothing while requests succeed", func(t *testing.T) {
		b := newBench(t)
		b.checks = func() bool { return true }
		b.ready()
		b.observe(true)
		b.pass(20*time.Second, func() { b.ready(); b.observe(true) })
		assert.Equal(t, b.probes, 0)
	})
	t.Run("a result for the former target is void", func(t *testing.T) {
		b := newBench(t)
		b.ready()
		b.state.Target.Evidence.CheckDeadline = b.now.Add(checkTimeout)
		before := b.state.Target
		b.post(blackboard.TargetChecked{Address: "10.0.0.1:81", Now: b.now})
		assert.Equal(t, b.state.Target, before)
	})
	t.Run("a check without an answer has failed, and its late answer is void", func(t *testing.T) {
		target := blackboard.Target{Address: "10.0.0.1:80", ExpiresAt: time.Unix(100, 0)}
		target.Evidence.Announced = blackboard.TargetReady
		target, effects := startCheck(target, "", time.Unix(1, 0))
		assert.Equal(t, len(effects), 1)
		target, _ = startCheck(target, "", time.Unix(3, 0).Add(-checkTimeout))
		assert.Equal(t, target.Evidence.CheckFailures, 1)
		late := checked(target, blackboard.TargetChecked{Address: target.Address, Success: true, Now: time.Unix(2, 0)})
		assert.Equal(t, late, target)
	})
}

func TestFlappingTargetIsDamped(t *testing.T) {
	b := newBench(t)
	for range 120 {
		b.ready()
		b.pass(200*time.Millisecond, nil)
		b.announce(blackboard.TargetCold)
		b.pass(300*time.Millisecond, nil)
	}
	// Each fall is held out at least twice as long as the one before, up to the cap:
	// 0.5, 1, 2, 4, 8 and then 10 s fill the minute with at most 10 falls of 4 changes each.
	assert.Assert(t, b.state.Target.Record.Revision <= 40, "%d changes", b.state.Target.Record.Revision)
	b.pass(holdCap+stableAfter+time.Second, b.ready)
	b.assertPhase(blackboard.TargetReady)
	assert.Equal(t, b.state.Target.Evidence.Flaps, 0)
}

func TestCheckEndsInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var got blackboard.Msg
		c := New(Config{Check: func(ctx context.Context, _, _ string) error {
			<-ctx.Done()
			return ctx.Err()
		}})
		c.Run(t.Context(), CheckTarget{Address: "10.0.0.1:80", Deadline: time.Now().Add(checkTimeout)}, func(m blackboard.Msg) { got = m })
		assert.Equal(t, got.(blackboard.TargetChecked).Success, false)
	})
}
