package elector

import (
	"context"
	"fmt"
	"maps"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/pkg/storer"
)

// The maximum platform calls per second of one data centre: a nineteenth, for
// 19 data centres, of the platform's limits of several hundred writes, taken as
// 300, and 2000 reads a second.
const (
	writesPerSecond = 300 / 19
	readsPerSecond  = 2000 / 19
)

// testDataCentre runs the electors of one data centre on a simulated clock.
type testDataCentre struct {
	t     *testing.T
	fake  *storer.Fake
	now   time.Time
	nodes []*testNode
}

type testNode struct {
	state      blackboard.State
	controller blackboard.Controller
	// paused nodes receive no ticks.
	paused bool
	// pendingMessages are the results that arrived while the node was paused.
	pendingMessages []blackboard.Msg
}

func newTestDataCentre(t *testing.T, hosts int) *testDataCentre {
	c := &testDataCentre{t: t, fake: storer.NewFake(), now: time.Unix(1_800_000_000, 0)}
	for i := range hosts {
		host := fmt.Sprintf("host-%d", i)
		n := &testNode{state: blackboard.State{
			Self:  blackboard.Self{Host: host, Address: host, DataCentre: "reyk-a", Incarnation: 1},
			Lease: NoLease(),
		}}
		n.controller = New(c.fake.Client(), "reyk-a", WithClock(func() time.Time { return c.now }))
		c.nodes = append(c.nodes, n)
	}
	c.setMembers(hosts)
	return c
}

// setMembers sets each node's member list to the first nodes and the node
// itself.
func (c *testDataCentre) setMembers(members int) {
	shared := map[string]blackboard.Member{}
	for _, n := range c.nodes[:members] {
		shared[n.state.Self.Host] = n.member()
	}
	for _, n := range c.nodes {
		n.state.Members.ByHost = shared
		if _, ok := shared[n.state.Self.Host]; !ok {
			n.state.Members.ByHost = maps.Clone(shared)
			n.state.Members.ByHost[n.state.Self.Host] = n.member()
		}
	}
}

func (n *testNode) member() blackboard.Member {
	host := n.state.Self.Host
	return blackboard.Member{Host: host, Address: host, Status: blackboard.MemberAlive}
}

func (c *testDataCentre) handle(n *testNode, msg blackboard.Msg) {
	next, effects := n.controller.Reduce(n.state, msg)
	n.state = next
	for _, e := range effects {
		n.controller.Run(context.Background(), e, func(msg blackboard.Msg) {
			if n.paused {
				n.pendingMessages = append(n.pendingMessages, msg)
				return
			}
			c.handle(n, msg)
		})
	}
}

func (c *testDataCentre) resume(n *testNode) {
	n.paused = false
	for _, msg := range n.pendingMessages {
		c.handle(n, msg)
	}
	n.pendingMessages = nil
}

func (c *testDataCentre) advance(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); c.now = c.now.Add(blackboard.TickInterval) {
		for _, n := range c.nodes {
			if !n.paused {
				c.handle(n, blackboard.Tick{Now: c.now})
			}
		}
	}
}

func (c *testDataCentre) holders() map[int][]*testNode {
	held := map[int][]*testNode{}
	for _, n := range c.nodes {
		if n.state.Lease.Slot >= 0 {
			held[n.state.Lease.Slot] = append(held[n.state.Lease.Slot], n)
		}
	}
	return held
}

// assertOneHolderPerSlot checks that each slot has exactly one holder.
func (c *testDataCentre) assertOneHolderPerSlot() {
	c.t.Helper()
	held := c.holders()
	for slot := range DefaultSlots {
		assert.Equal(c.t, len(held[slot]), 1, "slot %d", slot)
	}
}

