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

// Shares of one data centre of 19 in the platform's rates: several hundred
// writes, taken as 300, and 2000 reads a second.
const (
	writesPerSecond = 300 / 19
	readsPerSecond  = 2000 / 19
)

// centre steps the electors of a data centre on a clock of its own.
type centre struct {
	t     *testing.T
	fake  *storer.Fake
	now   time.Time
	nodes []*candidate
}

type candidate struct {
	state blackboard.State
	ctrl  blackboard.Controller
	// paused nodes see no time pass.
	paused bool
	// answers wait while the node is paused.
	answers []blackboard.Msg
}

func newCentre(t *testing.T, hosts int) *centre {
	c := &centre{t: t, fake: storer.NewFake(), now: time.Unix(1_800_000_000, 0)}
	for i := range hosts {
		host := fmt.Sprintf("host-%d", i)
		n := &candidate{state: blackboard.State{
			Self:  blackboard.Self{Host: host, Address: host, DataCentre: "reyk-a", Incarnation: 1},
			Lease: NoLease(),
		}}
		n.ctrl = New(c.fake.Client(), "reyk-a", WithClock(func() time.Time { return c.now }))
		c.nodes = append(c.nodes, n)
	}
	c.know(hosts)
	return c
}

// know gives each node a member list of itself and the first few nodes.
func (c *centre) know(members int) {
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

func (n *candidate) member() blackboard.Member {
	host := n.state.Self.Host
	return blackboard.Member{Host: host, Address: host, Status: blackboard.MemberAlive}
}

func (c *centre) handle(n *candidate, msg blackboard.Msg) {
	next, effects := n.ctrl.Reduce(n.state, msg)
	n.state = next
	for _, e := range effects {
		n.ctrl.Run(context.Background(), e, func(msg blackboard.Msg) {
			if n.paused {
				n.answers = append(n.answers, msg)
				return
			}
			c.handle(n, msg)
		})
	}
}

func (c *centre) wake(n *candidate) {
	n.paused = false
	for _, msg := range n.answers {
		c.handle(n, msg)
	}
	n.answers = nil
}

func (c *centre) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); c.now = c.now.Add(blackboard.TickInterval) {
		for _, n := range c.nodes {
			if !n.paused {
				c.handle(n, blackboard.Tick{Now: c.now})
			}
		}
	}
}

func (c *centre) holders() map[int][]*candidate {
	held := map[int][]*candidate{}
	for _, n := range c.nodes {
		if n.state.Lease.Slot >= 0 {
			held[n.state.Lease.Slot] = append(held[n.state.Lease.Slot], n)
		}
	}
	return held
}

// assertHeld checks that each slot has exactly one holder.
func (c *centre) assertHeld() {
	c.t.Helper()
	held := c.holders()
	for slot := range DefaultSlots {
		assert.Equal(c.t, len(held[slot]), 1, "slot %d", slot)
	}
}

