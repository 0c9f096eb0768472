package gossiper

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/wirepb"
)

// Requirements that the tests check: a change reaches every node within 17 s,
// and control traffic costs a node at most 5 KB/s.
const (
	convergenceTarget = 17 * time.Second
	maxBytesPerSecond = 5000
)

// forbidDeaths fails the test when a node declares a member dead or left and
// allowed returns false for the pair.
func forbidDeaths(w *network, allowed func(viewer, dead string) bool) {
	w.check = func(n *node, before, after *blackboard.State) {
		for h, m := range after.Members.ByHost {
			if isGone(m.Status) && !isGone(before.Members.ByHost[h].Status) && !allowed(n.state.Self.Host, h) {
				w.t.Fatalf("%s declared the live member %s %s", n.state.Self.Host, h, m.Status)
			}
		}
	}
}

func allowNone(string, string) bool { return false }

func deliverRecord(w *network, i int, r *wirepb.MemberRecord) {
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
		w := newSettledNetwork(t, 1, n)
		w.kill(n - 1)
		w.advanceUntil(convergenceTarget, "all know of the death", w.allAgree)
	}
}

func TestHostReturns(t *testing.T) {
	t.Parallel()
	for name, skew := range map[string]time.Duration{
		"with a correct clock":        0,
		"with a clock an hour behind": -time.Hour,
	} {
		t.Run(name, func(t *testing.T) {
			w := newSettledNetwork(t, 2, 30)
			w.kill(7)
			w.advanceUntil(convergenceTarget, "a node knows of the death", func() bool {
				return w.statusAt(3, 7) == blackboard.MemberDead
			})
			w.boot(7, skew)
			w.advanceUntil(convergenceTarget, "all know of the return", w.allAgree)
			w.advance(time.Minute)
			assert.Equal(t, w.disagreement(), "")
		})
	}
}

func TestFalseSuspicionIsRefuted(t *testing.T) {
	t.Parallel()
	w := newSettledNetwork(t, 3, 30)
	forbidDeaths(w, allowNone)
	before := w.nodes[7].state.Members.ByHost[host(7)].Incarnation
	deliverRecord(w, 3, &wirepb.MemberRecord{
		Host: host(7), Incarnation: before, State: wirepb.MemberState_MEMBER_STATE_SUSPECT,
	})
	assert.Equal(t, w.statusAt(3, 7), blackboard.MemberSuspect)
	w.advanceUntil(convergenceTarget, "all consider it alive", w.allAgree)
	assert.Assert(t, w.nodes[7].state.Members.ByHost[host(7)].Incarnation > before)
}

func TestPausedNodeResumes(t *testing.T) {
	t.Parallel()
	for _, pause := range []time.Duration{2 * time.Second, 5 * time.Second, 40 * time.Second} {
		t.Run(pause.String(), func(t *testing.T) {
			w := newSettledNetwork(t, 4, 40)
			forbidDeaths(w, func(_, dead string) bool { return dead == host(5) })
			suspicion := &wirepb.MemberRecord{
				Host: host(7), State: wirepb.MemberState_MEMBER_STATE_SUSPECT,
				Incarnation: w.nodes[7].state.Members.ByHost[host(7)].Incarnation,
			}
			deliverRecord(w, 5, suspicion) // the deadline passes while the node is paused
			w.pause(5, pause)
			w.advance(pause)
			w.advanceUntil(convergenceTarget, "all agree after the pause", w.allAgree)
		})
	}
}

func TestHalfOfHostsDieTogether(t *testing.T) {
	t.Parallel()
	w := newSettledNetwork(t, 5, 100)
	forbidDeaths(w, func(_, dead string) bool { return !w.isHostUp(dead) })
	for i := 50; i < 100; i++ {
		w.kill(i)
	}
	w.advanceUntil(2*convergenceTarget, "all know of the deaths", w.allAgree)
}

func TestPartitionHeals(t *testing.T) {
	t.Parallel()
	for name, length := range map[string]time.Duration{"after a minute": time.Minute, "after dead members are removed": 2 * ForgetAfter} {
		t.Run(name, func(t *testing.T) {
			const nodes = 12
			w := newSettledNetwork(t, 6, nodes)
			side := func(v *node) bool { return v.state.Self.Host < host(5) }
			w.isCut = func(a, b *node) bool { return side(a) != side(b) }
			forbidDeaths(w, func(viewer, dead string) bool { return (viewer < host(5)) != (dead < host(5)) })
			w.advance(length)
			assert.Assert(t, LiveMembers(&w.nodes[0].state) < nodes-1)
			w.countBytes()
			w.isCut = nil
			took := w.advanceUntil(2*rejoinPeriod, "the sides know each other again", w.allAgree)
			w.advance(time.Minute - took)
			_, bytes, syncBytes := w.countBytes()
			assert.Assert(t, (bytes+syncBytes)/nodes < 60*maxBytesPerSecond, "%d bytes", bytes+syncBytes)
		})
	}
}

func TestDataCentreRestarts(t *testing.T) {
	t.Parallel()
	w := newNetwork(t, 7, 300) // hosts store nothing, so restarting all of them equals a first start
	w.bootAll()
	took := w.advanceUntil(convergenceTarget, "all know each other", w.allAgree)
	w.advance(time.Minute - took)
	_, bytes, syncBytes := w.countBytes()
	assert.Assert(t, (bytes+syncBytes)/300 < 60*maxBytesPerSecond, "%d bytes", bytes+syncBytes)
	assert.Equal(t, w.findCalls, 0)
}

