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

// bench drives a drainer by hand, without a board.
type bench struct {
	tracker *Tracker
	out     bytes.Buffer
	c       blackboard.Controller
	state   blackboard.State
	now     time.Time
}

func newBench(options ...Option) *bench {
	b := &bench{tracker: NewTracker(), now: time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)}
	log := logger.New(&b.out, logger.FormatJSON, logger.LevelInfo, "reyk-a-1", "reyk-a")
	b.c = New(b.tracker, log, options...)
	b.state.Lifecycle.Phase = blackboard.LifecycleServing
	return b
}

func (b *bench) post(msg blackboard.Msg) {
	var effects []blackboard.Effect
	b.state, effects = b.c.Reduce(b.state, msg)
	for _, e := range effects {
		b.c.Run(context.Background(), e, b.post)
	}
}

func (b *bench) stop() { b.post(blackboard.StopRequested{Now: b.now}) }

func (b *bench) tickAfter(d time.Duration) {
	b.now = b.now.Add(d)
	b.post(blackboard.Tick{Now: b.now})
}

func (b *bench) assertPhase(t *testing.T, want blackboard.LifecyclePhase) {
	t.Helper()
	assert.Equal(t, b.state.Lifecycle.Phase, want)
}

func (b *bench) assertLogged(t *testing.T, want string) {
	t.Helper()
	assert.Assert(t, strings.Contains(b.out.String(), want), b.out.String())
}

func TestDrain(t *testing.T) {
	t.Run("a node without requests ends after it has told its peers", func(t *testing.T) {
		b := newBench()
		b.stop()
		b.tickAfter(DefaultQuietPeriod / 2)
		b.assertPhase(t, blackboard.LifecycleDraining)
		b.tickAfter(DefaultQuietPeriod)
		b.assertPhase(t, blackboard.LifecycleStopped)
	})
	t.Run("a request in flight keeps the node for hours", func(t *testing.T) {
		b := newBench()
		done, _ := b.tracker.Begin(snapshotter.ClassBulk)
		b.stop()
		b.tickAfter(5 * time.Hour)
		b.assertPhase(t, blackboard.LifecycleDraining)
		assert.Equal(t, b.state.Lifecycle.InFlight, 1)
		done()
		b.tickAfter(DefaultQuietPeriod / 2)
		b.assertPhase(t, blackboard.LifecycleDraining)
		b.tickAfter(DefaultQuietPeriod)
		b.assertPhase(t, blackboard.LifecycleStopped)
	})
	t.Run("a second stop says what it would cut and cuts nothing", func(t *testing.T) {
		b := newBench()
		_, _ = b.tracker.Begin(snapshotter.ClassBulk)
		b.stop()
		b.stop()
		b.assertPhase(t, blackboard.LifecycleDraining)
		b.assertLogged(t, `"class":"bulk","count":1`)
		b.assertLogged(t, logger.DrainWouldCut.Name)
	})
	t.Run("a third stop cuts and says so", func(t *testing.T) {
		b := newBench()
		_, _ = b.tracker.Begin(snapshotter.ClassBulk)
		b.stop()
		b.stop()
		b.stop()
		b.assertPhase(t, blackboard.LifecycleStopped)
		b.assertLogged(t, logger.DrainCut.Name)
	})
	t.Run("a set deadline cuts", func(t *testing.T) {
		b := newBench(WithDrainTimeout(time.Hour))
		_, _ = b.tracker.Begin(snapshotter.ClassBulk)
		b.stop()
		b.tickAfter(time.Hour - time.Second)
		b.assertPhase(t, blackboard.LifecycleDraining)
		b.tickAfter(time.Second)
		b.assertPhase(t, blackboard.LifecycleStopped)
		b.assertLogged(t, logger.DrainCut.Name)
	})
	t.Run("a node serves once it has a configuration", func(t *testing.T) {
		b := newBench()
		b.state.Lifecycle.Phase = blackboard.LifecycleStarting
		b.tickAfter(time.Second)
		b.assertPhase(t, blackboard.LifecycleStarting)
		b.state.Config.Running = &snapshotter.Snapshot{}
		b.tickAfter(time.Second)
		b.assertPhase(t, blackboard.LifecycleServing)
	})
}

func TestLinger(t *testing.T) {
	t.Run("callers are served until they have learned of the stop, other nodes for the first part of it", func(t *testing.T) {
		closed := false
		b := newBench(WithAcceptPeriod(2*time.Second, time.Second), WithStopHook(func() { closed = true }))
		b.stop()
		assert.Assert(t, closed)
		assert.Assert(t, b.state.Lifecycle.AcceptsPeers())
		done, peer := b.tracker.BeginPeer(snapshotter.ClassShort)
		assert.Assert(t, peer)
		done()
		b.tickAfter(time.Second)
		assert.Assert(t, !b.state.Lifecycle.AcceptsPeers())
		_, peer = b.tracker.BeginPeer(snapshotter.ClassShort)
		done, caller := b.tracker.Begin(snapshotter.ClassShort)
		assert.Assert(t, caller && !peer)
		done()
		b.tickAfter(time.Second - time.Millisecond)
		b.assertPhase(t, blackboard.LifecycleDraining)
		b.tickAfter(time.Millisecond)
		_, caller = b.tracker.Begin(snapshotter.ClassShort)
		assert.Assert(t, !caller)
		b.assertPhase(t, blackboard.LifecycleStopped)
	})
	t.Run("a request that came meanwhile is finished", func(t *testing.T) {
		b := newBench(WithAcceptPeriod(2*time.Second, time.Second))
		b.stop()
		done, _ := b.tracker.Begin(snapshotter.ClassShort)
		b.tickAfter(4 * time.Second)
		b.assertPhase(t, blackboard.LifecycleDraining)
		done()
		b.tickAfter(DefaultQuietPeriod)
		b.assertPhase(t, blackboard.LifecycleStopped)
	})
	t.Run("the node ends soon after its last request", func(t *testing.T) {
		b := newBench(WithAcceptPeriod(2*time.Second, 2*time.Second), WithQuietPeriod(200*time.Millisecond))
		b.stop()
		done, _ := b.tracker.Begin(snapshotter.ClassShort)
		b.tickAfter(3 * time.Second)
		done()
		b.tickAfter(199 * time.Millisecond)
		b.assertPhase(t, blackboard.LifecycleDraining)
		b.tickAfter(time.Millisecond)
		b.assertPhase(t, blackboard.LifecycleStopped)
	})
}

func TestTracker(t *testing.T) {
	t.Run("nothing begins once it is closed", func(t *testing.T) {
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
	t.Run("the count names classes and the oldest", func(t *testing.T) {
		tr := NewTracker()
		_, _ = tr.Begin(snapshotter.ClassShort)
		_, _ = tr.Begin(snapshotter.ClassBulk)
		c := tr.Count()
		assert.Equal(t, c.ByClass[snapshotter.ClassBulk], 1)
		assert.Assert(t, !c.Oldest.IsZero())
	})
}
