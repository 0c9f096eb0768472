package announcer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/blackboard"
)

// maxDetectionTime is the time within which a leaving, silent or failing target must get no new work.
const maxDetectionTime = 3 * time.Second

// harness drives one announcer with a simulated clock.
type harness struct {
	t     *testing.T
	state blackboard.State
	now   time.Time
	// checkPasses, when not nil, returns whether a health check passes.
	checkPasses func() bool
	// checksMade counts the health checks.
	checksMade int
}

func newHarness(t *testing.T) *harness {
	return &harness{t: t, now: time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)}
}

func (h *harness) post(msg blackboard.Msg) {
	var effects []blackboard.Effect
	h.state, effects = Reduce(h.state, msg, rules{checksEnabled: h.checkPasses != nil, announcementLifetime: AnnouncementLifetime})
	for _, e := range effects {
		h.checksMade++
		h.post(blackboard.TargetChecked{Address: e.(CheckTarget).Address, Success: h.checkPasses(), Now: h.now})
	}
}

func (h *harness) announce(phase blackboard.TargetPhase) {
	h.post(blackboard.TargetAnnounced{
		Service: "roster", Address: "10.0.0.1:80", Slots: 10, Connections: 120, Phase: phase, Now: h.now,
	})
}

func (h *harness) observe(success bool) {
	h.post(blackboard.TargetObserved{Success: success, Now: h.now})
}

// advance moves the clock forward by d with a tick every TickInterval, and calls each once a second.
func (h *harness) advance(d time.Duration, each func()) {
	for i := range int(d / blackboard.TickInterval) {
		if each != nil && i%10 == 0 {
			each()
		}
		h.now = h.now.Add(blackboard.TickInterval)
		h.post(blackboard.Tick{Now: h.now})
	}
}

func (h *harness) announceReady() { h.announce(blackboard.TargetReady) }

func (h *harness) assertPhase(want blackboard.TargetPhase) {
	h.t.Helper()
	assert.Equal(h.t, h.state.Target.Record.Phase, want)
}

func TestAnnouncement(t *testing.T) {
	t.Run("a target without an announcement has phase none", func(t *testing.T) {
		h := newHarness(t)
		h.advance(time.Second, nil)
		assert.Equal(t, h.state.Target.Record.Phase, blackboard.TargetNone)
	})
	t.Run("a cold start is recorded", func(t *testing.T) {
		h := newHarness(t)
		h.announce(blackboard.TargetCold)
		h.assertPhase(blackboard.TargetCold)
		h.advance(2*time.Second, func() { h.announce(blackboard.TargetCold) })
		h.announceReady()
		h.assertPhase(blackboard.TargetReady)
		assert.Equal(t, h.state.Target.ReadySince, h.now)
		h.advance(5*time.Second, h.announceReady)
		assert.Equal(t, h.state.Target.ReadySince, h.now.Add(-5*time.Second))
	})
	t.Run("renewals do not raise the revision, changes do", func(t *testing.T) {
		h := newHarness(t)
		h.announceReady()
		revision := h.state.Target.Record.Revision
		h.advance(10*time.Second, h.announceReady)
		assert.Equal(t, h.state.Target.Record.Revision, revision)
		h.announce(blackboard.TargetDraining)
		assert.Equal(t, h.state.Target.Record.Revision, revision+1)
	})
	t.Run("a draining target gets no new work at once", func(t *testing.T) {
		h := newHarness(t)
		h.announceReady()
		h.announce(blackboard.TargetDraining)
		h.assertPhase(blackboard.TargetDraining)
	})
	t.Run("a silent target is detected in time", func(t *testing.T) {
		h := newHarness(t)
		h.announceReady()
		h.advance(maxDetectionTime, nil)
		h.assertPhase(blackboard.TargetFailed)
		h.advance(minHoldDown, nil)
		h.announceReady()
		h.assertPhase(blackboard.TargetReady)
		assert.Equal(t, h.state.Target.ReadySince, h.now, "work is ramped up again")
	})
	t.Run("a stopping node drains its target", func(t *testing.T) {
		h := newHarness(t)
		h.announceReady()
		// The drainer comes before the announcer and has already changed its entry.
		h.state.Lifecycle.Phase = blackboard.LifecycleDraining
		h.post(blackboard.StopRequested{Now: h.now})
		h.assertPhase(blackboard.TargetDraining)
	})
}

