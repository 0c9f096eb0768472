package limiter

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"gentianbarrow.example/internal/retrier"
	_ "gentianbarrow.example/internal/seeder"
	"gentianbarrow.example/pkg/snapshotter"
)

// phase is the state of a request in the model.
type phase string

const (
	phaseWaiting phase = "waiting"
	phaseRunning phase = "running"
	phaseEnded   phase = "ended"
)

// model follows a gate through a random schedule and checks its invariants.
type model struct {
	t      *rapid.T
	gate   *Gate
	now    time.Time
	limits Limits
	// mayExceedLimits is true while requests admitted under higher limits may still run.
	mayExceedLimits bool
	phases          map[uint64]phase
	requests        map[uint64]Request
	lastID          uint64
}

func drawLimits(t *rapid.T) Limits {
	slots := rapid.IntRange(1, 12).Draw(t, "slots")
	return Limits{
		Slots:       slots,
		Connections: rapid.IntRange(1, 20).Draw(t, "connections"),
		Queue:       rapid.IntRange(0, 10).Draw(t, "queue"),
		BulkPercent: rapid.IntRange(1, 100).Draw(t, "bulk-percent"),
		UrgentSlots: rapid.IntRange(0, slots-1).Draw(t, "urgent-slots"),
		Order:       rapid.SampledFrom([]Order{OrderFIFO, OrderLIFO, OrderDeadline}).Draw(t, "order"),
	}
}

func (m *model) count(p phase, c snapshotter.Class) int {
	n := 0
	for id, q := range m.phases {
		if q == p && (c == "" || m.requests[id].Class == c) {
			n++
		}
	}
	return n
}

func (m *model) transition(id uint64, from, to phase) {
	if m.phases[id] != from {
		m.t.Fatalf("request %d went to %s from %s, not from %s", id, to, m.phases[id], from)
	}
	m.phases[id] = to
}

func (m *model) apply(c Changes) {
	for _, d := range c.Dropped {
		m.transition(d.ID, phaseWaiting, phaseEnded)
	}
	for _, id := range c.Started {
		m.transition(id, phaseWaiting, phaseRunning)
	}
}

func (m *model) offer(t *rapid.T) {
	m.lastID++
	r := Request{
		ID:       m.lastID,
		Class:    rapid.SampledFrom([]snapshotter.Class{snapshotter.ClassUrgent, snapshotter.ClassShort, snapshotter.ClassBulk}).Draw(t, "class"),
		Firm:     rapid.SampledFrom([]string{"paza", "frothvik", "third"}).Draw(t, "firm"),
		Deadline: m.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "remaining-ms")) * time.Millisecond),
	}
	m.requests[r.ID] = r
	d := m.gate.Offer(m.now, r)
	m.apply(d.Changes)
	switch d.Verdict {
	case VerdictAdmitted:
		m.phases[r.ID] = phaseRunning
	case VerdictQueued:
		m.phases[r.ID] = phaseWaiting
	case VerdictRefused:
		m.phases[r.ID] = phaseEnded
	}
	m.checkUrgent(r, d)
}

// checkUrgent checks that an urgent request is admitted while its reserved slots are free.
func (m *model) checkUrgent(r Request, d Decision) {
	if r.Class != snapshotter.ClassUrgent || d.Verdict == VerdictAdmitted || d.Reason == ReasonMissesDeadline || m.mayExceedLimits {
		return
	}
	reserved := min(m.limits.UrgentSlots, m.limits.Connections-1)
	if m.count(phaseRunning, snapshotter.ClassUrgent) < reserved && m.limits.Connections >= m.limits.Slots {
		m.t.Fatalf("urgent request was %s (%s) although a reserved slot is free", d.Verdict, d.Reason)
	}
}

