package subscriber

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/blackboard"
)

const remoteDataCentre = "hafn-c"

func remoteNode(i int) blackboard.NodeRecord {
	return blackboard.NodeRecord{
		Host: fmt.Sprintf("hafn-c-%d", i), Address: fmt.Sprintf("10.1.0.%d:7600", i), DataCentre: remoteDataCentre, Region: "is-south",
	}
}

func readyState(r blackboard.NodeRecord, incarnation, order uint64) blackboard.PeerState {
	return blackboard.PeerState{
		Record: r, Incarnation: incarnation, Order: order,
		Target: blackboard.TargetRecord{Service: "booking", Phase: blackboard.TargetReady, Slots: 9},
	}
}

func drainingState(r blackboard.NodeRecord, incarnation, order uint64) blackboard.PeerState {
	n := readyState(r, incarnation, order)
	n.Target.Phase = blackboard.TargetDraining
	return n
}

// newViewHarness returns a harness whose node has two live neighbours, observer-1 and observer-2.
func newViewHarness(t *testing.T) *harness {
	h := newHarness(t)
	for i := 1; i <= 2; i++ {
		host := fmt.Sprintf("observer-%d", i)
		address := fmt.Sprintf("10.0.0.%d:7600", 10+i)
		h.post(blackboard.NodesFound{Nodes: []blackboard.NodeRecord{node(host, address)}, Now: start})
		h.post(blackboard.NodeUpdated{Host: host, Incarnation: 1, Now: start})
	}
	return h
}

func viewOf(source string, whole bool, nodes ...blackboard.PeerState) blackboard.ViewChanged {
	return blackboard.ViewChanged{
		ViewKey: blackboard.ViewKey{Source: source, DataCentre: remoteDataCentre}, Whole: whole, Nodes: nodes, Now: start,
	}
}

func goneFrom(source, host string) blackboard.ViewChanged {
	v := viewOf(source, false)
	v.Gone = []string{host}
	return v
}

func (h *harness) assertTarget(host string, want blackboard.TargetPhase) {
	h.t.Helper()
	h.assertStatus(host, blackboard.MemberAlive)
	assert.Equal(h.t, h.state.Members.ByHost[host].Target.Phase, want)
}

