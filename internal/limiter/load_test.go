package limiter

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"gentianbarrow.example/internal/retrier"
	"gentianbarrow.example/pkg/snapshotter"
)

// flow is requests of one firm and route that arrive at random moments.
type flow struct {
	firm     string
	firmRate int
	route    string
	priority int
	// perSecond arrive at all gates together, times extra between from and to.
	perSecond, extra float64
	from, to         time.Duration
	work             time.Duration
	// spread is the standard deviation of the logarithm of the work.
	spread             float64
	objective, timeout time.Duration
	// returns is how often a refused caller comes back.
	returns int
}

// tally counts how requests ended.
type tally struct{ asked, inTime, late, refused int }

func (t tally) served() float64     { return float64(t.inTime+t.late) / float64(max(t.asked, 1)) }
func (t tally) servedFast() float64 { return float64(t.inTime) / float64(max(t.asked, 1)) }

type tallyKey struct{ firm, route string }

// callerRequest is a request from its caller's first attempt to its end.
type callerRequest struct {
	flow            *flow
	arrived         time.Time
	work            time.Duration
	tried, returned int
	gate            *loadedGate
	id              uint64
}

type loadedGate struct {
	gate    *Gate
	running map[uint64]*callerRequest
	waiting map[uint64]*callerRequest
}

type loadEvent struct {
	at  time.Time
	seq int
	do  func()
}

type loadEvents []loadEvent