func TestLossyNetwork(t *testing.T) {
	t.Parallel()
	w := newSettledNetwork(t, 8, 40)
	forbidDeaths(w, func(_, dead string) bool { return dead == host(9) })
	w.loss = 0.2
	w.advance(time.Minute)
	w.kill(9)
	w.advanceUntil(2*convergenceTarget, "all know of the death", func() bool { return w.allSeeStatus(9, isGone) })
}

func TestReorderedPackets(t *testing.T) {
	t.Parallel()
	w := newSettledNetwork(t, 9, 40)
	forbidDeaths(w, func(_, dead string) bool { return dead == host(4) })
	w.maxLatency = 120 * time.Millisecond // reorders several packets in each exchange
	w.advance(30 * time.Second)
	w.kill(4)
	w.advance(500 * time.Millisecond)
	old := fullRecord(w.nodes[0].state.Members.ByHost[host(4)])
	w.boot(4, 0)
	w.advance(convergenceTarget)
	w.advanceUntil(convergenceTarget, "all agree", w.allAgree)
	deliverRecord(w, 9, old)
	assert.Equal(t, w.disagreement(), "", "a record of the previous process changed a view")
}

func TestLeaveSpreadsImmediately(t *testing.T) {
	t.Parallel()
	w := newSettledNetwork(t, 10, 100)
	w.handle(w.nodes[6], func() blackboard.Msg { return blackboard.LeaveRequested{Now: w.now} })
	assert.Assert(t, HasLeft(&w.nodes[6].state))
	w.kill(6)
	w.advanceUntil(3*time.Second, "all know of the departure", func() bool { return w.allSeeStatus(6, isLeft) })
}

func isLeft(s blackboard.MemberStatus) bool { return s == blackboard.MemberLeft }

func TestDeadMembersAreRemoved(t *testing.T) {
	t.Parallel()
	w := newSettledNetwork(t, 11, 10)
	w.kill(6)
	w.advance(ForgetAfter)
	assert.Assert(t, w.allSeeStatus(6, isGone), "a dead member was removed too early")
	oldRecord := fullRecord(w.nodes[0].state.Members.ByHost[host(6)])
	w.advance(time.Minute)
	w.handle(w.nodes[3], func() blackboard.Msg { // an exchanged table that arrives late
		return blackboard.SyncReceived{Records: []*wirepb.MemberRecord{oldRecord}, Now: w.now}
	})
	for _, v := range w.nodes[:6] {
		_, known := v.state.Members.ByHost[host(6)]
		assert.Assert(t, !known)
	}
}

func TestJoinThroughPlatform(t *testing.T) {
	t.Parallel()
	const nodes = 60
	w := newNetwork(t, 12, nodes)
	for _, v := range w.nodes {
		v.seeds = []string{"10.9.9.9:7000"} // a seed that does not answer
	}
	w.bootAll()
	w.advance(5 * time.Minute)
	t.Run("searches of all nodes stay bounded while the platform lists no relay", func(t *testing.T) {
		// At most one search per backoff of 10, 20, 40, 60, 60, ... s, of which jitter leaves at least half.
		assert.Assert(t, w.findCalls <= 14*nodes, "%d searches", w.findCalls)
	})
	w.relays = []string{address(0)}
	w.advanceUntil(maxFindBackoff+2*convergenceTarget, "all know each other", w.allAgree)
	found := w.findCalls
	w.advance(time.Minute)
	assert.Equal(t, w.findCalls, found, "a node that knows a peer searched the platform")
}

func TestReturnedHostIsCorrected(t *testing.T) {
	t.Parallel()
	w := newSettledNetwork(t, 14, 4)
	v := w.nodes[2]
	next, effects := Reduce(v.state, blackboard.PacketReceived{From: address(0), Now: w.now, Packet: &wirepb.GossipPacket{
		Kind: wirepb.GossipKind_GOSSIP_KIND_PING, Host: host(0), ProbedHost: host(2),
		Incarnation: w.nodes[0].state.Self.Incarnation - 1, MemberDigest: tableDigest(&v.state.Members.Gossip.BucketDigests),
	}}, nil)
	assert.Equal(t, len(effects), 1)
	answer, err := Decode(effects[0].(SendPacket).Data, "buc-a")
	assert.NilError(t, err)
	assert.Assert(t, len(answer.GetMembers()) > 0)
	assert.Equal(t, answer.GetMembers()[0].GetHost(), host(0), "the answer lacks the incarnation that the host must exceed")
	assert.Equal(t, next.Members.ByHost[host(0)].Incarnation, w.nodes[0].state.Self.Incarnation)
}

func TestTargetChangeSpreads(t *testing.T) {
	t.Parallel()
	w := newSettledNetwork(t, 13, 100)
	w.advance(time.Minute)
	v := w.nodes[8]
	v.state.Target.Record = blackboard.TargetRecord{Service: "roster", Phase: blackboard.TargetDraining, Slots: 10, Revision: 4}
	w.advanceUntil(3*time.Second, "all know that the target is draining", w.allAgree)
}
