package gossiper

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"gentianbarrow.example/internal/blackboard"
	_ "gentianbarrow.example/internal/seeder"
)

// assertViews checks the invariants of every step: the incarnation of a listed
// member never decreases in any view, and only the node itself changes its own record.
func assertViews(t *rapid.T, n *node, before, after *blackboard.State) {
	for h, m := range after.Members.ByHost {
		old, known := before.Members.ByHost[h]
		if known && m.Incarnation < old.Incarnation {
			t.Fatalf("%s: incarnation of %s decreased", n.state.Self.Host, h)
		}
	}
	own := after.Members.ByHost[after.Self.Host]
	if own.Status != blackboard.MemberAlive || own.Address != after.Self.Address || own.Target != ownTarget(after) {
		t.Fatalf("the own record of %s was overwritten: %+v", after.Self.Host, own)
	}
}

func TestAllAgreeAfterAnySchedule(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		const nodes = 8
		w := newNetwork(t, rapid.Uint64().Draw(rt, "seed"), nodes)
		w.check = func(n *node, before, after *blackboard.State) { assertViews(rt, n, before, after) }
		w.bootAll()
		w.advance(5 * time.Second)
		node := rapid.IntRange(0, nodes-1)
		for range rapid.IntRange(1, 12).Draw(rt, "steps") {
			applyRandomChange(rt, w, node.Draw(rt, "node"))
			w.advance(time.Duration(rapid.IntRange(0, 8000).Draw(rt, "ms")) * time.Millisecond)
		}
		w.isCut = nil
		w.loss = 0
		w.maxLatency = 2 * time.Millisecond
		for i, v := range w.nodes {
			if !v.up && i < 3 { // the seeds, through which nodes without peers find the others
				w.boot(i, 0)
			}
		}
		w.advance(2*rejoinPeriod + 2*convergenceTarget)
		assert.Equal(rt, w.disagreement(), "", "not all live nodes have a correct view")
	})
}

// applyRandomChange applies a random fault or change to the network or to node i.
func applyRandomChange(rt *rapid.T, w *network, i int) {
	v := w.nodes[i]
	switch rapid.SampledFrom([]string{"kill", "boot", "pause", "cut", "heal", "loss", "late", "target"}).Draw(rt, "step") {
	case "kill":
		w.kill(i)
	case "boot":
		w.boot(i, time.Duration(rapid.IntRange(-60, 0).Draw(rt, "skew"))*time.Second)
	case "pause":
		w.pause(i, time.Duration(rapid.IntRange(1, 20).Draw(rt, "pause"))*time.Second)
	case "cut":
		w.isCut = func(a, b *node) bool { return (a.state.Self.Host <= host(i)) != (b.state.Self.Host <= host(i)) }
	case "heal":
		w.isCut = nil
	case "loss":
		w.loss = 0.3
	case "late":
		w.maxLatency = time.Second
	case "target":
		v.state.Target.Record.Revision++
		v.state.Target.Record.Phase = rapid.SampledFrom([]blackboard.TargetPhase{
			blackboard.TargetReady, blackboard.TargetDraining, blackboard.TargetFailed,
		}).Draw(rt, "phase")
	}
}

func TestMergeIsIndependentOfOrder(t *testing.T) {
	t.Parallel()
	states := []blackboard.MemberStatus{blackboard.MemberAlive, blackboard.MemberSuspect, blackboard.MemberDead, blackboard.MemberLeft}
	rapid.Check(t, func(rt *rapid.T) {
		w := newSettledNetwork(t, 1, 2)
		var records []blackboard.Member
		for range rapid.IntRange(1, 6).Draw(rt, "records") {
			records = append(records, blackboard.Member{
				Host: host(9), Address: address(9), Status: rapid.SampledFrom(states).Draw(rt, "status"),
				Incarnation: rapid.Uint64Range(1, 3).Draw(rt, "incarnation"),
				Target:      blackboard.TargetRecord{Phase: blackboard.TargetReady, Revision: rapid.Uint64Range(0, 3).Draw(rt, "revision")},
				ForgetAt:    w.now.Add(time.Minute),
			})
		}
		want := mergeRecords(w, records)
		got := mergeRecords(w, rapid.Permutation(records).Draw(rt, "order"))
		assert.Equal(rt, got.Incarnation, want.Incarnation)
		assert.Equal(rt, got.Status, want.Status)
		assert.Equal(rt, got.Target, want.Target)
	})
}

func mergeRecords(w *network, records []blackboard.Member) blackboard.Member {
	d := newDraft(&w.nodes[0].state, nil)
	for _, m := range records {
		d.merge(fullRecord(m), sourceRumour)
	}
	return d.members[host(9)]
}
