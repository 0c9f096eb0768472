package limiter

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "gentianbarrow.example/internal/seeder"
	"gentianbarrow.example/pkg/snapshotter"
)

// callingRequest returns a request whose run makes calls.
func callingRequest(id uint64) Request {
	r := softDeadlineRequest(id, "swap", 1, 900)
	r.Calls = []string{"called"}
	return r
}

// callLimitedGate returns a gate with four free slots that lets one run make calls.
func callLimitedGate(t *testing.T) *Gate {
	t.Helper()
	l := softDeadlineLimits()
	l.Slots = 4
	g := NewGate(l)
	g.SetCallLimits(at(0), map[string]float64{"called": 1})
	assert.Equal(t, g.Offer(at(0), callingRequest(1)).Verdict, VerdictAdmitted)
	return g
}

func TestCalledRoom(t *testing.T) {
	t.Run("requests whose runs make no calls go on", func(t *testing.T) {
		g := callLimitedGate(t)
		assert.Equal(t, g.Offer(at(1), callingRequest(2)).Verdict, VerdictQueued)
		assert.Equal(t, g.Offer(at(1), softDeadlineRequest(3, "other", 9, 900)).Verdict, VerdictAdmitted)
		c := g.Done(at(50), 1, done())
		assert.DeepEqual(t, c.Started, []uint64{2})
	})
	t.Run("a call is never held back", func(t *testing.T) {
		g := callLimitedGate(t)
		r := callRequest(2, 900, 1_000)
		r.Calls = []string{"called"}
		assert.Equal(t, g.Offer(at(1), r).Verdict, VerdictAdmitted)
	})
	t.Run("what cannot start in time is refused at once, with a time to return", func(t *testing.T) {
		g := callLimitedGate(t)
		g.Done(at(400), 1, done())
		assert.Equal(t, g.Offer(at(401), callingRequest(2)).Verdict, VerdictAdmitted)
		r := callingRequest(3)
		r.SoftDeadline = at(700)
		d := g.Offer(at(402), r)
		assert.Equal(t, d.Reason, ReasonCalledRoom)
		assert.Assert(t, d.RetryAfter.After(at(402)))
	})
	t.Run("a higher limit starts what waits", func(t *testing.T) {
		g := callLimitedGate(t)
		g.Offer(at(1), callingRequest(2))
		assert.DeepEqual(t, g.SetCallLimits(at(2), map[string]float64{"called": 2}).Started, []uint64{2})
	})
	t.Run("a limit between two numbers admits either by turns", func(t *testing.T) {
		r := newCalledRoom()
		r.limits = map[string]float64{"called": 2.5}
		services := []string{"called"}
		most := map[int]int{}
		for range 1000 {
			for r.admits(services) {
				r.add(services)
			}
			most[r.running["called"]]++
			r.remove(services)
		}
		assert.Equal(t, len(most), 2)
		assert.Assert(t, most[2] > 350 && most[3] > 350, "%v", most)
	})
}

// TestCallProperties checks with random schedules that each request ends once, and that
// requests of callers never bring the runs that make calls above their limit.
func TestCallProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := drawLimits(t)
		m := &model{
			t: t, gate: NewGate(l), now: start, limits: l,
			phases: map[uint64]phase{}, requests: map[uint64]Request{},
		}
		limit, before := float64(l.Slots), 0
		calling := func() int {
			n := 0
			for id, p := range m.phases {
				if p == phaseRunning && len(m.requests[id].Calls) > 0 {
					n++
				}
			}
			return n
		}
		t.Repeat(map[string]func(*rapid.T){
			"cancel": m.cancel,
			"done":   m.done,
			"limit-runs": func(t *rapid.T) {
				limit = rapid.Float64Range(1, 12).Draw(t, "limit")
				m.apply(m.gate.SetCallLimits(m.now, map[string]float64{"called": limit}))
			},
			"offer": func(t *rapid.T) {
				m.lastID++
				r := Request{
					ID: m.lastID, Class: snapshotter.ClassShort, Firm: "paza",
					Priority: rapid.IntRange(0, 2).Draw(t, "priority"), IsCall: rapid.Bool().Draw(t, "call"),
					Deadline: m.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "remaining-ms")) * time.Millisecond),
				}
				if !r.IsCall && rapid.Bool().Draw(t, "calls") {
					r.Calls = []string{"called"}
				}
				m.requests[r.ID] = r
				d := m.gate.Offer(m.now, r)
				m.apply(d.Changes)
				m.phases[r.ID] = map[Verdict]phase{VerdictAdmitted: phaseRunning, VerdictQueued: phaseWaiting, VerdictRefused: phaseEnded}[d.Verdict]
			},
			"pass-time": m.advance,
			"": func(t *rapid.T) {
				m.check(t)
				n := calling()
				if n > before && float64(n) >= limit+1 {
					t.Fatalf("%d runs make calls, their limit is %.2f", n, limit)
				}
				before = n
			},
		})
	})
}
