package drainer

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/logger"
	"gentianbarrow.example/pkg/snapshotter"
)

// harness drives a drainer without a board.
type harness struct {
	tracker    *Tracker
	logOutput  bytes.Buffer
	controller blackboard.Controller
	state      blackboard.State
	now        time.Time
}

func newHarness(options ...Option) *harness {
	h := &harness{tracker: NewTracker(), now: time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)}
	log := logger.New(&h.logOutput, logger.FormatJSON, logger.LevelInfo, "reyk-a-1", "reyk-a")
	h.controller = New(h.tracker, log, options...)
	h.state.Lifecycle.Phase = blackboard.LifecycleServing
	return h
}

func (h *harness) post(msg blackboard.Msg) {
	var effects []blackboard.Effect
	h.state, effects = h.controller.Reduce(h.state, msg)
	for _, e := range effects {
		h.controller.Run(context.Background(), e, h.post)
	}
}

func (h *harness) stop() { h.post(blackboard.StopRequested{Now: h.now}) }

func (h *harness) advance(d time.Duration) {
	h.now = h.now.Add(d)
	h.post(blackboard.Tick{Now: h.now})
}

func (h *harness) assertPhase(t *testing.T, want blackboard.LifecyclePhase) {
	t.Helper()
	assert.Equal(t, h.state.Lifecycle.Phase, want)
}

func (h *harness) assertLogged(t *testing.T, want string) {
	t.Helper()
	assert.Assert(t, strings.Contains(h.logOutput.String(), want), h.logOutput.String())
}

func TestDrain(t *testing.T) {
	t.Run("a node without requests stops after the quiet period", func(t *testing.T) {
		h := newHarness()
		h.stop()
		h.advance(DefaultQuietPeriod / 2)
		h.assertPhase(t, blackboard.LifecycleDraining)
		h.advance(DefaultQuietPeriod)
		h.assertPhase(t, blackboard.LifecycleStopped)
	})
	t.Run("a request in flight keeps the node running for hours", func(t *testing.T) {
		h := newHarness()
		done, _ := h.tracker.Begin(snapshotter.ClassBulk)
		h.stop()
		h.advance(5 * time.Hour)
		h.assertPhase(t, blackboard.LifecycleDraining)
		assert.Equal(t, h.state.Lifecycle.InFlight, 1)
		done()
		h.advance(DefaultQuietPeriod / 2)
		h.assertPhase(t, blackboard.LifecycleDraining)
		h.advance(DefaultQuietPeriod)
		h.assertPhase(t, blackboard.LifecycleStopped)
	})
	t.Run("a second stop request logs what a forced stop would abort and aborts nothing", func(t *testing.T) {
		h := newHarness()
		_, _ = h.tracker.Begin(snapshotter.ClassBulk)
		h.stop()
		h.stop()
		h.assertPhase(t, blackboard.LifecycleDraining)
		h.assertLogged(t, `"class":"bulk","count":1`)
		h.assertLogged(t, logger.DrainWouldCut.Name)
	})
	t.Run("a third stop request forces the stop and logs it", func(t *testing.T) {
		h := newHarness()
		_, _ = h.tracker.Begin(snapshotter.ClassBulk)
		h.stop()
		h.stop()
		h.stop()
		h.assertPhase(t, blackboard.LifecycleStopped)
		h.assertLogged(t, logger.DrainCut.Name)
	})
	t.Run("the drain timeout forces the stop", func(t *testing.T) {
		h := newHarness(WithDrainTimeout(time.Hour))
		_, _ = h.tracker.Begin(snapshotter.ClassBulk)
		h.stop()
		h.advance(time.Hour - time.Second)
		h.assertPhase(t, blackboard.LifecycleDraining)
		h.advance(time.Second)
		h.assertPhase(t, blackboard.LifecycleStopped)
		h.assertLogged(t, logger.DrainCut.Name)
	})
	t.Run("a node serves once it has a configuration", func(t *testing.T) {
		h := newHarness()
		h.state.Lifecycle.Phase = blackboard.LifecycleStarting
		h.advance(time.Second)
		h.assertPhase(t, blackboard.LifecycleStarting)
		h.state.Config.Running = &snapshotter.Snapshot{}
		h.advance(time.Second)
		h.assertPhase(t, blackboard.LifecycleServing)
	})
}

func TestLinger(t *testing.T) {
	t.Run("requests are accepted for the accept period, from peers for a shorter one", func(t *testing.T) {
		hookCalled := false
		h := newHarness(WithAcceptPeriod(2*time.Second, time.Second), WithStopHook(func() { hookCalled = true }))
		h.stop()
		assert.Assert(t, hookCalled)
		assert.Assert(t, h.state.Lifecycle.AcceptsPeers())
		done, peerAccepted := h.tracker.BeginPeer(snapshotter.ClassShort)
		assert.Assert(t, peerAccepted)
		done()
		h.advance(time.Second)
		assert.Assert(t, !h.state.Lifecycle.AcceptsPeers())
		_, peerAccepted = h.tracker.BeginPeer(snapshotter.ClassShort)
		done, callerAccepted := h.tracker.Begin(snapshotter.ClassShort)
		assert.Assert(t, callerAccepted && !peerAccepted)
		done()
		h.advance(time.Second - time.Millisecond)
		h.assertPhase(t, blackboard.LifecycleDraining)
		h.advance(time.Millisecond)
		_, callerAccepted = h.tracker.Begin(snapshotter.ClassShort)
		assert.Assert(t, !callerAccepted)
		h.assertPhase(t, blackboard.LifecycleStopped)
	})
	t.Run("a request accepted during the accept period finishes", func(t *testing.T) {
		h := newHarness(WithAcceptPeriod(2*time.Second, time.Second))
		h.stop()
		done, _ := h.tracker.Begin(snapshotter.ClassShort)
		h.advance(4 * time.Second)
		h.assertPhase(t, blackboard.LifecycleDraining)
		done()
		h.advance(DefaultQuietPeriod)
		h.assertPhase(t, blackboard.LifecycleStopped)
	})
	t.Run("the node ends soon after its last request", func(t *testing.T) {
		h := newHarness(WithAcceptPeriod(2*time.Second, 2*time.Second), WithQuietPeriod(200*time.Millisecond))
		h.stop()
		done, _ := h.tracker.Begin(snapshotter.ClassShort)
		h.advance(3 * time.Second)
		done()
		h.advance(199 * time.Millisecond)
		h.assertPhase(t, blackboard.LifecycleDraining)
		h.advance(time.Millisecond)
		h.assertPhase(t, blackboard.LifecycleStopped)
	})
}

func TestTracker(t *testing.T) {
	t.Run("no request begins once the tracker is closed", func(t *testing.T) {
		tr := NewTracker()
		done, ok := tr.Begin(snapshotter.ClassShort)
		assert.Assert(t, ok)
		tr.Close()
		_, ok = tr.Begin(snapshotter.ClassShort)
		assert.Assert(t, !ok)
		assert.Equal(t, tr.Count().Total, 1)
		done()
		assert.Equal(t, tr.Count().Total, 0)
	})
	t.Run("the count includes classes and the oldest request", func(t *testing.T) {
		tr := NewTracker()
		_, _ = tr.Begin(snapshotter.ClassShort)
		_, _ = tr.Begin(snapshotter.ClassBulk)
		c := tr.Count()
		assert.Equal(t, c.ByClass[snapshotter.ClassBulk], 1)
		assert.Assert(t, !c.Oldest.IsZero())
	})
}