func (m *model) drawRequest(t *rapid.T, p phase) (uint64, bool) {
	var ids []uint64
	for id := uint64(1); id <= m.lastID; id++ {
		if m.phases[id] == p {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return 0, false
	}
	return rapid.SampledFrom(ids).Draw(t, string(p)), true
}

func (m *model) done(t *rapid.T) {
	id, ok := m.drawRequest(t, phaseRunning)
	if !ok {
		t.Skip("no request is running")
	}
	m.transition(id, phaseRunning, phaseEnded)
	o := rapid.SampledFrom([]retrier.Outcome{retrier.OutcomeDone, retrier.OutcomeNotRun, retrier.OutcomeUnknown}).Draw(t, "outcome")
	m.apply(m.gate.Done(m.now, id, Result{Outcome: o, Shed: o == retrier.OutcomeNotRun}))
}

// repeatDone calls Done for a request that has ended, which must have no effect.
func (m *model) repeatDone(t *rapid.T) {
	id, ok := m.drawRequest(t, phaseEnded)
	if !ok {
		t.Skip("no request has ended")
	}
	before := m.gate.Load(m.now).InFlight
	m.apply(m.gate.Done(m.now, id, Result{Outcome: retrier.OutcomeDone}))
	if after := m.gate.Load(m.now).InFlight; after != before {
		t.Fatalf("a second completion changed the count in flight from %d to %d", before, after)
	}
}

func (m *model) cancel(t *rapid.T) {
	id, ok := m.drawRequest(t, phaseWaiting)
	if !ok {
		t.Skip("no request is waiting")
	}
	changes, waiting := m.gate.Cancel(m.now, id)
	if !waiting {
		t.Fatalf("waiting request %d was not found", id)
	}
	m.transition(id, phaseWaiting, phaseEnded)
	m.apply(changes)
}

func (m *model) advance(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
	m.apply(m.gate.Expire(m.now))
}

func (m *model) changeLimits(t *rapid.T) {
	m.limits = drawLimits(t)
	m.mayExceedLimits = true
	m.apply(m.gate.SetLimits(m.now, m.limits))
}

func (m *model) drain(*rapid.T) {
	m.apply(m.gate.Drain(m.now))
	if n := m.count(phaseWaiting, ""); n != 0 {
		m.t.Fatalf("%d requests still wait after a drain", n)
	}
	m.gate.Resume(m.now)
	m.mayExceedLimits = true
}

// check compares the gate with the model after each step.
func (m *model) check(t *rapid.T) {
	running, bulkRunning := m.count(phaseRunning, ""), m.count(phaseRunning, snapshotter.ClassBulk)
	if l := m.gate.Load(m.now); l.InFlight != running || l.Queued != m.count(phaseWaiting, "") {
		t.Fatalf("the gate counts %+v, the model %d and %d", l, running, m.count(phaseWaiting, ""))
	}
	if running <= m.limits.Slots && bulkRunning <= bulkShare(m.limits) {
		m.mayExceedLimits = m.mayExceedLimits && running > 0
	}
	if m.mayExceedLimits {
		return
	}
	if running > min(m.limits.Slots, m.limits.Connections) {
		t.Fatalf("%d requests run in %d slots", running, m.limits.Slots)
	}
	if bulkRunning > bulkShare(m.limits) {
		t.Fatalf("%d bulk requests run, their share is %d", bulkRunning, bulkShare(m.limits))
	}
	if n := m.count(phaseWaiting, ""); n > m.limits.Queue {
		t.Fatalf("%d requests wait, the queue size is %d", n, m.limits.Queue)
	}
}

func bulkShare(l Limits) int { return max(l.Slots*l.BulkPercent/100, 1) }

func TestGateProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := drawLimits(t)
		m := &model{
			t: t, gate: NewGate(l), now: start, limits: l,
			phases: map[uint64]phase{}, requests: map[uint64]Request{},
		}
		// rapid sorts the keys: a renamed key must keep its position, or a seed plays another schedule.
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
			"":             m.check,
		})
	})
}
