package gossiper

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/wirepb"
)

// Targets that the tests hold the protocol to: a change is in force everywhere
// within 17 s, and control costs a node 5 KB a second.
const (
	convergenceTarget = 17 * time.Second
	bytesPerSecond    = 5000
)

// forbidDeaths fails the test when a node declares a member dead that is allowed to be neither.
func forbidDeaths(w *network, allowed func(viewer, dead string) bool) {
	w.check = func(n *node, before, after *blackboard.State) {
		for h, m := range after.Members.ByHost {
			if gone(m.Status) && !gone(before.Members.ByHost[h].Status) && !allowed(n.state.Self.Host, h) {
				w.t.Fatalf("%s declared the living %s %s", n.state.Self.Host, h, m.Status)
			}
		}
	}
}

func none(string, string) bool { return false }

func inject(w *network, i int, r *wirepb.MemberRecord) {
	v := w.nodes[i]
	w.handle(v, func() blackboard.Msg {
		return blackboard.PacketReceived{From: address(0), Now: w.now, Packet: &wirepb.GossipPacket{
			Kind: wirepb.GossipKind_GOSSIP_KIND_RUMOUR, Host: host(0),
			Incarnation: w.nodes[0].state.Self.Incarnation, Members: []*wirepb.MemberRecord{r},
		}}
	})
}

func TestHostDies(t *testing.T) {
	t.Parallel()
	for _, n := range []int{3, 30, 100} {
		w := settled(t, 1, n)
		w.kill(n - 1)
		w.until(convergenceTarget, "all know of the death", w.agree)
	}
}

func TestHostReturns(t *testing.T) {
	t.Parallel()
	for name, skew := range map[string]time.Duration{
		"with its clock right":          0,
		"with its clock an hour behind": -time.Hour,
	} {
		t.Run(name, func(t *testing.T) {
			w := settled(t, 2, 30)
			w.kill(7)
			w.until(convergenceTarget, "somebody knows of the death", func() bool {
				return w.statusAt(3, 7) == blackboard.MemberDead
			})
			w.boot(7, skew)
			w.until(convergenceTarget, "all know of the return", w.agree)
			w.advance(time.Minute)
			assert.Equal(t, w.disagreement(), "")
		})
	}
}

func TestFalseSuspicionIsRefuted(t *testing.T) {
	t.Parallel()
	w := settled(t, 3, 30)
	forbidDeaths(w, none)
	before := w.nodes[7].state.Members.ByHost[host(7)].Incarnation
	inject(w, 3, &wirepb.MemberRecord{
		Host: host(7), Incarnation: before, State: wirepb.MemberState_MEMBER_STATE_SUSPECT,
	})
	assert.Equal(t, w.statusAt(3, 7), blackboard.MemberSuspect)
	w.until(convergenceTarget, "all hold it alive", w.agree)
	assert.Assert(t, w.nodes[7].state.Members.ByHost[host(7)].Incarnation > before)
}

func TestPausedNodeWakes(t *testing.T) {
	t.Parallel()
	for _, pause := range []time.Duration{2 * time.Second, 5 * time.Second, 40 * time.Second} {
		t.Run(pause.String(), func(t *testing.T) {
			w := settled(t, 4, 40)
			forbidDeaths(w, func(_, dead string) bool { return dead == host(5) })
			suspicion := &wirepb.MemberRecord{
				Host: host(7), State: wirepb.MemberState_MEMBER_STATE_SUSPECT,
				Incarnation: w.nodes[7].state.Members.ByHost[host(7)].Incarnation,
			}
			inject(w, 5, suspicion) // its deadline passes while the node stands still
			w.pause(5, pause)
			w.advance(pause)
			w.until(convergenceTarget, "all agree after the pause", w.agree)
		})
	}
}

func TestHalfDieAtOnce(t *testing.T) {
	t.Parallel()
	w := settled(t, 5, 100)
	forbidDeaths(w, func(_, dead string) bool { return !w.hostUp(dead) })
	for i := 50; i < 100; i++ {
		w.kill(i)
	}
	w.until(2*convergenceTarget, "all know of the deaths", w.agree)
}

func TestPartitionHeals(t *testing.T) {
	t.Parallel()
	for name, length := range map[string]time.Duration{"after a minute": time.Minute, "after all are forgotten": 2 * ForgetAfter} {
		t.Run(name, func(t *testing.T) {
			const nodes = 12
			w := settled(t, 6, nodes)
			side := func(v *node) bool { return v.state.Self.Host < host(5) }
			w.cut = func(a, b *node) bool { return side(a) != side(b) }
			forbidDeaths(w, func(viewer, dead string) bool { return (viewer < host(5)) != (dead < host(5)) })
			w.advance(length)
			assert.Assert(t, Live(&w.nodes[0].state) < nodes-1)
			w.countBytes()
			w.cut = nil
			took := w.until(2*rejoinPeriod, "the sides know each other again", w.agree)
			w.advance(time.Minute - took)
			_, bytes, syncBytes := w.countBytes()
			assert.Assert(t, (bytes+syncBytes)/nodes < 60*bytesPerSecond, "%d bytes", bytes+syncBytes)
		})
	}
}

