package router

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/limiter"
	"gentianbarrow.example/internal/retrier"
)

// linkedCandidates are targets with the same slots behind links of 11 and of 200 Mbit/s.
func linkedCandidates() []Candidate {
	return []Candidate{
		{Host: "narrow-1", Slots: 10, LinkMbit: 11},
		{Host: "narrow-2", Slots: 10, LinkMbit: 11},
		{Host: "wide", Slots: 10, LinkMbit: 200},
	}
}

// linkedBalancer knows the targets as idle and the answers as 50 ms long.
func linkedBalancer() *Balancer {
	b := New()
	for _, c := range linkedCandidates() {
		recordExchange(b, c.Host, at(0), answeredResult(50*time.Millisecond, 0))
	}
	return b
}

// TestLinks guards against long answers that are asked for behind narrow or full links
// while the same target is free behind others.
func TestLinks(t *testing.T) {
	long, short := rosterRequest(), rosterRequest()
	long.Bytes, short.Bytes = 90_000, 400
	t.Run("long answers come over a wide link", func(t *testing.T) {
		n := countChoices(linkedBalancer(), at(10), long, linkedCandidates(), isHost("wide"))
		assert.Assert(t, n > 900, "%d of 1000", n)
	})
	t.Run("short answers come over each link", func(t *testing.T) {
		n := countChoices(linkedBalancer(), at(10), short, linkedCandidates(), isHost("wide"))
		assert.Assert(t, n > 200 && n < 500, "%d of 1000", n)
	})
	t.Run("a long answer avoids a link in front of which others wait, until that has drained", func(t *testing.T) {
		b := linkedBalancer()
		b.RecordLoad(at(10), "roster", "narrow-1", limiter.Load{Slots: 10, Service: 50 * time.Millisecond, LinkQueue: 400 * time.Millisecond})
		narrow := linkedCandidates()[:2]
		assert.Equal(t, countChoices(b, at(20), long, narrow, isHost("narrow-1")), 0)
		n := countChoices(b, at(500), long, narrow, isHost("narrow-1"))
		assert.Assert(t, n > 300, "%d of 1000", n)
		n = countChoices(b, at(20), short, narrow, isHost("narrow-1"))
		assert.Assert(t, n > 300, "short answers do not wait: %d of 1000", n)
	})
}

// TestRefusalOfLessUrgent guards against a target that refuses a long request for want of
// room, and is then avoided by calls for which it keeps room.
func TestRefusalOfLessUrgent(t *testing.T) {
	b, c := New(), near(1)
	refused := Result{
		Outcome: retrier.OutcomeNotRun, Priority: 2, RetryAfter: at(2_000), Load: &limiter.Load{Slots: 10, InFlight: 10},
	}
	recordExchange(b, c[0].Host, at(0), refused)
	backsOff := func(priority int) bool {
		return b.targets[c[0].Host].isBackingOff(at(100), rosterRequest().Class, priority)
	}
	assert.Assert(t, backsOff(2) && backsOff(3))
	assert.Assert(t, !backsOff(0) && !backsOff(1))
	t.Run("a refusal of a less urgent one later does not extend to urgent ones", func(t *testing.T) {
		urgent := refused
		urgent.Priority, urgent.RetryAfter = 0, at(400)
		recordExchange(b, c[0].Host, at(100), urgent)
		recordExchange(b, c[0].Host, at(101), refused)
		assert.Assert(t, backsOff(0))
		assert.Assert(t, !b.targets[c[0].Host].isBackingOff(at(300), rosterRequest().Class, 0))
	})
}
