package limiter

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/retrier"
	"gentianbarrow.example/pkg/snapshotter"
)

var start = time.Unix(1_800_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func done() Result { return Result{Outcome: retrier.OutcomeDone} }

func request(id uint64, c snapshotter.Class, firm string) Request {
	return Request{ID: id, Class: c, Firm: firm, Deadline: at(10_000)}
}

func pazaLimits() Limits {
	return Limits{Slots: 10, Connections: 120, Queue: 20, BulkPercent: 40, UrgentSlots: 2}
}

// offerMany offers n requests of one kind and asserts the verdict on each.
func offerMany(t *testing.T, g *Gate, now time.Time, first uint64, n int, c snapshotter.Class, firm string, want Verdict) {
	t.Helper()
	for i := range n {
		d := g.Offer(now, request(first+uint64(i), c, firm))
		assert.Equal(t, d.Verdict, want, "request %d: %s", i, d.Reason)
	}
}

func assertLoad(t *testing.T, g *Gate, now time.Time, inFlight, queued int) {
	t.Helper()
	l := g.Load(now)
	assert.Equal(t, l.InFlight, inFlight)
	assert.Equal(t, l.Queued, queued)
}

func assertDropped(t *testing.T, c Changes, want Reason, ids ...uint64) {
	t.Helper()
	assert.Equal(t, len(c.Dropped), len(ids))
	for i, d := range c.Dropped {
		assert.Equal(t, d.ID, ids[i])
		assert.Equal(t, d.Reason, want)
	}
}

func TestShares(t *testing.T) {
	t.Run("non-urgent requests leave the urgent slots free", func(t *testing.T) {
		g := NewGate(pazaLimits())
		offerMany(t, g, at(0), 1, 8, snapshotter.ClassShort, "paza", VerdictAdmitted)
		offerMany(t, g, at(0), 9, 1, snapshotter.ClassShort, "paza", VerdictQueued)
		offerMany(t, g, at(0), 20, 2, snapshotter.ClassUrgent, "paza", VerdictAdmitted)
		assertLoad(t, g, at(0), 10, 1)
	})
	t.Run("bulk requests hold at most their share", func(t *testing.T) {
		g := NewGate(pazaLimits())
		offerMany(t, g, at(0), 1, 4, snapshotter.ClassBulk, "paza", VerdictAdmitted)
		offerMany(t, g, at(0), 5, 1, snapshotter.ClassBulk, "paza", VerdictQueued)
		offerMany(t, g, at(0), 20, 4, snapshotter.ClassShort, "paza", VerdictAdmitted)
	})
	t.Run("bulk requests keep half of their share while short requests wait", func(t *testing.T) {
		g := NewGate(pazaLimits())
		offerMany(t, g, at(0), 1, 8, snapshotter.ClassShort, "paza", VerdictAdmitted)
		offerMany(t, g, at(0), 20, 5, snapshotter.ClassShort, "paza", VerdictQueued)
		offerMany(t, g, at(0), 30, 3, snapshotter.ClassBulk, "paza", VerdictQueued)
		assert.DeepEqual(t, g.Done(at(1), 1, done()).Started, []uint64{30})
		assert.DeepEqual(t, g.Done(at(1), 2, done()).Started, []uint64{31})
		assert.DeepEqual(t, g.Done(at(1), 3, done()).Started, []uint64{20})
	})
	t.Run("urgent requests leave a share to other waiting requests", func(t *testing.T) {
		g := NewGate(pazaLimits())
		offerMany(t, g, at(0), 1, 10, snapshotter.ClassUrgent, "paza", VerdictAdmitted)
		offerMany(t, g, at(0), 20, 3, snapshotter.ClassUrgent, "paza", VerdictQueued)
		offerMany(t, g, at(0), 30, 3, snapshotter.ClassShort, "paza", VerdictQueued)
		assert.DeepEqual(t, g.Done(at(1), 1, done()).Started, []uint64{30})
		assert.DeepEqual(t, g.Done(at(1), 2, done()).Started, []uint64{31})
		assert.DeepEqual(t, g.Done(at(1), 3, done()).Started, []uint64{20})
	})
	t.Run("a freed slot goes to the firm that runs the fewest", func(t *testing.T) {
		g := NewGate(pazaLimits())
		offerMany(t, g, at(0), 1, 8, snapshotter.ClassShort, "paza", VerdictAdmitted)
		offerMany(t, g, at(0), 10, 10, snapshotter.ClassShort, "paza", VerdictQueued)
		offerMany(t, g, at(0), 30, 2, snapshotter.ClassShort, "frothvik", VerdictQueued)
		assert.DeepEqual(t, g.Done(at(1), 1, done()).Started, []uint64{30})
	})
	t.Run("a full queue evicts a request of the firm with the most waiting", func(t *testing.T) {
		g := NewGate(pazaLimits())
		offerMany(t, g, at(0), 1, 8, snapshotter.ClassShort, "paza", VerdictAdmitted)
		offerMany(t, g, at(0), 10, 12, snapshotter.ClassShort, "paza", VerdictQueued)
		d := g.Offer(at(0), request(30, snapshotter.ClassShort, "paza"))
		assert.Equal(t, d.Reason, ReasonQueueFull)
		d = g.Offer(at(0), request(31, snapshotter.ClassShort, "frothvik"))
		assert.Equal(t, d.Verdict, VerdictQueued)
		assertDropped(t, d.Changes, ReasonQueueFull, 21)
	})
}

func TestQueue(t *testing.T) {
	gateWithFullSlots := func(t *testing.T) *Gate {
		g := NewGate(pazaLimits())
		offerMany(t, g, at(0), 1, 8, snapshotter.ClassShort, "paza", VerdictAdmitted)
		return g
	}
	t.Run("a request that would wait too long is refused at once", func(t *testing.T) {
		g := gateWithFullSlots(t)
		for id := range uint64(8) {
			g.Done(at(10), id+1, done())
		}
		offerMany(t, g, at(10), 20, 8, snapshotter.ClassShort, "paza", VerdictAdmitted)
		d := g.Offer(at(70), request(30, snapshotter.ClassShort, "paza"))
		assert.Equal(t, d.Reason, ReasonWaitedTooLong, "no slot was released for 60 ms")
	})
	t.Run("a request that expires as a slot is released ends once", func(t *testing.T) {
		g := gateWithFullSlots(t)
		r := request(20, snapshotter.ClassShort, "paza")
		r.Deadline = at(30)
		assert.Equal(t, g.Offer(at(0), r).Verdict, VerdictQueued)
		c := g.Done(at(30), 1, done())
		assert.Equal(t, len(c.Started), 0)
		assertDropped(t, c, ReasonMissesDeadline, 20)
		_, waiting := g.Cancel(at(30), 20)
		assert.Assert(t, !waiting)
		assertDropped(t, g.Expire(at(31)), ReasonNone)
	})
	t.Run("a request that can't end in time is refused at once", func(t *testing.T) {
		g := gateWithFullSlots(t)
		g.Done(at(20), 1, done())
		r := request(20, snapshotter.ClassShort, "paza")
		r.Deadline = at(30)
		d := g.Offer(at(20), r)
		assert.Equal(t, d.Reason, ReasonMissesDeadline)
		assert.Assert(t, d.RetryAfter.After(at(20)))
	})
	t.Run("an outdated estimate does not refuse for ever", func(t *testing.T) {
		g := NewGate(pazaLimits())
		g.Offer(at(0), request(1, snapshotter.ClassShort, "paza"))
		g.Done(at(9000), 1, done())
		r := request(2, snapshotter.ClassShort, "paza")
		r.Deadline = at(9100)
		assert.Equal(t, g.Offer(at(9000), r).Verdict, VerdictAdmitted)
	})
	t.Run("drain drops waiting requests and keeps running ones", func(t *testing.T) {
		g := gateWithFullSlots(t)
		offerMany(t, g, at(0), 20, 3, snapshotter.ClassShort, "paza", VerdictQueued)
		assertDropped(t, g.Drain(at(1)), ReasonDraining, 20, 21, 22)
		assertLoad(t, g, at(1), 8, 0)
		assert.Equal(t, g.Offer(at(2), request(30, snapshotter.ClassUrgent, "paza")).Reason, ReasonDraining)
		assert.Equal(t, len(g.Done(at(3), 1, done()).Started), 0)
	})
	t.Run("lowered limits keep running requests", func(t *testing.T) {
		g := gateWithFullSlots(t)
		offerMany(t, g, at(0), 20, 3, snapshotter.ClassShort, "paza", VerdictQueued)
		l := pazaLimits()
		l.Slots, l.Queue, l.UrgentSlots = 4, 2, 0
		assertDropped(t, g.SetLimits(at(1), l), ReasonQueueFull, 22, 21)
		assertLoad(t, g, at(1), 8, 1)
		for id := range uint64(4) {
			assert.Equal(t, len(g.Done(at(2), id+1, done()).Started), 0)
		}
		assert.DeepEqual(t, g.Done(at(2), 5, done()).Started, []uint64{20})
	})
	t.Run("raised limits start waiting requests", func(t *testing.T) {
		g := gateWithFullSlots(t)
		offerMany(t, g, at(0), 20, 3, snapshotter.ClassShort, "paza", VerdictQueued)
		l := pazaLimits()
		l.Slots = 12
		assert.DeepEqual(t, g.SetLimits(at(1), l).Started, []uint64{20, 21})
	})
	t.Run("a second completion has no effect", func(t *testing.T) {
		g := gateWithFullSlots(t)
		offerMany(t, g, at(0), 20, 3, snapshotter.ClassShort, "paza", VerdictQueued)
		assert.Equal(t, len(g.Done(at(1), 1, done()).Started), 1)
		assert.Equal(t, len(g.Done(at(1), 1, done()).Started), 0)
		assertLoad(t, g, at(1), 8, 2)
	})
}

func TestRamp(t *testing.T) {
	g := NewGate(pazaLimits())
	g.SetReadySince(at(0))
	assert.Equal(t, g.Load(at(0)).Slots, 3)
	assert.Equal(t, g.Load(at(5000)).Slots, 6)
	assert.Equal(t, g.Load(at(10_000)).Slots, 10)
	t.Run("a slot added by the ramp-up starts a waiting request", func(t *testing.T) {
		g := NewGate(pazaLimits())
		g.SetReadySince(at(0))
		offerMany(t, g, at(5700), 1, 4, snapshotter.ClassShort, "paza", VerdictAdmitted)
		offerMany(t, g, at(5700), 20, 1, snapshotter.ClassShort, "paza", VerdictQueued)
		assert.DeepEqual(t, g.Expire(at(5715)).Started, []uint64{20})
	})
}

// keepBusy keeps the gate full of short requests from one time to another. The
// oldest ends after each gap, whose length depends on how many run.
func keepBusy(g *Gate, ids *[]uint64, from, until time.Time, gap func(running int) time.Duration) {
	for now := from; now.Before(until); now = now.Add(gap(len(*ids))) {
		if len(*ids) > 0 {
			g.Done(now, (*ids)[0], done())
			*ids = (*ids)[1:]
		}
		for {
			id := uint64(now.UnixNano()) + uint64(len(*ids))
			if g.Offer(now, request(id, snapshotter.ClassShort, "paza")).Verdict != VerdictAdmitted {
				break
			}
			*ids = append(*ids, id)
		}
	}
}

func TestAdaptation(t *testing.T) {
	// fixedServiceTime returns the gap when every request takes the same time, however many run.
	fixedServiceTime := func(service time.Duration) func(int) time.Duration {
		return func(running int) time.Duration { return service / time.Duration(max(running, 1)) }
	}
	run := func(t *testing.T, gap func(running int) time.Duration) *Gate {
		l := pazaLimits()
		l.Queue = 0
		g, ids := NewGate(l), []uint64{}
		keepBusy(g, &ids, at(0), at(2000), fixedServiceTime(10*time.Millisecond))
		assert.Equal(t, g.Load(at(2000)).Slots, 10)
		keepBusy(g, &ids, at(2000), at(3500), gap)
		t.Cleanup(func() {
			keepBusy(g, &ids, at(3500), at(6000), fixedServiceTime(10*time.Millisecond))
			assert.Equal(t, g.Load(at(6000)).Slots, 10, "a recovered target gets all slots back")
		})
		return g
	}
	t.Run("the limit falls when concurrency slows the target", func(t *testing.T) {
		g := run(t, func(int) time.Duration { return 10 * time.Millisecond })
		assert.Assert(t, g.Load(at(3500)).Slots < 10)
		assert.Assert(t, g.Load(at(3500)).Slots >= 3, "the limit stays at or above its minimum")
	})
	t.Run("a target that is slow at any concurrency keeps its slots", func(t *testing.T) {
		g := run(t, fixedServiceTime(100*time.Millisecond))
		assert.Assert(t, g.Load(at(3500)).Slots >= 8, "at most one trial step below all slots")
	})
}
