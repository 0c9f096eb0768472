package limiter

import (
	"slices"
	"time"
)

// waitingRequest is a request in the queue.
type waitingRequest struct {
	id       uint64
	class    class
	firm     string
	route    string
	priority int
	// softDeadline is zero if unknown.
	softDeadline time.Time
	deadline     time.Time
	// startBy is when the request is dropped; not after deadline.
	startBy time.Time
	// waitPastSoftDeadline is set if the request is tried at no further target.
	waitPastSoftDeadline bool
	// expected is the service time that was expected when the request was offered; 0 if unknown.
	expected time.Duration
	// use and kind are what the gate knows of the request's firm and kind; nil if nothing.
	use  *firmUse
	kind *kind
	// arrived is when the request came.
	arrived time.Time
	// calls lists the services that its run is expected to call.
	calls []string
}

// isCall reports whether a run at a target waits for the answer.
func (w *waitingRequest) isCall() bool { return w.priority == callRank }

// queue holds the waiting requests of each class in order of arrival. It is
// short, so a linear search is enough.
type queue struct {
	order Order
	// maxWaiting bounds urgent and short requests together, maxBulkWaiting bulk ones.
	maxWaiting, maxBulkWaiting int
	byClass                    [classCount][]waitingRequest
	// counts of the waiting requests.
	counts requestCounts
}

func newQueue(l Limits) queue {
	q := queue{counts: newRequestCounts()}
	q.setLimits(l)
	return q
}

func (q *queue) setLimits(l Limits) {
	q.order = l.Order
	q.maxBulkWaiting = l.Queue * l.BulkPercent / 100
	if l.Queue > 1 {
		q.maxBulkWaiting = min(max(q.maxBulkWaiting, 1), l.Queue/2)
	}
	q.maxWaiting = l.Queue - q.maxBulkWaiting
}

// resize sets the limits and removes and returns the waiting requests that exceed
// them, the newest of each class first.
func (q *queue) resize(l Limits) []waitingRequest {
	q.setLimits(l)
	var evicted []waitingRequest
	for _, c := range []class{bulk, short, urgent} {
		for q.isOverLimit(c) && len(q.byClass[c]) > 0 {
			w := q.byClass[c][len(q.byClass[c])-1]
			q.remove(w.id)
			evicted = append(evicted, w)
		}
	}
	return evicted
}

func (q *queue) clear() []waitingRequest {
	all := slices.Concat(q.byClass[urgent], q.byClass[short], q.byClass[bulk])
	for _, w := range all {
		q.remove(w.id)
	}
	return all
}

func (q *queue) len() int { return q.counts.total }

// waitingIn counts the waiting requests that share a limit with the class.
func (q *queue) waitingIn(c class) int {
	if c == bulk {
		return q.counts.byClass[bulk]
	}
	return q.counts.byClass[urgent] + q.counts.byClass[short]
}

// countFirms counts the firms that have waiting requests of the class, always
// including the given one.
func (q *queue) countFirms(c class, firm string) int {
	n := 1
	for key := range q.counts.byFirm {
		if key.class == c && key.firm != firm {
			n++
		}
	}
	return n
}

func (q *queue) maxWaitingIn(c class) int {
	if c == bulk {
		return q.maxBulkWaiting
	}
	return q.maxWaiting
}

func (q *queue) hasSpace(c class) bool { return q.waitingIn(c) < q.maxWaitingIn(c) }

func (q *queue) isOverLimit(c class) bool { return q.waitingIn(c) > q.maxWaitingIn(c) }

func (q *queue) contains(id uint64) bool {
	for c := range q.byClass {
		if q.indexOf(class(c), id) >= 0 {
			return true
		}
	}
	return false
}

func (q *queue) indexOf(c class, id uint64) int {
	for i := range q.byClass[c] {
		if q.byClass[c][i].id == id {
			return i
		}
	}
	return -1
}

func (q *queue) push(w waitingRequest) {
	q.byClass[w.class] = append(q.byClass[w.class], w)
	q.counts.add(w.class, w.firm, w.isCall())
}

func (q *queue) remove(id uint64) bool {
	_, ok := q.take(id)
	return ok
}

// take removes a waiting request and returns it.
func (q *queue) take(id uint64) (waitingRequest, bool) {
	for c := range q.byClass {
		i := q.indexOf(class(c), id)
		if i < 0 {
			continue
		}
		w := q.byClass[c][i]
		q.byClass[c] = slices.Delete(q.byClass[c], i, i+1)
		q.counts.remove(w.class, w.firm, w.isCall())
		return w, true
	}
	return waitingRequest{}, false
}

// expired returns a waiting request whose startBy has passed.
func (q *queue) expired(now time.Time) (waitingRequest, bool) {
	for c := range q.byClass {
		for i := range q.byClass[c] {
			if w := &q.byClass[c][i]; !now.Before(w.startBy) {
				return *w, true
			}
		}
	}
	return waitingRequest{}, false
}

// next returns the waiting request that starts next, if there is a slot for any. Those
// that are not eligible are passed over.
func (q *queue) next(available capacity, running *requestCounts, eligible func(*waitingRequest) bool) (waitingRequest, bool) {
	if q.counts.total == 0 {
		return waitingRequest{}, false
	}
	for _, c := range available.startOrder(*running) {
		if len(q.byClass[c]) == 0 || !available.admits(c, *running) {
			continue
		}
		priority, found := q.nextPriority(c, available.defersCalls(*running), eligible)
		if found {
			may := func(w *waitingRequest) bool { return w.priority == priority && eligible(w) }
			return q.nextOfFirm(c, q.leastServedFirm(c, running, may), may), true
		}
	}
	return waitingRequest{}, false
}

