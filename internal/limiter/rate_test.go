package limiter

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"gentianbarrow.example/pkg/snapshotter"
)

// limitedGate returns a gate whose target states the given limit from at(0) on.
func limitedGate(perSecond float64) *Gate {
	g := NewGate(Limits{Slots: 100, Connections: 120, Queue: 200, BulkPercent: 100, Order: OrderSoftDeadline})
	g.SetRate(at(0), Rate{State: RateLimited, PerSecond: perSecond})
	return g
}

func softRequest(id uint64, priority int, softDeadline time.Time) Request {
	return Request{
		ID: id, Class: snapshotter.ClassShort, Firm: "paza", Priority: priority,
		SoftDeadline: softDeadline, Deadline: softDeadline.Add(time.Second),
	}
}

func assertDecision(t *testing.T, d Decision, verdict Verdict, reason Reason) {
	t.Helper()
	assert.Equal(t, d.Verdict, verdict)
	assert.Equal(t, d.Reason, reason)
}

func TestRateLimit(t *testing.T) {
	t.Run("waiting requests start at the rate of the limit", func(t *testing.T) {
		g := limitedGate(10)
		assertDecision(t, g.Offer(at(0), softRequest(1, 0, at(1000))), VerdictQueued, ReasonNone)
		assertDecision(t, g.Offer(at(0), softRequest(2, 0, at(1000))), VerdictQueued, ReasonNone)
		assert.DeepEqual(t, g.Expire(at(101)).Started, []uint64{1})
		assert.Equal(t, len(g.Expire(at(199)).Started), 0)
		assert.DeepEqual(t, g.Expire(at(201)).Started, []uint64{2})
	})
	t.Run("the gate names the time at which the next request starts", func(t *testing.T) {
		g := limitedGate(10)
		_, waiting := g.NextStart(at(0))
		assert.Assert(t, !waiting)
		g.Offer(at(0), softRequest(1, 0, at(1000)))
		next, waiting := g.NextStart(at(0))
		assert.Assert(t, waiting)
		assert.DeepEqual(t, g.Expire(next).Started, []uint64{1})
	})
	t.Run("a request that cannot start in time is refused at once", func(t *testing.T) {
		g := limitedGate(10)
		g.Offer(at(0), softRequest(1, 0, at(150)))
		assertDecision(t, g.Offer(at(0), softRequest(2, 0, at(150))), VerdictRefused, ReasonRateLimited)
	})
	t.Run("a waiting request that cannot start in time any more is dropped at once", func(t *testing.T) {
		g := limitedGate(10)
		g.Offer(at(0), softRequest(1, 1, at(150)))
		d := g.Offer(at(1), softRequest(2, 0, at(500)))
		assertDecision(t, d, VerdictQueued, ReasonNone)
		assertDropped(t, d.Changes, ReasonRateLimited, 1)
	})
	t.Run("a lower limit drops what no longer starts in time", func(t *testing.T) {
		g := limitedGate(10)
		g.Offer(at(0), softRequest(1, 0, at(150)))
		assertDropped(t, g.SetRate(at(0), Rate{State: RateLimited, PerSecond: 2}), ReasonRateLimited, 1)
	})
	t.Run("the end of the limit starts what waits", func(t *testing.T) {
		g := limitedGate(1)
		g.Offer(at(0), softRequest(1, 0, at(2000)))
		assert.DeepEqual(t, g.SetRate(at(10), Rate{}).Started, []uint64{1})
	})
	t.Run("a second copy of a request takes no place", func(t *testing.T) {
		g := limitedGate(10)
		r := softRequest(1, 0, at(2000))
		r.NoWait = true
		assertDecision(t, g.Offer(at(1000), r), VerdictRefused, ReasonQueueFull)
	})
	t.Run("some requests reach a target that accepts none", func(t *testing.T) {
		g := limitedGate(0)
		assertDecision(t, g.Offer(at(10_000), softRequest(1, 0, at(11_000))), VerdictAdmitted, ReasonNone)
	})
	t.Run("few requests run before the first answer shows whether there is a limit", func(t *testing.T) {
		g := NewGate(pazaLimits())
		g.SetRate(at(0), Rate{State: RateUnknown})
		assert.Equal(t, g.Load(at(0)).Slots, minSlots(pazaLimits()))
		g.SetRate(at(0), Rate{})
		assert.Equal(t, g.Load(at(0)).Slots, pazaLimits().Slots)
	})
	t.Run("the load shows the slots that the limit lets requests use", func(t *testing.T) {
		g := limitedGate(20)
		assertDecision(t, g.Offer(at(1000), softRequest(1, 0, at(2000))), VerdictAdmitted, ReasonNone)
		g.Done(at(1200), 1, done())
		// At 20 a second for 200 ms each, 4 requests run at a time.
		assert.Equal(t, g.Load(at(1200)).Slots, 4)
	})
}

// TestRefusedRequestsReturnTogether guards against refusals that name the same time to
// all callers, which are then refused once more.
func TestRefusedRequestsReturnTogether(t *testing.T) {
	refuse := func(t *testing.T, g *Gate, id uint64, priority int) time.Time {
		t.Helper()
		r := softRequest(id, priority, at(50))
		r.Deadline = at(4000)
		d := g.Offer(at(0), r)
		assertDecision(t, d, VerdictRefused, ReasonRateLimited)
		return d.RetryAfter
	}
	t.Run("they return one after the other at the rate of the limit", func(t *testing.T) {
		g := limitedGate(10)
		first := refuse(t, g, 1, 1)
		assert.Equal(t, refuse(t, g, 2, 1).Sub(first), 100*time.Millisecond)
		assert.Equal(t, refuse(t, g, 3, 1).Sub(first), 200*time.Millisecond)
	})
	t.Run("more urgent ones return first", func(t *testing.T) {
		g := limitedGate(10)
		first := refuse(t, g, 1, 1)
		refuse(t, g, 2, 1)
		assert.Equal(t, refuse(t, g, 3, 0), first)
	})
	t.Run("each returns while it can still be served", func(t *testing.T) {
		g := limitedGate(1)
		for id := range uint64(10) {
			assert.Assert(t, !refuse(t, g, id, 1).After(at(2000)))
		}
	})
}

// TestRateInAnyWindow checks that any schedule of requests keeps the limit in any window.
func TestRateInAnyWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.Float64Range(1, 200).Draw(t, "limit")
		g := limitedGate(perSecond)
		var starts []time.Time
		now, id := at(0), uint64(0)
		record := func(c Changes) {
			for range c.Started {
				starts = append(starts, now)
			}
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "pause-ms")) * time.Millisecond)
			id++
			d := g.Offer(now, softRequest(id, rapid.IntRange(0, 2).Draw(t, "priority"), now.Add(400*time.Millisecond)))
			record(d.Changes)
			if d.Verdict == VerdictAdmitted {
				starts = append(starts, now)
			}
			if id > 3 {
				record(g.Done(now, id-3, done()))
			}
			if next, waiting := g.NextStart(now); waiting && rapid.Bool().Draw(t, "wait") {
				now = next
				record(g.Expire(now))
			}
		}
		burst := max(perSecond*rateBurstDuration.Seconds(), 1)
		for i := range starts {
			for j := i; j < len(starts); j++ {
				allowed := perSecond*starts[j].Sub(starts[i]).Seconds() + burst
				if n := j - i + 1; float64(n) > allowed+0.001 {
					t.Fatalf("%d requests started within %s, allowed %.2f", n, starts[j].Sub(starts[i]), allowed)
				}
			}
		}
	})
}