func TestLeases(t *testing.T) {
	t.Run("each slot gets one holder, which keeps it", func(t *testing.T) {
		c := newTestDataCentre(t, 20)
		c.advance(15 * time.Second)
		c.assertOneHolderPerSlot()
		first := c.holders()
		c.advance(5 * time.Minute)
		c.assertOneHolderPerSlot()
		for slot := range DefaultSlots {
			assert.Assert(t, first[slot][0] == c.holders()[slot][0])
			assert.Equal(t, first[slot][0].state.Lease.Epoch, uint64(1))
		}
	})
	t.Run("an expired slot is taken over with the next epoch", func(t *testing.T) {
		c := newTestDataCentre(t, 20)
		c.advance(15 * time.Second)
		oldHolder := c.holders()[1][0]
		oldHolder.paused = true
		c.advance(time.Minute)
		var epochs []uint64
		for _, n := range c.holders()[1] {
			if n != oldHolder {
				epochs = append(epochs, n.state.Lease.Epoch)
			}
		}
		assert.DeepEqual(t, epochs, []uint64{2})
	})
	t.Run("a holder that resumes after its lease expired drops the slot before it writes", func(t *testing.T) {
		c := newTestDataCentre(t, 20)
		c.advance(15 * time.Second)
		holder := c.holders()[0][0]
		holder.paused = true
		c.advance(time.Minute)
		writes := c.fake.Counts().Writes
		c.resume(holder)
		c.handle(holder, blackboard.Tick{Now: c.now})
		assert.Equal(t, holder.state.Lease.Slot, -1)
		assert.Equal(t, c.fake.Counts().Writes, writes)
		c.advance(time.Minute)
		c.assertOneHolderPerSlot()
	})
	t.Run("a write result that arrives after the lease expired grants no lease", func(t *testing.T) {
		c := newTestDataCentre(t, 1)
		n := c.nodes[0]
		record := newRecord(n.state.Self, 0, 4, c.now)
		c.handle(n, LeaseWritten{Now: c.now.Add(time.Minute), Record: record, Revision: 9})
		assert.Equal(t, n.state.Lease.Slot, -1)
	})
	t.Run("a read shows whether a write with a lost result took effect", func(t *testing.T) {
		c := newTestDataCentre(t, 20)
		c.fake.SetFaults(storer.Faults{LoseAnswers: -1})
		c.advance(30 * time.Second)
		c.assertOneHolderPerSlot()
		for _, obj := range c.fake.Dump() {
			r, err := decodeRecord(obj.Key, obj.Value)
			assert.NilError(t, err)
			assert.Equal(t, r.Epoch, uint64(1), obj.Key)
		}
	})
	t.Run("a stopping holder releases its slot before the lease expires", func(t *testing.T) {
		c := newTestDataCentre(t, 20)
		c.advance(15 * time.Second)
		holder := c.holders()[2][0]
		c.handle(holder, blackboard.StopRequested{Now: c.now})
		assert.Equal(t, holder.state.Lease.Slot, -1)
		c.advance(leaseDuration - time.Second)
		c.assertOneHolderPerSlot()
	})
	t.Run("a malformed lease counts as expired", func(t *testing.T) {
		c := newTestDataCentre(t, 20)
		for slot := range DefaultSlots {
			_, err := c.fake.Client().Put(t.Context(), Key("reyk-a", slot), []byte("{"), 0)
			assert.NilError(t, err)
		}
		c.advance(15 * time.Second)
		c.assertOneHolderPerSlot()
	})
	t.Run("all leases expire during a platform outage, and all slots are taken after it", func(t *testing.T) {
		c := newTestDataCentre(t, 20)
		c.advance(15 * time.Second)
		c.fake.SetFaults(storer.Faults{Outage: true})
		c.advance(time.Minute)
		assert.Equal(t, len(c.holders()), 0)
		c.fake.SetFaults(storer.Faults{})
		c.advance(time.Minute)
		c.assertOneHolderPerSlot()
	})
}

func TestCallsAreBounded(t *testing.T) {
	const hosts = 1000
	// assertRates checks the calls of each second against the limits of one data
	// centre.
	assertRates := func(t *testing.T, c *testDataCentre, seconds int) {
		t.Helper()
		for range seconds {
			before := c.fake.Counts()
			c.advance(time.Second)
			after := c.fake.Counts()
			assert.Assert(t, after.Reads-before.Reads <= readsPerSecond, "%d reads in a second", after.Reads-before.Reads)
			assert.Assert(t, after.Writes-before.Writes <= writesPerSecond, "%d writes in a second", after.Writes-before.Writes)
		}
	}
	t.Run("steady state", func(t *testing.T) {
		c := newTestDataCentre(t, hosts)
		assertRates(t, c, 60)
	})
	t.Run("every node restarts and at first knows only one seed", func(t *testing.T) {
		c := newTestDataCentre(t, hosts)
		c.setMembers(1)
		assertRates(t, c, 2)
		c.setMembers(hosts)
		assertRates(t, c, 30)
	})
	t.Run("every node sees all others as dead", func(t *testing.T) {
		c := newTestDataCentre(t, hosts)
		c.advance(15 * time.Second)
		dead := map[string]blackboard.Member{}
		for _, n := range c.nodes {
			m := n.member()
			m.Status = blackboard.MemberDead
			dead[m.Host] = m
		}
		for _, n := range c.nodes {
			n.state.Members.ByHost = dead
		}
		assertRates(t, c, 60)
	})
	t.Run("the platform recovers from an outage", func(t *testing.T) {
		c := newTestDataCentre(t, hosts)
		c.advance(15 * time.Second)
		c.fake.SetFaults(storer.Faults{Outage: true})
		assertRates(t, c, 30)
		c.fake.SetFaults(storer.Faults{})
		assertRates(t, c, 30)
	})
}
