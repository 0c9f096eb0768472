package limiter

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"gentianbarrow.example/pkg/snapshotter"
)

// rankedModel follows a gate that starts requests by rank.
type rankedModel struct{ model }

func drawRankedLimits(t *rapid.T) Limits {
	l := drawLimits(t)
	l.Order, l.FixedSlots, l.NoRamp = OrderSoftDeadline, true, true
	return l
}

func (m *rankedModel) offer(t *rapid.T) {
	m.lastID++
	left := time.Duration(rapid.IntRange(1, 5_000).Draw(t, "remaining-ms")) * time.Millisecond
	r := Request{
		ID: m.lastID, Class: snapshotter.ClassShort,
		Firm:     rapid.SampledFrom([]string{"", "paza", "frothvik", "third"}).Draw(t, "firm"),
		FirmRate: rapid.IntRange(0, 3).Draw(t, "rate"),
		Route:    rapid.SampledFrom([]string{"", "read", "report"}).Draw(t, "route"),
		Priority: rapid.IntRange(0, 2).Draw(t, "priority"),
		Deadline: m.now.Add(left), SoftDeadline: m.now.Add(left / 3),
		WaitPastSoftDeadline: rapid.Bool().Draw(t, "patient"),
		NoWait:               rapid.IntRange(0, 9).Draw(t, "no-wait") == 0,
	}
	m.requests[r.ID] = r
	d := m.gate.Offer(m.now, r)
	m.apply(d.Changes)
	m.phases[r.ID] = map[Verdict]phase{VerdictAdmitted: phaseRunning, VerdictQueued: phaseWaiting, VerdictRefused: phaseEnded}[d.Verdict]
	if d.Verdict == VerdictRefused && d.RetryAfter.Before(m.now) {
		t.Fatalf("a refused caller is told to return %s ago", m.now.Sub(d.RetryAfter))
	}
}

func (m *rankedModel) changeLimits(t *rapid.T) {
	m.limits = drawRankedLimits(t)
	m.mayExceedLimits = true
	m.apply(m.gate.SetLimits(m.now, m.limits))
}

// check compares the gate with the model, and the counts by firm and kind with the requests.
func (m *rankedModel) check(t *rapid.T) {
	m.model.check(t)
	running, waiting := 0, 0
	for _, k := range m.gate.room.demand.kinds {
		if k.running < 0 || k.waiting < 0 {
			t.Fatalf("kind %s %d counts %d running and %d waiting", k.route, k.priority, k.running, k.waiting)
		}
		running, waiting = running+k.running, waiting+k.waiting
	}
	if running != m.count(phaseRunning, "") || waiting != m.count(phaseWaiting, "") {
		t.Fatalf("the kinds count %d running and %d waiting, the model %d and %d", running, waiting, m.count(phaseRunning, ""), m.count(phaseWaiting, ""))
	}
	if m.gate.room.demand.releaseRate < 0 || len(m.gate.room.parts.firms) > 3 {
		t.Fatalf("release rate %f, %d firms", m.gate.room.demand.releaseRate, len(m.gate.room.parts.firms))
	}
}

// checkNoneIdle checks that no request waits while nothing runs.
func (m *rankedModel) checkNoneIdle(t *rapid.T) {
	m.apply(m.gate.Expire(m.now))
	if m.count(phaseRunning, "") == 0 && m.count(phaseWaiting, "") > 0 {
		t.Fatalf("%d requests wait while the target is idle", m.count(phaseWaiting, ""))
	}
}

func TestRankedGateProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := drawRankedLimits(t)
		m := &rankedModel{model{
			t: t, gate: NewGate(l), now: start, limits: l,
			phases: map[uint64]phase{}, requests: map[uint64]Request{},
		}}
		t.Repeat(map[string]func(*rapid.T){
			"offer":        m.offer,
			"offer-2":      m.offer,
			"offer-3":      m.offer,
			"done":         m.done,
			"already-done": m.repeatDone,
			"cancel":       m.cancel,
			"pass-time":    m.advance,
			"set-limits":   m.changeLimits,
			"drain":        m.drain,
			"idle":         m.checkNoneIdle,
			"":             m.check,
		})
	})
}

// TestNoKindStarves draws loads that need more than all slots, and checks that no kind of
// request is served less than a quarter as often as all.
func TestNoKindStarves(t *testing.T) {
	for seed := range uint64(16) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(seed, 2))
			var flows []flow
			for i := range 2 + rnd.IntN(3) {
				work := time.Duration(20+rnd.IntN(800)) * time.Millisecond
				objective := work * time.Duration(3+rnd.IntN(6))
				flows = append(flows, flow{
					firm: "firm", route: fmt.Sprintf("route-%d", i), priority: i, perSecond: (0.2 + rnd.Float64()) * 18 / work.Seconds(),
					work: work, spread: 0.3, objective: objective, timeout: 3 * objective, returns: rnd.IntN(3),
				})
			}
			l := replayLoad(seed, 1, 18, flows, 16*time.Second, 4*time.Second, 14*time.Second)
			all := l.sum("", "")
			for i := range flows {
				own := l.sum("", flows[i].route)
				assert.Assert(t, own.served() >= all.served()/4, "kind %d of %+v: %+v, all %+v", i, flows, own, all)
			}
		})
	}
}

func TestStateIsBounded(t *testing.T) {
	g := NewGate(softDeadlineLimits())
	for id := range uint64(20_000) {
		r := softDeadlineRequest(id+1, fmt.Sprintf("route-%d", id%100), int(id%7), 60_000)
		r.Firm, r.FirmRate = fmt.Sprintf("firm-%d", id), 1
		g.Offer(at(int(id)), r)
		g.Done(at(int(id)), r.ID, done())
	}
	if n := len(g.room.parts.firms); n > maxTrackedFirms {
		t.Fatalf("%d firms are tracked", n)
	}
	if n := len(g.room.demand.kinds); n > maxKinds {
		t.Fatalf("%d kinds are tracked", n)
	}
	g.Expire(at(20_000 + 60_000))
	if n := len(g.room.parts.firms); n != 0 {
		t.Fatalf("%d firms are remembered after a minute without requests", n)
	}
}
