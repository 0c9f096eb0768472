package limiter

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/pkg/snapshotter"
)

// softDeadlineLimits returns the limits of a target with one slot whose waiting
// requests start by soft deadline.
func softDeadlineLimits() Limits {
	return Limits{Slots: 1, Connections: 100, Queue: 100, BulkPercent: 100, Order: OrderSoftDeadline, FixedSlots: true, NoRamp: true}
}

func softDeadlineRequest(id uint64, route string, priority, softDeadlineMs int) Request {
	return Request{
		ID: id, Class: snapshotter.ClassShort, Route: route, Priority: priority, SoftDeadline: at(softDeadlineMs), Deadline: at(softDeadlineMs + 10_000),
	}
}

// busyGate returns a gate that runs request 1 and has measured swaps of 90 ms and
// calls of 15 ms.
func busyGate(t *testing.T) *Gate {
	t.Helper()
	g := NewGate(softDeadlineLimits())
	for route, ms := range map[string]int{"swap": 90, "call": 15} {
		id := uint64(1000 + ms)
		assert.Equal(t, g.Offer(at(0), softDeadlineRequest(id, route, 1, 10_000)).Verdict, VerdictAdmitted)
		g.Done(at(ms), id, done())
	}
	assert.Equal(t, g.Offer(at(100), softDeadlineRequest(1, "swap", 1, 10_000)).Verdict, VerdictAdmitted)
	return g
}

func assertStarts(t *testing.T, g *Gate, ended, want uint64) {
	t.Helper()
	c := g.Done(at(110), ended, done())
	assert.DeepEqual(t, c.Started, []uint64{want})
}

func TestOrderSoftDeadline(t *testing.T) {
	t.Run("orders by priority, then soft deadline, then arrival", func(t *testing.T) {
		g := busyGate(t)
		for _, r := range []Request{softDeadlineRequest(2, "swap", 2, 500), softDeadlineRequest(3, "swap", 1, 900), softDeadlineRequest(4, "call", 1, 700)} {
			assert.Equal(t, g.Offer(at(101), r).Verdict, VerdictQueued)
		}
		assertStarts(t, g, 1, 4)
		assertStarts(t, g, 4, 3)
		assertStarts(t, g, 3, 2)
	})
	t.Run("requests that start later do not add to the expected wait", func(t *testing.T) {
		g := busyGate(t)
		for id := range uint64(20) {
			assert.Equal(t, g.Offer(at(101), softDeadlineRequest(10+id, "swap", 1, 9_000)).Verdict, VerdictQueued)
		}
		assert.Equal(t, g.Offer(at(102), softDeadlineRequest(2, "swap", 1, 9_001)).Verdict, VerdictQueued)
		assert.Equal(t, g.Offer(at(102), softDeadlineRequest(3, "call", 1, 250)).Verdict, VerdictQueued)
		assertStarts(t, g, 1, 3)
	})
	t.Run("service times are estimated by route", func(t *testing.T) {
		g := busyGate(t)
		l := softDeadlineLimits()
		l.Slots = 2
		g.SetLimits(at(101), l)
		r := softDeadlineRequest(3, "swap", 1, 200)
		r.Deadline = at(140)
		assert.Equal(t, g.Offer(at(102), r).Reason, ReasonMissesDeadline)
		r = softDeadlineRequest(2, "call", 1, 200)
		r.Deadline = at(140)
		assert.Equal(t, g.Offer(at(102), r).Verdict, VerdictAdmitted)
	})
	t.Run("an estimate inflated by a paused host does not refuse a route for ever", func(t *testing.T) {
		l := softDeadlineLimits()
		l.Slots = 3
		g := NewGate(l)
		// A request of the route takes three seconds because its host is paused.
		assert.Equal(t, g.Offer(at(0), softDeadlineRequest(1, "call", 1, 400)).Verdict, VerdictAdmitted)
		g.Done(at(3_000), 1, done())
		// A long request of another route runs throughout.
		long := softDeadlineRequest(2, "swap", 1, 60_000)
		long.Deadline = at(60_000)
		assert.Equal(t, g.Offer(at(3_000), long).Verdict, VerdictAdmitted)
		refused := 0
		for id := range uint64(30) {
			now := 3_100 + 100*int(id)
			r := softDeadlineRequest(10+id, "call", 1, now+400)
			r.Deadline = at(now + 400)
			if g.Offer(at(now), r).Verdict != VerdictAdmitted {
				refused++
				continue
			}
			g.Done(at(now+30), r.ID, done())
		}
		assert.Equal(t, refused, 0, "the target runs only one other request")
		g.Offer(at(7_000), softDeadlineRequest(50, "call", 1, 7_400))
		r := softDeadlineRequest(51, "call", 1, 7_010)
		r.Deadline = at(7_010)
		assert.Equal(t, g.Offer(at(7_000), r).Reason, ReasonMissesDeadline, "the estimate applies while another request of the route runs")
	})
	t.Run("a less urgent request is evicted from a full queue", func(t *testing.T) {
		l := softDeadlineLimits()
		l.Queue = 2
		g := NewGate(l)
		assert.Equal(t, g.Offer(at(0), softDeadlineRequest(1, "swap", 1, 9_000)).Verdict, VerdictAdmitted)
		assert.Equal(t, g.Offer(at(1), softDeadlineRequest(2, "swap", 2, 9_000)).Verdict, VerdictQueued)
		d := g.Offer(at(2), softDeadlineRequest(3, "swap", 1, 9_000))
		assert.Equal(t, d.Verdict, VerdictQueued)
		assertDropped(t, d.Changes, ReasonQueueFull, 2)
	})
	t.Run("a request with NoWait is refused", func(t *testing.T) {
		g := busyGate(t)
		r := softDeadlineRequest(2, "call", 1, 9_000)
		r.NoWait = true
		assert.Equal(t, g.Offer(at(101), r).Reason, ReasonQueueFull)
	})
	t.Run("NoRamp disables the ramp-up", func(t *testing.T) {
		l := softDeadlineLimits()
		l.Slots = 10
		g := NewGate(l)
		g.SetReadySince(at(0))
		assert.Equal(t, g.Load(at(0).Add(time.Millisecond)).Slots, 10)
	})
}