func TestViews(t *testing.T) {
	first, second := remoteNode(1), remoteNode(2)
	t.Run("a node of another data centre is not subscribed to and is alive once a view reports it", func(t *testing.T) {
		h := newViewHarness(t)
		assert.Equal(t, len(h.post(blackboard.NodesFound{Nodes: []blackboard.NodeRecord{first}, Now: start})), 0)
		h.assertStatus(first.Host, blackboard.MemberDead)
		h.post(blackboard.NodeUpdated{Host: first.Host, Incarnation: 1, Now: start})
		h.assertStatus(first.Host, blackboard.MemberDead)
		h.post(viewOf("observer-1", true, readyState(first, 1, 1)))
		h.assertTarget(first.Host, blackboard.TargetReady)
	})
	t.Run("a node that no list has named is found by a view", func(t *testing.T) {
		h := newViewHarness(t)
		h.post(viewOf("observer-1", true, readyState(first, 1, 1)))
		assert.Equal(t, h.state.Members.ByHost[first.Host].Address, first.Address)
		assert.Equal(t, len(h.state.Members.Records), 3)
	})
	t.Run("the newest state among views counts, whichever arrives last", func(t *testing.T) {
		h := newViewHarness(t)
		h.post(viewOf("observer-1", true, drainingState(first, 1, 7)))
		h.post(viewOf("observer-2", true, readyState(first, 1, 6)))
		h.assertTarget(first.Host, blackboard.TargetDraining)
		h.post(viewOf("observer-2", false, readyState(first, 2, 1)))
		h.assertTarget(first.Host, blackboard.TargetReady)
	})
	t.Run("an older state of one incarnation does not replace a newer one whose source is lost", func(t *testing.T) {
		h := newViewHarness(t)
		h.post(viewOf("observer-2", true, readyState(first, 1, 6)))
		h.post(viewOf("observer-1", true, drainingState(first, 1, 7)))
		h.post(blackboard.NodeLost{Host: "observer-1", Address: "10.0.0.11:7600", Now: start})
		h.post(blackboard.Tick{Now: start.Add(viewHold)})
		h.assertTarget(first.Host, blackboard.TargetDraining)
	})
	t.Run("an incarnation that is lower because a clock was set back is accepted", func(t *testing.T) {
		h := newViewHarness(t)
		h.post(viewOf("observer-1", true, drainingState(first, 9, 7)))
		h.post(viewOf("observer-1", false, readyState(first, 3, 1)))
		h.assertTarget(first.Host, blackboard.TargetReady)
	})
	t.Run("a node is alive while one view has it, and dead once none has", func(t *testing.T) {
		h := newViewHarness(t)
		h.post(viewOf("observer-1", true, readyState(first, 1, 1), readyState(second, 1, 1)))
		h.post(viewOf("observer-2", true, readyState(first, 1, 1), readyState(second, 1, 1)))
		h.post(goneFrom("observer-1", first.Host))
		h.assertStatus(first.Host, blackboard.MemberAlive)
		h.post(goneFrom("observer-2", first.Host))
		h.assertStatus(first.Host, blackboard.MemberDead)
		h.assertStatus(second.Host, blackboard.MemberAlive)
	})
	t.Run("a whole view drops the nodes that it lacks", func(t *testing.T) {
		h := newViewHarness(t)
		h.post(viewOf("observer-1", true, readyState(first, 1, 1), readyState(second, 1, 1)))
		h.post(viewOf("observer-1", true, readyState(second, 1, 1)))
		h.assertStatus(first.Host, blackboard.MemberDead)
		h.assertStatus(second.Host, blackboard.MemberAlive)
	})
	t.Run("an address of a live node comes from its neighbours only", func(t *testing.T) {
		h := newViewHarness(t)
		h.post(viewOf("observer-1", true, readyState(first, 1, 1)))
		moved := first
		moved.Address = "10.1.0.99:7600"
		h.post(blackboard.NodesFound{Nodes: []blackboard.NodeRecord{moved}, Now: start})
		assert.Equal(t, h.state.Members.ByHost[first.Host].Address, first.Address)
		h.post(viewOf("observer-1", false, readyState(moved, 2, 1)))
		assert.Equal(t, h.state.Members.ByHost[first.Host].Address, moved.Address)
	})
	t.Run("the view of a lost source is held until another observes, and then the data centre is unreachable", func(t *testing.T) {
		h := newViewHarness(t)
		h.post(viewOf("observer-1", true, readyState(first, 1, 1)))
		h.post(blackboard.NodeLost{Host: "observer-1", Address: "10.0.0.11:7600", Now: start})
		h.post(blackboard.Tick{Now: start.Add(viewHold - time.Millisecond)})
		h.assertStatus(first.Host, blackboard.MemberAlive)
		h.post(blackboard.Tick{Now: start.Add(viewHold)})
		h.assertStatus(first.Host, blackboard.MemberSuspect)
		h.post(viewOf("observer-2", true, readyState(first, 1, 1)))
		h.assertStatus(first.Host, blackboard.MemberAlive)
	})
	t.Run("a view that is up to date goes before one that is held", func(t *testing.T) {
		h := newViewHarness(t)
		h.post(viewOf("observer-1", true, readyState(first, 1, 1)))
		h.post(blackboard.NodeLost{Host: "observer-1", Address: "10.0.0.11:7600", Now: start})
		h.post(viewOf("observer-2", true, readyState(second, 1, 1)))
		h.assertStatus(first.Host, blackboard.MemberDead)
	})
	t.Run("a view that its source has ended is dropped with the next tick", func(t *testing.T) {
		h := newViewHarness(t)
		v := viewOf("observer-1", true, readyState(first, 1, 1))
		h.post(v)
		h.post(blackboard.ViewInterrupted{ViewKey: v.ViewKey, Ended: true, Now: start})
		h.post(blackboard.Tick{Now: start})
		h.assertStatus(first.Host, blackboard.MemberSuspect)
	})
	t.Run("views of this data centre, and of sources elsewhere, are ignored", func(t *testing.T) {
		h := newViewHarness(t)
		own := viewOf("observer-1", true)
		own.DataCentre = "reyk-a"
		h.post(own)
		h.post(viewOf("hafn-c-7", true, readyState(first, 1, 1)))
		assert.Equal(t, len(h.state.Members.Views), 0)
	})
}

