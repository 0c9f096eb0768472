package experimenter

import (
	"time"

	"gentianbarrow.example/internal/limiter"
	"gentianbarrow.example/internal/retrier"
)

// reply is what a target's node answers.
type reply struct {
	outcome    retrier.Outcome
	load       limiter.Load
	retryAfter time.Time
}

// visit is a request at a target's node.
type visit struct {
	id      uint64
	request *call
	work    time.Duration
	job     *job
	answer  func(reply)
}

// instance is a target and its node.
type instance struct {
	loop      *loop
	spec      Target
	limits    limiter.Limits
	admission Admission
	gate      *limiter.Gate
	processor *processor
	visits    map[uint64]*visit
	// queue of AdmitFIFO.
	queue  []*visit
	lastID uint64
	report *Report
	index  int
}

func newInstance(l *loop, s *Scenario, index int, r *Report) *instance {
	n := &instance{
		loop: l, spec: s.Targets[index], limits: s.Limits, admission: s.Admission,
		gate: limiter.NewGate(s.Limits), processor: newProcessor(l, s.Limits.Slots),
		visits: map[uint64]*visit{}, report: r, index: index,
	}
	if ready := n.spec.Ready; !ready.IsZero() {
		n.gate.SetReadySince(ready)
	}
	capacity := float64(s.Limits.Slots)
	for _, spell := range n.spec.Spells {
		l.at(spell.From, func() { n.processor.set(spell.Slowness, capacity/spell.Loss, spell.Thrash) })
		l.at(spell.Until, func() { n.processor.set(1, capacity, 0) })
	}
	return n
}

// receive takes a request that has arrived and returns it for a later cancel.
func (n *instance) receive(c *call, work time.Duration, answer func(reply)) *visit {
	n.lastID++
	n.report.Attempts++
	v := &visit{id: n.lastID, request: c, work: work, answer: answer}
	n.visits[v.id] = v
	switch n.admission {
	case AdmitGate:
		n.offer(v)
	case AdmitFIFO:
		n.queue = append(n.queue, v)
		n.startQueued()
	case AdmitAll:
		if len(n.processor.jobs) >= n.limits.Connections {
			n.end(v, retrier.OutcomeNotRun, time.Time{})
			break
		}
		n.start(v)
	}
	return v
}

func (n *instance) offer(v *visit) {
	now := n.loop.now
	d := n.gate.Offer(now, limiter.Request{
		ID: v.id, Class: v.request.flow.Class, Firm: v.request.flow.Firm, Deadline: v.request.deadline,
	})
	n.apply(d.Changes)
	switch d.Verdict {
	case limiter.VerdictAdmitted:
		n.start(v)
	case limiter.VerdictQueued:
		n.loop.at(d.StartBy, func() { n.apply(n.gate.Expire(n.loop.now)) })
	case limiter.VerdictRefused:
		n.end(v, retrier.OutcomeNotRun, d.RetryAfter)
	}
}

func (n *instance) apply(c limiter.Changes) {
	started, dropped := append([]uint64{}, c.Started...), append([]limiter.Drop{}, c.Dropped...)
	for _, id := range started {
		n.start(n.visits[id])
	}
	for _, d := range dropped {
		n.end(n.visits[d.ID], retrier.OutcomeNotRun, d.RetryAfter)
	}
}

func (n *instance) start(v *visit) {
	n.report.Runs++
	n.report.RunsByTarget[n.index]++
	v.job = n.processor.add(v.work, func() { n.finish(v, retrier.OutcomeDone) })
}

func (n *instance) finish(v *visit, o retrier.Outcome) {
	if n.admission == AdmitGate {
		n.apply(n.gate.Done(n.loop.now, v.id, limiter.Result{Outcome: o}))
	}
	n.end(v, o, time.Time{})
	n.startQueued()
}

func (n *instance) startQueued() {
	for n.admission == AdmitFIFO && len(n.queue) > 0 && len(n.processor.jobs) < n.limits.Slots {
		v := n.queue[0]
		n.queue = n.queue[1:]
		n.start(v)
	}
}

// cancel ends a visit whose answer nobody waits for any more.
func (n *instance) cancel(v *visit) {
	if n.visits[v.id] == nil {
		return
	}
	if v.job != nil {
		n.processor.remove(v.job)
		n.finish(v, retrier.OutcomeUnknown)
		return
	}
	if n.admission != AdmitGate {
		return
	}
	changes, _ := n.gate.Cancel(n.loop.now, v.id)
	n.apply(changes)
	n.end(v, retrier.OutcomeNotRun, time.Time{})
}

func (n *instance) end(v *visit, o retrier.Outcome, retryAfter time.Time) {
	if n.visits[v.id] == nil {
		return
	}
	delete(n.visits, v.id)
	v.answer(reply{outcome: o, load: n.load(), retryAfter: retryAfter})
}

func (n *instance) load() limiter.Load {
	if n.spec.Lies {
		return limiter.Load{Slots: n.limits.Slots, Service: time.Microsecond}
	}
	if n.admission == AdmitGate {
		return n.gate.Load(n.loop.now)
	}
	return limiter.Load{Slots: n.limits.Slots, InFlight: len(n.processor.jobs), Queued: len(n.queue)}
}