func TestDataCentreRestarts(t *testing.T) {
	t.Parallel()
	w := newNetwork(t, 7, 300) // hosts keep nothing, so a restart of all is a first start of all
	w.bootAll()
	took := w.until(convergenceTarget, "all know each other", w.agree)
	w.advance(time.Minute - took)
	_, bytes, syncBytes := w.countBytes()
	assert.Assert(t, (bytes+syncBytes)/300 < 60*bytesPerSecond, "%d bytes", bytes+syncBytes)
	assert.Equal(t, w.finds, 0)
}

func TestLossyNetwork(t *testing.T) {
	t.Parallel()
	w := settled(t, 8, 40)
	forbidDeaths(w, func(_, dead string) bool { return dead == host(9) })
	w.loss = 0.2
	w.advance(time.Minute)
	w.kill(9)
	w.until(2*convergenceTarget, "all know of the death", func() bool { return w.allHold(9, gone) })
}

func TestLatePackets(t *testing.T) {
	t.Parallel()
	w := settled(t, 9, 40)
	forbidDeaths(w, func(_, dead string) bool { return dead == host(4) })
	w.latencyMax = 120 * time.Millisecond // several packets overtake each other in each exchange
	w.advance(30 * time.Second)
	w.kill(4)
	w.advance(500 * time.Millisecond)
	old := fullRecord(w.nodes[0].state.Members.ByHost[host(4)])
	w.boot(4, 0)
	w.advance(convergenceTarget)
	w.until(convergenceTarget, "all agree", w.agree)
	inject(w, 9, old)
	assert.Equal(t, w.disagreement(), "", "a record of the former process changes nothing")
}

func TestLeaveIsToldAtOnce(t *testing.T) {
	t.Parallel()
	w := settled(t, 10, 100)
	w.handle(w.nodes[6], func() blackboard.Msg { return blackboard.LeaveRequested{Now: w.now} })
	assert.Assert(t, Left(&w.nodes[6].state))
	w.kill(6)
	w.until(3*time.Second, "all know of the leave", func() bool { return w.allHold(6, left) })
}

func left(s blackboard.MemberStatus) bool { return s == blackboard.MemberLeft }

func TestDeadAreForgotten(t *testing.T) {
	t.Parallel()
	w := settled(t, 11, 10)
	w.kill(6)
	w.advance(ForgetAfter)
	assert.Assert(t, w.allHold(6, gone), "the dead stay listed")
	late := fullRecord(w.nodes[0].state.Members.ByHost[host(6)])
	w.advance(time.Minute)
	w.handle(w.nodes[3], func() blackboard.Msg { // a table that was long under way
		return blackboard.SyncReceived{Records: []*wirepb.MemberRecord{late}, Now: w.now}
	})
	for _, v := range w.nodes[:6] {
		_, known := v.state.Members.ByHost[host(6)]
		assert.Assert(t, !known)
	}
}

func TestJoinThroughThePlatform(t *testing.T) {
	t.Parallel()
	const nodes = 60
	w := newNetwork(t, 12, nodes)
	for _, v := range w.nodes {
		v.seeds = []string{"10.9.9.9:7000"} // a dead seed
	}
	w.bootAll()
	w.advance(5 * time.Minute)
	t.Run("searches of a herd stay bounded while the platform knows nobody", func(t *testing.T) {
		// At most one search a backoff: 10, 20, 40, 60, 60, ... seconds, each at least halved by jitter.
		assert.Assert(t, w.finds <= 14*nodes, "%d searches", w.finds)
	})
	w.relays = []string{address(0)}
	w.until(findBackoffCap+2*convergenceTarget, "all know each other", w.agree)
	found := w.finds
	w.advance(time.Minute)
	assert.Equal(t, w.finds, found, "nobody searches who knows a peer")
}

func TestReturnedHostIsCorrected(t *testing.T) {
	t.Parallel()
	w := settled(t, 14, 4)
	v := w.nodes[2]
	next, effects := Reduce(v.state, blackboard.PacketReceived{From: address(0), Now: w.now, Packet: &wirepb.GossipPacket{
		Kind: wirepb.GossipKind_GOSSIP_KIND_PING, Host: host(0), ProbedHost: host(2),
		Incarnation: w.nodes[0].state.Self.Incarnation - 1, MemberDigest: tableDigest(&v.state.Members.Gossip.BucketDigests),
	}}, nil)
	assert.Equal(t, len(effects), 1)
	answer, err := Decode(effects[0].(SendPacket).Data, "buc-a")
	assert.NilError(t, err)
	assert.Assert(t, len(answer.GetMembers()) > 0)
	assert.Equal(t, answer.GetMembers()[0].GetHost(), host(0), "the host is told the incarnation that it must exceed")
	assert.Equal(t, next.Members.ByHost[host(0)].Incarnation, w.nodes[0].state.Self.Incarnation)
}

func TestTargetChangeSpreads(t *testing.T) {
	t.Parallel()
	w := settled(t, 13, 100)
	w.advance(time.Minute)
	v := w.nodes[8]
	v.state.Target.Record = blackboard.TargetRecord{Service: "roster", Phase: blackboard.TargetDraining, Slots: 10, Revision: 4}
	w.until(3*time.Second, "all know that the target drains", w.agree)
}
