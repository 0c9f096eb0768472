package subscriber

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/blackboard"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func node(host, address string) blackboard.NodeRecord {
	return blackboard.NodeRecord{Host: host, Address: address, DataCentre: "reyk-a", Region: "is-south"}
}

// harness drives a subscriber's Reduce function.
type harness struct {
	t          *testing.T
	subscriber *Subscriber
	state      blackboard.State
}

func newHarness(t *testing.T) *harness {
	self := node("reyk-a-1", "10.0.0.1:7600")
	return &harness{
		t: t, subscriber: New(Config{Self: self}),
		state: blackboard.State{Self: blackboard.Self{Host: self.Host, Address: self.Address, DataCentre: "reyk-a"}},
	}
}

// post reduces a message and returns its effects except publish.
func (h *harness) post(m blackboard.Msg) []blackboard.Effect {
	var effects, out []blackboard.Effect
	h.state, effects = h.subscriber.reduce(h.state, m)
	for _, e := range effects {
		if _, ok := e.(publish); !ok {
			out = append(out, e)
		}
	}
	return out
}

func (h *harness) assertStatus(host string, want blackboard.MemberStatus) {
	h.t.Helper()
	assert.Equal(h.t, h.state.Members.ByHost[host].Status, want)
}

func TestMembers(t *testing.T) {
	other := node("reyk-a-2", "10.0.0.2:7600")
	found := blackboard.NodesFound{Nodes: []blackboard.NodeRecord{other, node("reyk-a-1", "10.0.0.1:7600")}, Now: start}
	ready := blackboard.NodeUpdated{
		Host: other.Host, Target: blackboard.TargetRecord{Service: "booking", Phase: blackboard.TargetReady}, Now: start,
	}
	t.Run("a found node is subscribed to and gets no work before its first update", func(t *testing.T) {
		h := newHarness(t)
		assert.DeepEqual(t, h.post(found)[0].(subscribe).host, other.Host)
		assert.Equal(t, len(h.state.Members.ByHost), 1, "a node does not subscribe to itself")
		h.assertStatus(other.Host, blackboard.MemberDead)
		h.post(ready)
		h.assertStatus(other.Host, blackboard.MemberAlive)
	})
	t.Run("a node that is found again is not subscribed to again", func(t *testing.T) {
		h := newHarness(t)
		h.post(found)
		assert.Equal(t, len(h.post(found)), 0)
	})
	t.Run("a node with a new address is subscribed to again", func(t *testing.T) {
		h := newHarness(t)
		h.post(found)
		h.post(ready)
		moved := node(other.Host, "10.0.0.9:7600")
		assert.Equal(t, len(h.post(blackboard.NodesFound{Nodes: []blackboard.NodeRecord{moved}, Now: start})), 1)
		h.post(blackboard.NodeLost{Host: other.Host, Address: other.Address, Now: start})
		assert.Equal(t, h.state.Members.ByHost[other.Host].Address, moved.Address, "the end of the old stream is ignored")
	})
	t.Run("a draining node gets no work", func(t *testing.T) {
		h := newHarness(t)
		h.post(found)
		draining := ready
		draining.Draining = true
		h.post(draining)
		assert.Equal(t, h.state.Members.ByHost[other.Host].Target.Phase, blackboard.TargetDraining)
	})
	t.Run("a node that has lost the platform reports it", func(t *testing.T) {
		h := newHarness(t)
		h.state.Config.PlatformLost = true
		_, effects := h.subscriber.reduce(h.state, found)
		published := effects[len(effects)-1].(publish).update
		decoded := h.subscriber.decodeUpdate(h.subscriber.encodeUpdate(published, nil))
		assert.Assert(t, decoded.PlatformLost)
		decoded.Host = other.Host
		h.post(found)
		h.post(decoded)
		assert.Assert(t, h.state.Members.ByHost[other.Host].PlatformLost)
	})
	t.Run("a silent node becomes suspect, a closed stream makes it dead", func(t *testing.T) {
		h := newHarness(t)
		h.post(found)
		h.post(ready)
		h.post(blackboard.NodeLost{Host: other.Host, Address: other.Address, TimedOut: true, Now: start})
		h.assertStatus(other.Host, blackboard.MemberSuspect)
		h.post(blackboard.NodeLost{Host: other.Host, Address: other.Address, Now: start})
		h.assertStatus(other.Host, blackboard.MemberDead)
		h.post(ready)
		h.assertStatus(other.Host, blackboard.MemberAlive)
	})
	t.Run("a node is removed when another node answers at its address", func(t *testing.T) {
		h := newHarness(t)
		h.post(found)
		h.post(blackboard.NodeLost{Host: other.Host, Address: other.Address, HostMismatch: true, Now: start})
		assert.Equal(t, len(h.state.Members.ByHost), 0)
		assert.Equal(t, len(h.post(found)), 0, "a report by another node is ignored")
		selfReport := found
		selfReport.SelfReported = true
		assert.Equal(t, len(h.post(selfReport)), 1, "a report by the node itself is accepted")
	})
	t.Run("a node lost for long is subscribed to at once when it reports its address", func(t *testing.T) {
		h := newHarness(t)
		h.post(found)
		selfReport := blackboard.NodesFound{Nodes: []blackboard.NodeRecord{other}, SelfReported: true, Now: start}
		assert.Equal(t, len(h.post(selfReport)), 0, "two nodes that start together do not restart their streams")
		selfReport.Now = start.Add(longLost)
		assert.DeepEqual(t, h.post(selfReport)[0].(subscribe).address, other.Address)
		h.post(ready)
		assert.Equal(t, len(h.post(selfReport)), 0, "a live node is already subscribed to")
	})
	t.Run("a lost node that the platform no longer lists is removed, a live one is not", func(t *testing.T) {
		emptyList := blackboard.NodesFound{Complete: true, Now: start}
		h := newHarness(t)
		h.post(found)
		h.post(ready)
		assert.Equal(t, len(h.post(emptyList)), 0)
		h.post(blackboard.NodeLost{Host: other.Host, Address: other.Address, Now: start})
		assert.DeepEqual(t, h.post(emptyList)[0].(unsubscribe).host, other.Host)
		assert.Equal(t, len(h.state.Members.ByHost), 0)
	})
	t.Run("a removed node is forgotten", func(t *testing.T) {
		h := newHarness(t)
		h.post(found)
		assert.DeepEqual(t, h.post(blackboard.NodeRemoved{Host: other.Host, Now: start})[0].(unsubscribe).host, other.Host)
		assert.Equal(t, len(h.state.Members.ByHost), 0)
	})
}
