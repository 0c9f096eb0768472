package limiter

import (
	"cmp"
	"slices"
	"time"
)

// serviceMargin times its expected service time is what a request must have left to count as
// one that meets its soft deadline. With the mean alone, half of those that wait to the
// last moment would miss it and take the room of others that miss it next.
const serviceMargin = 1.5

// rank orders the waiting requests of a class where the order is OrderSoftDeadline: calls
// before requests of callers, then by priority, then by how far their firm is beyond its
// part, then by whether they can still meet their soft deadline, then by soft deadline.
// Requests of a starved kind go first among those of callers.
type rank struct {
	// goesFirst is set for calls, or for the others while calls are deferred.
	goesFirst    bool
	isStarved    bool
	priority     int
	excess       int
	isLate       bool
	softDeadline time.Time
}

// compare returns a negative number if a goes before b.
func (a *rank) compare(b *rank) int {
	switch {
	case a.goesFirst != b.goesFirst:
		return compareBools(b.goesFirst, a.goesFirst)
	case a.isStarved != b.isStarved:
		return compareBools(b.isStarved, a.isStarved)
	case a.priority != b.priority:
		return cmp.Compare(a.priority, b.priority)
	case a.excess != b.excess:
		return cmp.Compare(a.excess, b.excess)
	case a.isLate != b.isLate:
		return compareBools(a.isLate, b.isLate)
	}
	return a.softDeadline.Compare(b.softDeadline)
}

// compareBools orders false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// room is what a gate knows of the use of its target by firm and kind.
type room struct {
	decay  decay
	parts  fairParts
	demand demand
}

func newRoom() room { return room{parts: newFairParts()} }

// advance moves the clock of the sums and drops what is long unused.
func (m *room) advance(now time.Time) {
	if by := m.decay.advance(now); by != 1 {
		m.parts.rescale(by)
		m.demand.rescale(by)
	}
	if m.parts.forget(now) {
		m.demand.forget(m.decay.factor)
	}
}

func (m *room) rank(now time.Time, w *waitingRequest) rank {
	r := rank{goesFirst: w.isCall(), priority: w.priority, excess: m.parts.excess(w.use, m.decay.factor), softDeadline: w.softDeadline}
	r.isLate = !w.softDeadline.IsZero() && now.Add(time.Duration(serviceMargin*float64(w.expected))).After(w.softDeadline)
	r.isStarved = w.kind != nil && w.kind.isStarved
	return r
}

// recordArrival counts an offered request and adds what is known of its firm and kind. A
// call counts for no firm.
func (m *room) recordArrival(now time.Time, w *waitingRequest, rate int) {
	if !w.isCall() {
		w.use = m.parts.firm(now, w.firm, rate)
	}
	w.kind = m.demand.kindOf(w.class, w.route, w.priority)
	patience := time.Duration(0)
	if !w.softDeadline.IsZero() {
		patience = w.softDeadline.Sub(now) - w.expected
	}
	m.demand.recordArrival(w.kind, m.decay.factor, w.expected, patience)
}

func (m *room) recordWaiting(w *waitingRequest, change int) {
	if w.use != nil {
		w.use.waiting += change
	}
	if w.kind != nil {
		w.kind.waiting += change
	}
}

func (m *room) recordStart(run *runningRequest) {
	m.parts.recordStart(run.use, m.decay.factor, run.expected)
	m.demand.recordStart(run.kind, m.decay.factor, run.expected)
}

// recordEnd records the end of a request; running counts those that still run.
func (m *room) recordEnd(run *runningRequest, running int) {
	if run.use != nil {
		run.use.running--
	}
	m.demand.recordEnd(run.kind, run.expected, running)
}

// next returns the waiting request of the class that ranks first among those that are
// eligible and leave room for more urgent ones. If calls are deferred they go last.
func (m *room) next(now time.Time, list []waitingRequest, slots int, callsDeferred bool, eligible func(*waitingRequest) bool) (waitingRequest, bool) {
	m.demand.prepare(m.decay.factor, slots)
	best, bestRank := -1, rank{}
	for i := range list {
		if k := list[i].kind; k != nil && k.isHeld || !eligible(&list[i]) {
			continue
		}
		r := m.rank(now, &list[i])
		r.goesFirst = r.goesFirst != callsDeferred
		if best < 0 || r.compare(&bestRank) < 0 {
			best, bestRank = i, r
		}
	}
	if best < 0 {
		return waitingRequest{}, false
	}
	return list[best], true
}

// ahead counts the waiting requests that rank before w, or equally and earlier, and sums
// their service times.
func (m *room) ahead(now time.Time, list []waitingRequest, w *waitingRequest) (n int, work time.Duration) {
	own := m.rank(now, w)
	for i := range list {
		if r := m.rank(now, &list[i]); r.compare(&own) <= 0 && list[i].id != w.id {
			n++
			work += list[i].expected
		}
	}
	return n, work
}

// inOrder returns the waiting requests in the order in which they would start.
func (m *room) inOrder(now time.Time, list []waitingRequest) []waitingRequest {
	sorted := slices.Clone(list)
	slices.SortStableFunc(sorted, func(a, b waitingRequest) int {
		ra, rb := m.rank(now, &a), m.rank(now, &b)
		return ra.compare(&rb)
	})
	return sorted
}

// last returns the waiting request that ranks last, the newest of equals.
func (m *room) last(now time.Time, list []waitingRequest) (waitingRequest, rank) {
	last, lastRank := 0, m.rank(now, &list[0])
	for i := range list[1:] {
		if r := m.rank(now, &list[i+1]); r.compare(&lastRank) >= 0 {
			last, lastRank = i+1, r
		}
	}
	return list[last], lastRank
}
