package limiter

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/pkg/snapshotter"
)

// aimLimits is a target of one slot whose waiting requests start by aim.
func aimLimits() Limits {
	return Limits{Slots: 1, Connections: 100, Queue: 100, BulkPercent: 100, Order: OrderSoftDeadline, FixedSlots: true, NoRamp: true}
}

func aimed(id uint64, route string, priority, aimMs int) Request {
	return Request{
		ID: id, Class: snapshotter.ClassShort, Route: route, Priority: priority, SoftDeadline: at(aimMs), Deadline: at(aimMs + 10_000),
	}
}

// busyGate runs request 1 and has learned that swaps take 90 ms and calls 15 ms.
func busyGate(t *testing.T) *Gate {
	t.Helper()
	g := NewGate(aimLimits())
	for i, ms := range map[string]int{"swap": 90, "call": 15} {
		id := uint64(1000 + ms)
		assert.Equal(t, g.Offer(at(0), aimed(id, i, 1, 10_000)).Verdict, VerdictAdmitted)
		g.Done(at(ms), id, done())
	}
	assert.Equal(t, g.Offer(at(100), aimed(1, "swap", 1, 10_000)).Verdict, VerdictAdmitted)
	return g
}

func assertStarts(t *testing.T, g *Gate, ended, want uint64) {
	t.Helper()
	c := g.Done(at(110), ended, done())
	assert.DeepEqual(t, c.Started, []uint64{want})
}

func TestOrderAim(t *testing.T) {
	t.Run("priority goes before aim, and aim before arrival", func(t *testing.T) {
		g := busyGate(t)
		for _, r := range []Request{aimed(2, "swap", 2, 500), aimed(3, "swap", 1, 900), aimed(4, "call", 1, 700)} {
			assert.Equal(t, g.Offer(at(101), r).Verdict, VerdictQueued)
		}
		assertStarts(t, g, 1, 4)
		assertStarts(t, g, 4, 3)
		assertStarts(t, g, 3, 2)
	})
	t.Run("those that start later are not ahead", func(t *testing.T) {
		g := busyGate(t)
		for id := range uint64(20) {
			assert.Equal(t, g.Offer(at(101), aimed(10+id, "swap", 1, 9_000)).Verdict, VerdictQueued)
		}
		assert.Equal(t, g.Offer(at(102), aimed(2, "swap", 1, 9_001)).Verdict, VerdictQueued)
		assert.Equal(t, g.Offer(at(102), aimed(3, "call", 1, 250)).Verdict, VerdictQueued)
		assertStarts(t, g, 1, 3)
	})
	t.Run("a short call is not taken for a long swap", func(t *testing.T) {
		g := busyGate(t)
		l := aimLimits()
		l.Slots = 2
		g.SetLimits(at(101), l)
		r := aimed(3, "swap", 1, 200)
		r.Deadline = at(140)
		assert.Equal(t, g.Offer(at(102), r).Reason, ReasonMissesDeadline)
		r = aimed(2, "call", 1, 200)
		r.Deadline = at(140)
		assert.Equal(t, g.Offer(at(102), r).Verdict, VerdictAdmitted)
	})
	t.Run("an estimate from before a standstill does not refuse a route for ever", func(t *testing.T) {
		l := aimLimits()
		l.Slots = 3
		g := NewGate(l)
		// A request of the route stands still with its host for three seconds.
		assert.Equal(t, g.Offer(at(0), aimed(1, "call", 1, 400)).Verdict, VerdictAdmitted)
		g.Done(at(3_000), 1, done())
		// A long request of another route runs all the while.
		long := aimed(2, "swap", 1, 60_000)
		long.Deadline = at(60_000)
		assert.Equal(t, g.Offer(at(3_000), long).Verdict, VerdictAdmitted)
		refused := 0
		for id := range uint64(30) {
			now := 3_100 + 100*int(id)
			r := aimed(10+id, "call", 1, now+400)
			r.Deadline = at(now + 400)
			if g.Offer(at(now), r).Verdict != VerdictAdmitted {
				refused++
				continue
			}
			g.Done(at(now+30), r.ID, done())
		}
		assert.Equal(t, refused, 0, "the target is idle but for one request")
		g.Offer(at(7_000), aimed(50, "call", 1, 7_400))
		r := aimed(51, "call", 1, 7_010)
		r.Deadline = at(7_010)
		assert.Equal(t, g.Offer(at(7_000), r).Reason, ReasonMissesDeadline, "beside another of the route the estimate counts")
	})
	t.Run("a request that is less urgent gives up its place", func(t *testing.T) {
		l := aimLimits()
		l.Queue = 2
		g := NewGate(l)
		assert.Equal(t, g.Offer(at(0), aimed(1, "swap", 1, 9_000)).Verdict, VerdictAdmitted)
		assert.Equal(t, g.Offer(at(1), aimed(2, "swap", 2, 9_000)).Verdict, VerdictQueued)
		d := g.Offer(at(2), aimed(3, "swap", 1, 9_000))
		assert.Equal(t, d.Verdict, VerdictQueued)
		assertDropped(t, d.Changes, ReasonQueueFull, 2)
	})
	t.Run("a request that asks not to wait is refused", func(t *testing.T) {
		g := busyGate(t)
		r := aimed(2, "call", 1, 9_000)
		r.NoWait = true
		assert.Equal(t, g.Offer(at(101), r).Reason, ReasonQueueFull)
	})
	t.Run("a target is not ramped where that is asked for", func(t *testing.T) {
		l := aimLimits()
		l.Slots = 10
		g := NewGate(l)
		g.SetReadySince(at(0))
		assert.Equal(t, g.Load(at(0).Add(time.Millisecond)).Slots, 10)
	})
}
