package limiter

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestReturns(t *testing.T) {
	const interval = 100 * time.Millisecond
	t.Run("callers return one after the other", func(t *testing.T) {
		var r returns
		for i := range 5 {
			assert.Equal(t, r.book(1, at(50), at(2_000), interval), at(50+100*i))
		}
	})
	t.Run("less urgent callers return after more urgent ones, and not the other way round", func(t *testing.T) {
		var r returns
		assert.Equal(t, r.book(1, at(50), at(2_000), interval), at(50))
		assert.Equal(t, r.book(2, at(50), at(2_000), interval), at(150))
		assert.Equal(t, r.book(1, at(50), at(2_000), interval), at(150))
		assert.Equal(t, r.book(0, at(50), at(2_000), interval), at(50))
	})
	t.Run("a caller returns within the time that it has, and holds no place beyond it", func(t *testing.T) {
		var r returns
		r.book(1, at(50), at(2_000), interval)
		assert.Equal(t, r.book(1, at(50), at(80), interval), at(80))
		assert.Equal(t, r.book(1, at(50), at(2_000), interval), at(150))
	})
	t.Run("its state is bounded", func(t *testing.T) {
		var r returns
		for p := range 1_000 {
			r.book(p, at(50), at(1_000_000), interval)
		}
		assert.Assert(t, len(r.last) <= maxReturnPriorities)
	})
}

func TestRefusedCallersAreSpread(t *testing.T) {
	g := NewGate(softDeadlineLimits())
	g.Offer(at(0), softDeadlineRequest(1, "swap", 1, 10_000))
	g.Done(at(100), 1, done())
	g.Offer(at(100), softDeadlineRequest(2, "swap", 1, 10_000))
	last := time.Time{}
	for id := range uint64(8) {
		r := softDeadlineRequest(10+id, "swap", 1, 0)
		r.SoftDeadline, r.Deadline, r.WaitPastSoftDeadline, r.NoWait = at(1_100), at(6_100), true, true
		d := g.Offer(at(110), r)
		assert.Equal(t, d.Verdict, VerdictRefused)
		assert.Assert(t, d.RetryAfter.After(last), "caller %d returns at %s", id, d.RetryAfter.Sub(start))
		assert.Assert(t, !d.RetryAfter.After(at(110+2_000)), "within a third of the time that is left")
		last = d.RetryAfter
	}
}