// assertObserves checks whether the node observes the other data centre after a tick, and
// returns how many observations began or ended.
func (h *harness) assertObserves(now time.Time, want bool) int {
	h.t.Helper()
	changes := 0
	for _, e := range h.post(blackboard.Tick{Now: now}) {
		switch e.(type) {
		case observe, unobserve:
			changes++
		}
	}
	assert.Equal(h.t, h.state.Members.Observed[remoteDataCentre], want)
	return changes
}

func TestObservers(t *testing.T) {
	h := newHarness(t)
	h.state.Self.Host = "reyk-a-5"
	h.post(blackboard.NodesFound{Nodes: []blackboard.NodeRecord{remoteNode(1)}, Now: start})
	update := func(i int) blackboard.NodeUpdated {
		return blackboard.NodeUpdated{Host: fmt.Sprintf("reyk-a-%d", i), Now: start}
	}
	for i := 2; i <= 4; i++ {
		address := fmt.Sprintf("10.0.0.%d:7600", i)
		h.post(blackboard.NodesFound{Nodes: []blackboard.NodeRecord{node(fmt.Sprintf("reyk-a-%d", i), address)}, Now: start})
	}
	h.assertObserves(start, false)
	now := start.Add(observeDelay)
	assert.Equal(t, h.assertObserves(now, true), 1, "a node that has found too few others observes")
	assert.Equal(t, h.assertObserves(now, true), 0)
	for i := 2; i <= 4; i++ {
		h.post(update(i))
	}
	h.assertObserves(now, true)
	h.assertObserves(now.Add(unobserveDelay-time.Millisecond), true)
	assert.Equal(t, h.assertObserves(now.Add(unobserveDelay), false), 1, "it stops once others have views")
	h.post(blackboard.NodeLost{Host: "reyk-a-3", Address: "10.0.0.3:7600", Now: start})
	assert.Equal(t, h.assertObserves(now.Add(unobserveDelay), true), 1, "it takes over at once from one that is lost")
}

// TestViewCodec checks that a stream carries the address of a node once, and only what has changed.
func TestViewCodec(t *testing.T) {
	first, second := readyState(remoteNode(1), 1, 1), readyState(remoteNode(2), 1, 1)
	key := blackboard.ViewKey{Source: "observer-1", DataCentre: remoteDataCentre}
	before := map[string]blackboard.PeerState{first.Record.Host: first, second.Record.Host: second}
	d := newViewDecoder()
	whole := d.decode(key, encodeView(remoteDataCentre, nil, before, true), start).(blackboard.ViewChanged)
	assert.Assert(t, whole.Whole)
	assert.Equal(t, len(whole.Nodes), 2)

	reordered := first
	reordered.Order = 2
	drained := drainingState(second.Record, 1, 3)
	encoded := encodeView(remoteDataCentre, before, map[string]blackboard.PeerState{first.Record.Host: reordered, second.Record.Host: drained}, false)
	assert.Equal(t, len(encoded.GetNodes()), 1, "a state that differs in its order alone is not sent")
	assert.Assert(t, encoded.GetNodes()[0].GetRecord() == nil)
	assert.DeepEqual(t, d.decode(key, encoded, start).(blackboard.ViewChanged).Nodes, []blackboard.PeerState{drained})
	assert.Equal(t, len(newViewDecoder().decode(key, encoded, start).(blackboard.ViewChanged).Nodes), 0, "a node at no known address is left out")
	assert.Assert(t, encodeView(remoteDataCentre, before, before, false) == nil)

	gone := d.decode(key, encodeView(remoteDataCentre, before, map[string]blackboard.PeerState{first.Record.Host: first}, false), start)
	assert.DeepEqual(t, gone.(blackboard.ViewChanged).Gone, []string{second.Record.Host})
}