func TestLeases(t *testing.T) {
	t.Run("each slot gets one holder that keeps it", func(t *testing.T) {
		c := newCentre(t, 20)
		c.run(15 * time.Second)
		c.assertHeld()
		first := c.holders()
		c.run(5 * time.Minute)
		c.assertHeld()
		for slot := range DefaultSlots {
			assert.Assert(t, first[slot][0] == c.holders()[slot][0])
			assert.Equal(t, first[slot][0].state.Lease.Epoch, uint64(1))
		}
	})
	t.Run("a lapsed slot is taken over with the next epoch", func(t *testing.T) {
		c := newCentre(t, 20)
		c.run(15 * time.Second)
		dead := c.holders()[1][0]
		dead.paused = true
		c.run(time.Minute)
		var epochs []uint64
		for _, n := range c.holders()[1] {
			if n != dead {
				epochs = append(epochs, n.state.Lease.Epoch)
			}
		}
		assert.DeepEqual(t, epochs, []uint64{2})
	})
	t.Run("a paused holder that wakes gives the slot up before it does anything", func(t *testing.T) {
		c := newCentre(t, 20)
		c.run(15 * time.Second)
		holder := c.holders()[0][0]
		holder.paused = true
		c.run(time.Minute)
		writes := c.fake.Counts().Writes
		c.wake(holder)
		c.handle(holder, blackboard.Tick{Now: c.now})
		assert.Equal(t, holder.state.Lease.Slot, -1)
		assert.Equal(t, c.fake.Counts().Writes, writes)
		c.run(time.Minute)
		c.assertHeld()
	})
	t.Run("an answer that comes after the lease lapsed is no lease", func(t *testing.T) {
		c := newCentre(t, 1)
		n := c.nodes[0]
		record := newRecord(n.state.Self, 0, 4, c.now)
		c.handle(n, LeaseWritten{Now: c.now.Add(time.Minute), Record: record, Revision: 9})
		assert.Equal(t, n.state.Lease.Slot, -1)
	})
	t.Run("a write whose answer was lost is settled by reading", func(t *testing.T) {
		c := newCentre(t, 20)
		c.fake.Set(storer.Faults{LoseAnswers: -1})
		c.run(30 * time.Second)
		c.assertHeld()
		for _, obj := range c.fake.Dump() {
			r, err := decodeRecord(obj.Key, obj.Value)
			assert.NilError(t, err)
			assert.Equal(t, r.Epoch, uint64(1), obj.Key)
		}
	})
	t.Run("a holder that is asked to stop gives its slot up before it would lapse", func(t *testing.T) {
		c := newCentre(t, 20)
		c.run(15 * time.Second)
		holder := c.holders()[2][0]
		c.handle(holder, blackboard.StopRequested{Now: c.now})
		assert.Equal(t, holder.state.Lease.Slot, -1)
		c.run(leaseTerm - time.Second)
		c.assertHeld()
	})
	t.Run("a malformed lease counts as lapsed", func(t *testing.T) {
		c := newCentre(t, 20)
		for slot := range DefaultSlots {
			_, err := c.fake.Client().Put(t.Context(), Key("reyk-a", slot), []byte("{"), 0)
			assert.NilError(t, err)
		}
		c.run(15 * time.Second)
		c.assertHeld()
	})
	t.Run("no node keeps a lease through an outage, and all slots are taken after it", func(t *testing.T) {
		c := newCentre(t, 20)
		c.run(15 * time.Second)
		c.fake.Set(storer.Faults{Outage: true})
		c.run(time.Minute)
		assert.Equal(t, len(c.holders()), 0)
		c.fake.Set(storer.Faults{})
		c.run(time.Minute)
		c.assertHeld()
	})
}

func TestCallsAreBounded(t *testing.T) {
	const hosts = 1000
	// assertRates checks the calls of each second against the shares of one data centre.
	assertRates := func(t *testing.T, c *centre, seconds int) {
		t.Helper()
		for range seconds {
			before := c.fake.Counts()
			c.run(time.Second)
			after := c.fake.Counts()
			assert.Assert(t, after.Reads-before.Reads <= readsPerSecond, "%d reads in a second", after.Reads-before.Reads)
			assert.Assert(t, after.Writes-before.Writes <= writesPerSecond, "%d writes in a second", after.Writes-before.Writes)
		}
	}
	t.Run("steady state", func(t *testing.T) {
		c := newCentre(t, hosts)
		assertRates(t, c, 60)
	})
	t.Run("every node restarts and knows only a seed for a while", func(t *testing.T) {
		c := newCentre(t, hosts)
		c.know(1)
		assertRates(t, c, 2)
		c.know(hosts)
		assertRates(t, c, 30)
	})
	t.Run("every node loses sight of all others", func(t *testing.T) {
		c := newCentre(t, hosts)
		c.run(15 * time.Second)
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
	t.Run("the platform comes back after an outage", func(t *testing.T) {
		c := newCentre(t, hosts)
		c.run(15 * time.Second)
		c.fake.Set(storer.Faults{Outage: true})
		assertRates(t, c, 30)
		c.fake.Set(storer.Faults{})
		assertRates(t, c, 30)
	})
}
