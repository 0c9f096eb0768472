package summarizer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"gentianbarrow.example/internal/blackboard"
	_ "gentianbarrow.example/internal/seeder"
	"gentianbarrow.example/internal/wirepb"
)

func newSettledMesh(t testing.TB) *mesh {
	t.Helper()
	m := newMesh(t, 3, 14)
	m.advance(convergenceTarget)
	for dc := range m.members {
		m.assertSummaryKnown(dc)
	}
	return m
}

func TestChangesReachAllDataCentres(t *testing.T) {
	m := newSettledMesh(t)
	t.Run("a draining target", func(t *testing.T) {
		m.t = t
		m.setTarget("dc-1", 5, blackboard.TargetDraining)
		m.advance(convergenceTarget)
		m.assertSummaryKnown("dc-1")
	})
	t.Run("the last target of a service", func(t *testing.T) {
		m.t = t
		m.setTarget("dc-1", 4, blackboard.TargetFailed)
		m.advance(convergenceTarget)
		m.assertSummaryKnown("dc-1")
	})
	t.Run("a target that returns", func(t *testing.T) {
		m.t = t
		m.setTarget("dc-1", 4, blackboard.TargetReady)
		m.advance(convergenceTarget)
		m.assertSummaryKnown("dc-1")
	})
	t.Run("only heartbeats are sent without changes", func(t *testing.T) {
		m.bytes = 0
		m.advance(10 * heartbeatPeriod)
		const heartbeatBytes = 64
		links := len(m.nodes) * (len(m.members) - 1)
		assert.Assert(t, m.bytes <= 11*links*heartbeatBytes, "%d bytes", m.bytes)
		for _, n := range m.nodes {
			for _, s := range n.state.Members.Remote {
				assert.Assert(t, m.now.Sub(s.Received) <= MaxSteadyAge)
			}
		}
	})
}

func TestPublisherDies(t *testing.T) {
	m := newSettledMesh(t)
	m.nodes["dc-1-1"].up = false
	dead := m.members["dc-1"]["dc-1-1"]
	dead.Status = blackboard.MemberDead
	m.members["dc-1"]["dc-1-1"] = dead
	m.setTarget("dc-1", 8, blackboard.TargetDraining)
	m.advance(2 * convergenceTarget)
	m.assertSummaryKnown("dc-1")
}

func TestPublisherWithSlowClockTakesOver(t *testing.T) {
	m := newSettledMesh(t)
	m.nodes["dc-1-1"].up = false
	dead := m.members["dc-1"]["dc-1-1"]
	dead.Status = blackboard.MemberDead
	m.members["dc-1"]["dc-1-1"] = dead
	// All other nodes hold an epoch that is ahead of the clock of the remaining relay.
	for _, n := range m.nodes {
		if s, held := n.state.Members.Remote["dc-1"]; held {
			s.Epoch += uint64(time.Hour.Microseconds())
			n.state.Members.Remote["dc-1"] = s
		}
	}
	m.setTarget("dc-1", 8, blackboard.TargetDraining)
	m.advance(2*convergenceTarget + 2*epochBackoffBase)
	m.assertSummaryKnown("dc-1")
}

func TestTwoPublishersAtOnce(t *testing.T) {
	m := newSettledMesh(t)
	// Relay 0 does not know of relay 1, as if its lease had expired while its holder was paused.
	former := m.nodes["dc-1-1"].state.Members.Summary.Own
	m.nodes["dc-1-0"].state.Lease.Relays = nil
	m.advance(2 * time.Minute)
	m.setTarget("dc-1", 8, blackboard.TargetDraining)
	m.advance(2 * convergenceTarget)
	m.assertSummaryKnown("dc-1")
	t.Run("a delayed summary of an earlier epoch changes nothing", func(t *testing.T) {
		m.t = t
		former.Epoch--
		former.Sequence += 1000
		for _, a := range m.order {
			m.post(m.nodes[a], blackboard.SummaryReceived{Delta: newDelta(&former, Mark{}, m.now), Now: m.now})
		}
		m.assertSummaryKnown("dc-1")
	})
}

func TestPlatformDown(t *testing.T) {
	m := newSettledMesh(t)
	for _, n := range m.nodes {
		n.state.Lease.Slot = -1 // every lease has expired
		for i := range n.state.Lease.Relays {
			n.state.Lease.Relays[i].Expires = m.now
		}
	}
	m.setTarget("dc-2", 8, blackboard.TargetDraining)
	m.advance(convergenceTarget)
	m.assertSummaryKnown("dc-2")
}