// leastServedFirm returns the firm that runs the fewest requests of the class
// among those with a waiting request that may start. Ties go to the firm whose
// request arrived first.
func (q *queue) leastServedFirm(c class, running *requestCounts, may func(*waitingRequest) bool) string {
	firm, fewest := "", -1
	for i := range q.byClass[c] {
		w := &q.byClass[c][i]
		if !may(w) {
			continue
		}
		if n := running.byFirm[firmClass{c, w.firm}]; fewest < 0 || n < fewest {
			firm, fewest = w.firm, n
		}
	}
	return firm
}

// nextPriority returns the most urgent priority among the eligible waiting requests of a
// class; false if there are none. If calls are deferred it is that of callers' requests,
// unless only calls wait.
func (q *queue) nextPriority(c class, callsDeferred bool, eligible func(*waitingRequest) bool) (priority int, found bool) {
	for i := range q.byClass[c] {
		w := &q.byClass[c][i]
		if !eligible(w) {
			continue
		}
		isBetter := !found || w.priority < priority
		if callsDeferred && found && (w.isCall() || priority == callRank) {
			isBetter = priority == callRank
		}
		if isBetter {
			priority, found = w.priority, true
		}
	}
	return priority, found
}

// countAhead counts the firm's waiting requests of the class that start before r.
func (q *queue) countAhead(c class, r *waitingRequest) int {
	n := 0
	for i := range q.byClass[c] {
		w := &q.byClass[c][i]
		if w.firm == r.firm && (w.priority < r.priority || w.priority == r.priority && !q.startsBefore(r, w)) {
			n++
		}
	}
	return n
}

// inStartOrder returns the waiting requests of a class by priority and, within one,
// in the queue's order.
func (q *queue) inStartOrder(c class) []waitingRequest {
	list := slices.Clone(q.byClass[c])
	if q.order == OrderLIFO {
		slices.Reverse(list)
	}
	slices.SortStableFunc(list, func(a, b waitingRequest) int {
		switch {
		case a.priority != b.priority:
			return a.priority - b.priority
		case q.startsBefore(&a, &b):
			return -1
		case q.startsBefore(&b, &a):
			return 1
		}
		return 0
	})
	return list
}

// nextOfFirm returns the firm's request that may start and comes first in the queue's
// order.
func (q *queue) nextOfFirm(c class, firm string, may func(*waitingRequest) bool) waitingRequest {
	lifo := q.order == OrderLIFO
	var best waitingRequest
	found := false
	for _, w := range q.byClass[c] {
		if w.firm != firm || !may(&w) {
			continue
		}
		if !found || lifo || q.startsBefore(&w, &best) {
			best, found = w, true
		}
	}
	return best
}

// startsBefore reports whether a request starts before one that arrived earlier.
func (q *queue) startsBefore(w, other *waitingRequest) bool {
	switch q.order {
	case OrderDeadline:
		return w.deadline.Before(other.deadline)
	case OrderSoftDeadline:
		return w.softDeadline.Before(other.softDeadline)
	default:
		return false
	}
}

// victim returns the waiting request that is evicted for a new one: one of a
// less urgent class or priority, or of a firm with more waiting requests, or, in
// LIFO order, the firm's own oldest.
func (q *queue) victim(c class, firm string, priority int) (waitingRequest, bool) {
	if c == urgent && len(q.byClass[short]) > 0 {
		return q.lastOfLargestFirm(short), true
	}
	if len(q.byClass[c]) == 0 {
		return waitingRequest{}, false
	}
	if w := q.leastUrgent(c); w.priority > priority {
		return w, true
	}
	ownWaiting := q.counts.byFirm[firmClass{c, firm}]
	candidate := q.lastOfLargestFirm(c)
	if candidate.firm != firm && q.counts.byFirm[firmClass{c, candidate.firm}] > ownWaiting+1 {
		return candidate, true
	}
	if q.order == OrderLIFO && ownWaiting > 0 {
		return q.oldestOfFirm(c, firm), true
	}
	return waitingRequest{}, false
}

// leastUrgent returns the newest of the class's requests with the least urgent priority.
func (q *queue) leastUrgent(c class) waitingRequest {
	found := q.byClass[c][0]
	for _, w := range q.byClass[c][1:] {
		if w.priority >= found.priority {
			found = w
		}
	}
	return found
}

// lastOfLargestFirm returns a request of the firm with the most waiting requests
// of the class: the oldest in LIFO order, the newest otherwise.
func (q *queue) lastOfLargestFirm(c class) waitingRequest {
	list := q.byClass[c]
	firm, most := "", 0
	for _, w := range list {
		if n := q.counts.byFirm[firmClass{c, w.firm}]; n > most {
			firm, most = w.firm, n
		}
	}
	if q.order == OrderLIFO {
		return q.oldestOfFirm(c, firm)
	}
	i := len(list) - 1
	for list[i].firm != firm {
		i--
	}
	return list[i]
}

func (q *queue) oldestOfFirm(c class, firm string) waitingRequest {
	i := slices.IndexFunc(q.byClass[c], func(w waitingRequest) bool { return w.firm == firm })
	return q.byClass[c][i]
}
