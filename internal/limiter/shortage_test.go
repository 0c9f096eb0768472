package limiter

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestShortage fills a gate with the requests of one firm, after which another asks.
func TestShortage(t *testing.T) {
	l := softDeadlineLimits()
	l.Slots = 10
	g := NewGate(l)
	offer := func(ms int, id uint64, firm, route string, priority int) Verdict {
		r := softDeadlineRequest(id, route, priority, ms+1_000)
		r.Firm, r.FirmRate, r.WaitPastSoftDeadline = firm, 10, true
		return g.Offer(at(ms), r).Verdict
	}
	for id := range uint64(60) {
		assert.Equal(t, offer(int(id)*20, 1+id, "paza", "lookup", 1), VerdictAdmitted)
		g.Done(at(int(id)*20+10), 1+id, done())
	}
	for id := range uint64(12) {
		want := VerdictAdmitted
		if id >= 10 {
			want = VerdictQueued
		}
		assert.Equal(t, offer(1_300, 100+id, "paza", "lookup", 1), want)
	}
	assert.Equal(t, offer(1_300, 200, "frothvik", "lookup", 1), VerdictQueued)
	s := g.Shortage(at(1_301))
	assert.DeepEqual(t, s.FirmsOverPart, []string{"paza"})
	assert.Equal(t, s.Starts[StartAtOnce], 70)
	assert.DeepEqual(t, g.Done(at(1_302), 100, done()).Started, []uint64{200})
	assert.DeepEqual(t, g.Done(at(1_303), 101, done()).Started, []uint64{110})
	s = g.Shortage(at(1_304))
	assert.Equal(t, s.Starts[StartQueued], 1)
	assert.Equal(t, s.Starts[StartOverPart], 1)
}

// TestLongRequestsLeaveRoom offers more long requests than slots beside short, more urgent ones.
func TestLongRequestsLeaveRoom(t *testing.T) {
	l := softDeadlineLimits()
	l.Slots = 10
	g := NewGate(l)
	now := 0
	offer := func(id uint64, route string, priority, objective int) Verdict {
		r := softDeadlineRequest(id, route, priority, now+objective)
		r.WaitPastSoftDeadline = true
		return g.Offer(at(now), r).Verdict
	}
	assert.Equal(t, offer(1, "report", 2, 6_000), VerdictAdmitted)
	now = 1_200
	g.Done(at(now), 1, done())
	for id := range uint64(100) {
		assert.Equal(t, offer(100+id, "call", 0, 300), VerdictAdmitted, fmt.Sprint(id))
		now += 50
		g.Done(at(now), 100+id, done())
	}
	running := 0
	for id := range uint64(10) {
		if offer(300+id, "report", 2, 6_000) == VerdictAdmitted {
			running++
		}
	}
	assert.Assert(t, running >= 5 && running < 10, "%d reports run", running)
	assert.DeepEqual(t, g.Shortage(at(now)).HeldRoutes, []string{"report"})
	assert.Equal(t, offer(400, "call", 0, 300), VerdictAdmitted, "a call finds a slot at once")
	t.Run("a long request starts when the calls have gone", func(t *testing.T) {
		assert.Equal(t, len(g.Done(at(now+1), 400, done()).Started), 0)
		later := at(now).Add(6 * time.Second)
		assert.Assert(t, len(g.Done(later, 300, done()).Started) > 0, "held %v", g.Shortage(later).HeldRoutes)
	})
}
