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

func settledMesh(t testing.TB) *mesh {
	t.Helper()
	m := newMesh(t, 3, 14)
	m.advance(convergenceTarget)
	for dc := range m.members {
		m.assertKnown(dc)
	}
	return m
}

func TestChangesReachAllDataCentres(t *testing.T) {
	m := settledMesh(t)
	t.Run("a target that drains", func(t *testing.T) {
		m.t = t
		m.setTarget("dc-1", 5, blackboard.TargetDraining)
		m.advance(convergenceTarget)
		m.assertKnown("dc-1")
	})
	t.Run("the last target of a service", func(t *testing.T) {
		m.t = t
		m.setTarget("dc-1", 4, blackboard.TargetFailed)
		m.advance(convergenceTarget)
		m.assertKnown("dc-1")
	})
	t.Run("a target that returns", func(t *testing.T) {
		m.t = t
		m.setTarget("dc-1", 4, blackboard.TargetReady)
		m.advance(convergenceTarget)
		m.assertKnown("dc-1")
	})
	t.Run("without changes only heartbeats cost", func(t *testing.T) {
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
	m := settledMesh(t)
	m.nodes["dc-1-1"].up = false
	dead := m.members["dc-1"]["dc-1-1"]
	dead.Status = blackboard.MemberDead
	m.members["dc-1"]["dc-1-1"] = dead
	m.setTarget("dc-1", 8, blackboard.TargetDraining)
	m.advance(2 * convergenceTarget)
	m.assertKnown("dc-1")
}

func TestPublisherWithSlowClockTakesOver(t *testing.T) {
	m := settledMesh(t)
	m.nodes["dc-1-1"].up = false
	dead := m.members["dc-1"]["dc-1-1"]
	dead.Status = blackboard.MemberDead
	m.members["dc-1"]["dc-1-1"] = dead
	// All others hold an epoch that is ahead of the clock of the relay that is left.
	for _, n := range m.nodes {
		if s, held := n.state.Members.Remote["dc-1"]; held {
			s.Epoch += uint64(time.Hour.Microseconds())
			n.state.Members.Remote["dc-1"] = s
		}
	}
	m.setTarget("dc-1", 8, blackboard.TargetDraining)
	m.advance(2*convergenceTarget + 2*raisePeriod)
	m.assertKnown("dc-1")
}

func TestTwoPublishersAtOnce(t *testing.T) {
	m := settledMesh(t)
	// Relay 0 does not know of relay 1, as after a lease that lapsed while its holder was paused.
	former := m.nodes["dc-1-1"].state.Members.Summary.Own
	m.nodes["dc-1-0"].state.Lease.Relays = nil
	m.advance(2 * time.Minute)
	m.setTarget("dc-1", 8, blackboard.TargetDraining)
	m.advance(2 * convergenceTarget)
	m.assertKnown("dc-1")
	t.Run("a late summary of an earlier epoch changes nothing", func(t *testing.T) {
		m.t = t
		former.Epoch--
		former.Sequence += 1000
		for _, a := range m.order {
			m.post(m.nodes[a], blackboard.SummaryReceived{Delta: delta(&former, Mark{}, m.now), Now: m.now})
		}
		m.assertKnown("dc-1")
	})
}

func TestPlatformDown(t *testing.T) {
	m := settledMesh(t)
	for _, n := range m.nodes {
		n.state.Lease.Slot = -1 // every lease has lapsed
		for i := range n.state.Lease.Relays {
			n.state.Lease.Relays[i].Expires = m.now
		}
	}
	m.setTarget("dc-2", 8, blackboard.TargetDraining)
	m.advance(convergenceTarget)
	m.assertKnown("dc-2")
}

func TestDataCentreIsCutOff(t *testing.T) {
	m := settledMesh(t)
	m.cut["dc-2"] = true
	m.setTarget("dc-2", 8, blackboard.TargetDraining)
	m.advance(time.Hour)
	n := m.nodes["dc-0-9"]
	t.Run("its summary is kept and shows its age", func(t *testing.T) {
		summary, known := n.state.Members.Remote["dc-2"]
		assert.Assert(t, known)
		assert.Assert(t, m.now.Sub(summary.Received) >= time.Hour-MaxSteadyAge)
	})
	t.Run("a node that starts meanwhile learns the age too", func(t *testing.T) {
		m.add("dc-0", 14)
		m.advance(convergenceTarget)
		summary := m.nodes["dc-0-14"].state.Members.Remote["dc-2"]
		assert.Assert(t, m.now.Sub(summary.Received) >= time.Hour-MaxSteadyAge)
	})
	t.Run("it catches up when it is back", func(t *testing.T) {
		m.cut["dc-2"] = false
		m.t = t
		m.advance(convergenceTarget)
		m.assertKnown("dc-2")
	})
	t.Run("it is dropped after the stated time of silence", func(t *testing.T) {
		s := m.nodes["dc-0-9"].state
		s, _ = Reduce(s, blackboard.Tick{Now: m.now.Add(KeepSilent - time.Minute)})
		assert.Equal(t, len(s.Members.Remote), 2)
		s, _ = Reduce(s, blackboard.Tick{Now: m.now.Add(KeepSilent + time.Minute)})
		assert.Equal(t, len(s.Members.Remote), 0)
	})
}

func TestSpoiledDeltaIsMended(t *testing.T) {
	m := settledMesh(t)
	spoiled := 0
	m.spoil = func(d *wirepb.SummaryDelta) {
		if spoiled < 3 && len(d.GetServices()) > 0 {
			spoiled++
			d.Services[0].Slots += 7
		}
	}
	m.setTarget("dc-1", 5, blackboard.TargetDraining)
	m.advance(convergenceTarget)
	assert.Equal(t, spoiled, 3)
	m.assertKnown("dc-1")
}

// TestDeltasGiveTheWholeState follows a publisher through random histories,
// missing any number of its versions and with updates doubled and crossed.
func TestDeltasGiveTheWholeState(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		source := newMesh(t, 1, 8)
		publisher := source.nodes["dc-0-1"]
		follower := newMesh(t, 2, 2).nodes["dc-1-1"]
		var late []*wirepb.SummaryDelta
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
			late = append(late, deltas...)
			for _, d := range append(deltas, rapid.SampledFrom(append(late, nil)).Draw(rt, "late")) {
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
		assert.Equal(rt, follower.state.Members.Remote["dc-0"].Digest, Digest(Count(source.members["dc-0"])))
	})
}

func TestSmallChangesAreNotTold(t *testing.T) {
	old := blackboard.ServiceSummary{Service: "roster", Targets: 100, Slots: 1000}
	for name, c := range map[string]struct {
		slots, targets int
		want           bool
	}{
		"4% less":        {960, 96, false},
		"5% less":        {950, 95, true},
		"5% more":        {1050, 105, true},
		"no target left": {0, 0, true},
		"no change":      {1000, 100, false},
	} {
		t.Run(name, func(t *testing.T) {
			now := blackboard.ServiceSummary{Service: "roster", Targets: c.targets, Slots: c.slots}
			assert.Equal(t, matters(old, now), c.want)
		})
	}
}