func TestEvidence(t *testing.T) {
	t.Run("failed requests outrank checks that pass", func(t *testing.T) {
		h := newHarness(t)
		h.checkPasses = func() bool { return true }
		h.announceReady()
		h.advance(maxDetectionTime, func() {
			h.announceReady()
			for range requestFailureThreshold {
				h.observe(false)
			}
		})
		h.assertPhase(blackboard.TargetFailed)
	})
	t.Run("successful requests outrank checks that fail", func(t *testing.T) {
		h := newHarness(t)
		h.checkPasses = func() bool { return false }
		h.advance((checkFailureThreshold-1)*checkPeriod-time.Second, h.announceReady)
		assert.Equal(t, h.state.Target.Evidence.CheckFailures, checkFailureThreshold-1)
		h.advance(30*time.Second, func() { h.announceReady(); h.observe(true) })
		h.assertPhase(blackboard.TargetReady)
	})
	t.Run("checks decide while there are no requests", func(t *testing.T) {
		h := newHarness(t)
		healthy := false
		h.checkPasses = func() bool { return healthy }
		h.advance(checkFailureThreshold*checkPeriod, h.announceReady)
		h.assertPhase(blackboard.TargetFailed)
		healthy = true
		h.advance(checkPeriod+minHoldDown, h.announceReady)
		h.assertPhase(blackboard.TargetReady)
	})
	t.Run("a few failures among successes have no effect", func(t *testing.T) {
		h := newHarness(t)
		h.advance(20*time.Second, func() {
			h.announceReady()
			for range requestFailureThreshold - 1 {
				h.observe(false)
			}
			h.observe(true)
		})
		h.assertPhase(blackboard.TargetReady)
	})
	t.Run("no check is made while requests succeed", func(t *testing.T) {
		h := newHarness(t)
		h.checkPasses = func() bool { return true }
		h.announceReady()
		h.observe(true)
		h.advance(20*time.Second, func() { h.announceReady(); h.observe(true) })
		assert.Equal(t, h.checksMade, 0)
	})
	t.Run("a result for another address is ignored", func(t *testing.T) {
		h := newHarness(t)
		h.announceReady()
		h.state.Target.Evidence.CheckDeadline = h.now.Add(checkTimeout)
		before := h.state.Target
		h.post(blackboard.TargetChecked{Address: "10.0.0.1:81", Now: h.now})
		assert.Equal(t, h.state.Target, before)
	})
	t.Run("a check without a result fails at its deadline, and a later result is ignored", func(t *testing.T) {
		target := blackboard.Target{Address: "10.0.0.1:80", ExpiresAt: time.Unix(100, 0)}
		target.Evidence.Announced = blackboard.TargetReady
		target, effects := startCheck(target, "", time.Unix(1, 0))
		assert.Equal(t, len(effects), 1)
		target, _ = startCheck(target, "", time.Unix(3, 0).Add(-checkTimeout))
		assert.Equal(t, target.Evidence.CheckFailures, 1)
		afterTimeout := recordCheck(target, blackboard.TargetChecked{Address: target.Address, Success: true, Now: time.Unix(2, 0)})
		assert.Equal(t, afterTimeout, target)
	})
}

func TestFlappingTargetIsDamped(t *testing.T) {
	h := newHarness(t)
	for range 120 {
		h.announceReady()
		h.advance(200*time.Millisecond, nil)
		h.announce(blackboard.TargetCold)
		h.advance(300*time.Millisecond, nil)
	}
	// Each hold-down lasts twice as long as the one before, up to maxHoldDown: 0.5, 1, 2,
	// 4, 8 and then 10 s each. So the minute has at most 10 flaps of 4 changes each.
	assert.Assert(t, h.state.Target.Record.Revision <= 40, "%d changes", h.state.Target.Record.Revision)
	h.advance(maxHoldDown+stableAfter+time.Second, h.announceReady)
	h.assertPhase(blackboard.TargetReady)
	assert.Equal(t, h.state.Target.Evidence.Flaps, 0)
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