func TestDataCentreIsCutOff(t *testing.T) {
	m := newSettledMesh(t)
	m.isCutOff["dc-2"] = true
	m.setTarget("dc-2", 8, blackboard.TargetDraining)
	m.advance(time.Hour)
	n := m.nodes["dc-0-9"]
	t.Run("its summary is kept and shows its age", func(t *testing.T) {
		summary, known := n.state.Members.Remote["dc-2"]
		assert.Assert(t, known)
		assert.Assert(t, m.now.Sub(summary.Received) >= time.Hour-MaxSteadyAge)
	})
	t.Run("a node that starts in the meantime learns the age too", func(t *testing.T) {
		m.addNode("dc-0", 14)
		m.advance(convergenceTarget)
		summary := m.nodes["dc-0-14"].state.Members.Remote["dc-2"]
		assert.Assert(t, m.now.Sub(summary.Received) >= time.Hour-MaxSteadyAge)
	})
	t.Run("its summary is updated after it reconnects", func(t *testing.T) {
		m.isCutOff["dc-2"] = false
		m.t = t
		m.advance(convergenceTarget)
		m.assertSummaryKnown("dc-2")
	})
	t.Run("its summary is dropped after SummaryRetention", func(t *testing.T) {
		s := m.nodes["dc-0-9"].state
		s, _ = Reduce(s, blackboard.Tick{Now: m.now.Add(SummaryRetention - time.Minute)})
		assert.Equal(t, len(s.Members.Remote), 2)
		s, _ = Reduce(s, blackboard.Tick{Now: m.now.Add(SummaryRetention + time.Minute)})
		assert.Equal(t, len(s.Members.Remote), 0)
	})
}

func TestCorruptDeltaIsReplaced(t *testing.T) {
	m := newSettledMesh(t)
	corrupted := 0
	m.corrupt = func(d *wirepb.SummaryDelta) {
		if corrupted < 3 && len(d.GetServices()) > 0 {
			corrupted++
			d.Services[0].Slots += 7
		}
	}
	m.setTarget("dc-1", 5, blackboard.TargetDraining)
	m.advance(convergenceTarget)
	assert.Equal(t, corrupted, 3)
	m.assertSummaryKnown("dc-1")
}

// TestDeltasReproduceSummary checks that a follower of a publisher ends with its
// summary after any random history in which versions are missed and deltas are
// duplicated or reordered.
func TestDeltasReproduceSummary(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		source := newMesh(t, 1, 8)
		publisher := source.nodes["dc-0-1"]
		follower := newMesh(t, 2, 2).nodes["dc-1-1"]
		var earlier []*wirepb.SummaryDelta
		for range rapid.IntRange(1, 12).Draw(rt, "steps") {
			i := rapid.IntRange(0, 7).Draw(rt, "target")
			source.setTarget("dc-0", i, rapid.SampledFrom([]blackboard.TargetPhase{
				blackboard.TargetReady, blackboard.TargetDraining,
			}).Draw(rt, "phase"))
			if rapid.Bool().Draw(rt, "restart") {
				publisher.state.Members.Summary = nil
			}
			source.now = source.now.Add(heartbeatPeriod)
			source.post(publisher, blackboard.Tick{Now: source.now})
			if rapid.Bool().Draw(rt, "missed") {
				continue
			}
			held := follower.state.Members.Remote["dc-0"]
			deltas, _ := Deltas(&publisher.state, Marks{"dc-0": {held.Epoch, held.Sequence}}, "dc-1", "", source.now)
			earlier = append(earlier, deltas...)
			for _, d := range append(deltas, rapid.SampledFrom(append(earlier, nil)).Draw(rt, "late")) {
				if d != nil {
					follower.state, _ = Reduce(follower.state, blackboard.SummaryReceived{Delta: d, Now: source.now})
				}
			}
		}
		held := follower.state.Members.Remote["dc-0"]
		deltas, _ := Deltas(&publisher.state, Marks{"dc-0": {held.Epoch, held.Sequence}}, "dc-1", "", source.now)
		for _, d := range deltas {
			follower.state, _ = Reduce(follower.state, blackboard.SummaryReceived{Delta: d, Now: source.now})
		}
		assert.Equal(rt, follower.state.Members.Remote["dc-0"].Digest, Digest(CountTargets(source.members["dc-0"])))
	})
}

func TestSmallChangesAreNotPublished(t *testing.T) {
	old := blackboard.ServiceSummary{Service: "roster", Targets: 100, Slots: 1000}
	for name, c := range map[string]struct {
		slots, targets int
		want           bool
	}{
		"4% fewer slots": {960, 96, false},
		"5% fewer slots": {950, 95, true},
		"5% more slots":  {1050, 105, true},
		"no target left": {0, 0, true},
		"no change":      {1000, 100, false},
	} {
		t.Run(name, func(t *testing.T) {
			now := blackboard.ServiceSummary{Service: "roster", Targets: c.targets, Slots: c.slots}
			assert.Equal(t, isSignificant(old, now), c.want)
		})
	}
}