func (e loadEvents) Len() int { return len(e) }
func (e loadEvents) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e loadEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *loadEvents) Push(x any)   { *e = append(*e, x.(loadEvent)) }
func (e *loadEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// load replays flows at gates whose targets all have the same slots. Requests go to a
// random gate, and to two further ones while they are refused.
type load struct {
	now    time.Time
	rnd    *rand.Rand
	gates  []*loadedGate
	events loadEvents
	seq    int
	lastID uint64
	// countFrom and countTo bound the arrivals that are counted.
	countFrom, countTo time.Time
	tallies            map[tallyKey]*tally
}

// replayLoad replays the flows and returns how the requests that arrived between from
// and to ended.
func replayLoad(seed uint64, gates, slots int, flows []flow, length, from, to time.Duration) *load {
	l := &load{now: start, rnd: rand.New(rand.NewPCG(seed, 1)), countFrom: start.Add(from), countTo: start.Add(to), tallies: map[tallyKey]*tally{}}
	limits := Limits{Slots: slots, Connections: 500, Queue: 500, BulkPercent: 100, Order: OrderSoftDeadline, FixedSlots: true, NoRamp: true}
	for range gates {
		l.gates = append(l.gates, &loadedGate{gate: NewGate(limits), running: map[uint64]*callerRequest{}, waiting: map[uint64]*callerRequest{}})
	}
	for i := range flows {
		l.schedule(&flows[i], start.Add(length))
	}
	for len(l.events) > 0 {
		e := heap.Pop(&l.events).(loadEvent)
		l.now = e.at
		e.do()
	}
	return l
}

func (l *load) at(t time.Time, do func()) {
	l.seq++
	heap.Push(&l.events, loadEvent{at: t, seq: l.seq, do: do})
}

// schedule draws the arrivals of a flow at its greatest rate and thins them.
func (l *load) schedule(f *flow, end time.Time) {
	most := f.perSecond * max(f.extra, 1)
	if most == 0 {
		return
	}
	for t := start; ; {
		t = t.Add(time.Duration(l.rnd.ExpFloat64() / most * float64(time.Second)))
		if t.After(end) {
			return
		}
		rate := f.perSecond
		if f.extra > 0 && !t.Before(start.Add(f.from)) && t.Before(start.Add(f.to)) {
			rate *= f.extra
		}
		if l.rnd.Float64()*most < rate {
			work := time.Duration(float64(f.work) * math.Exp(f.spread*l.rnd.NormFloat64()-f.spread*f.spread/2))
			v := &callerRequest{flow: f, arrived: t, work: work}
			l.at(t, func() { l.offer(v) })
		}
	}
}

func (l *load) tally(v *callerRequest) *tally {
	if v.arrived.Before(l.countFrom) || !v.arrived.Before(l.countTo) {
		return &tally{}
	}
	key := tallyKey{v.flow.firm, v.flow.route}
	if l.tallies[key] == nil {
		l.tallies[key] = &tally{}
	}
	return l.tallies[key]
}

// sum adds up the tallies that match; an empty firm or route matches all.
func (l *load) sum(firm, route string) tally {
	var total tally
	for k, t := range l.tallies {
		if (firm == "" || k.firm == firm) && (route == "" || k.route == route) {
			total.asked, total.inTime = total.asked+t.asked, total.inTime+t.inTime
			total.late, total.refused = total.late+t.late, total.refused+t.refused
		}
	}
	return total
}

func (l *load) offer(v *callerRequest) {
	if v.tried == 0 && v.returned == 0 {
		l.tally(v).asked++
	}
	v.gate = l.gates[l.rnd.IntN(len(l.gates))]
	l.lastID++
	v.id = l.lastID
	d := v.gate.gate.Offer(l.now, Request{
		ID: v.id, Class: snapshotter.ClassShort, Firm: v.flow.firm, FirmRate: v.flow.firmRate, Route: v.flow.route, Priority: v.flow.priority,
		SoftDeadline: v.arrived.Add(v.flow.objective), Deadline: v.arrived.Add(v.flow.timeout), WaitPastSoftDeadline: v.tried == 2,
	})
	changes := cloneChanges(d.Changes)
	switch d.Verdict {
	case VerdictAdmitted:
		l.run(v)
	case VerdictQueued:
		v.gate.waiting[v.id] = v
		gate := v.gate
		l.at(d.StartBy, func() { l.apply(gate, cloneChanges(gate.gate.Expire(l.now))) })
	case VerdictRefused:
		l.refused(v, d.RetryAfter)
	}
	l.apply(v.gate, changes)
}

func cloneChanges(c Changes) Changes {
	return Changes{Started: append([]uint64{}, c.Started...), Dropped: append([]Drop{}, c.Dropped...)}
}

func (l *load) apply(g *loadedGate, c Changes) {
	for _, id := range c.Started {
		v := g.waiting[id]
		delete(g.waiting, id)
		l.run(v)
	}
	for _, d := range c.Dropped {
		v := g.waiting[d.ID]
		delete(g.waiting, d.ID)
		l.refused(v, d.RetryAfter)
	}
}

func (l *load) run(v *callerRequest) {
	gate, id := v.gate, v.id
	gate.running[id] = v
	l.at(l.now.Add(v.work), func() {
		delete(gate.running, id)
		taken := l.now.Sub(v.arrived)
		switch {
		case taken <= v.flow.objective:
			l.tally(v).inTime++
		case taken <= v.flow.timeout:
			l.tally(v).late++
		default:
			l.tally(v).refused++
		}
		l.apply(gate, cloneChanges(gate.gate.Done(l.now, id, Result{Outcome: retrier.OutcomeDone})))
	})
}

// refused sends a request to the next gate, or lets its caller come back as it was told,
// within a third of the time that it has left.
func (l *load) refused(v *callerRequest, retryAfter time.Time) {
	if v.tried++; v.tried < 3 {
		l.at(l.now.Add(time.Millisecond), func() { l.offer(v) })
		return
	}
	left := v.arrived.Add(v.flow.timeout).Sub(l.now)
	if v.returned == v.flow.returns || left < v.work {
		l.tally(v).refused++
		return
	}
	v.tried, v.returned = 0, v.returned+1
	wait := min(max(retryAfter.Sub(l.now), 0), left/3)
	l.at(l.now.Add(wait), func() { l.offer(v) })
}
