package limiter

import (
	"slices"
	"time"
)

// waiting is a request in the queue.
type waiting struct {
	id       uint64
	class    class
	firm     string
	route    string
	priority int
	// aim is zero when nothing is known of it.
	aim      time.Time
	deadline time.Time
	// startBy is when the request is dropped; not after deadline.
	startBy time.Time
}

// queue holds the waiting requests of each class in order of arrival. It is
// short, so it is searched from end to end.
type queue struct {
	order Order
	// places for urgent and short requests together, and for bulk ones.
	places, bulkPlaces int
	byClass            [classes][]waiting
	// tally counts the waiting requests.
	tally tally
}

func newQueue(l Limits) queue {
	q := queue{tally: newTally()}
	q.setPlaces(l)
	return q
}

func (q *queue) setPlaces(l Limits) {
	q.order = l.Order
	q.bulkPlaces = l.Queue * l.BulkPercent / 100
	if l.Queue > 1 {
		q.bulkPlaces = min(max(q.bulkPlaces, 1), l.Queue/2)
	}
	q.places = l.Queue - q.bulkPlaces
}

// resize sets the places and returns the waiting requests that lost theirs, the newest first.
func (q *queue) resize(l Limits) []waiting {
	q.setPlaces(l)
	var lost []waiting
	for _, c := range []class{bulk, short, urgent} {
		for q.overfull(c) && len(q.byClass[c]) > 0 {
			w := q.byClass[c][len(q.byClass[c])-1]
			q.remove(w.id)
			lost = append(lost, w)
		}
	}
	return lost
}

func (q *queue) clear() []waiting {
	all := slices.Concat(q.byClass[urgent], q.byClass[short], q.byClass[bulk])
	for _, w := range all {
		q.remove(w.id)
	}
	return all
}

func (q *queue) len() int { return q.tally.total }

// lenOf counts the waiting requests that share places with the class.
func (q *queue) lenOf(c class) int {
	if c == bulk {
		return q.tally.classes[bulk]
	}
	return q.tally.classes[urgent] + q.tally.classes[short]
}

// firms counts the firms that have requests of the class waiting, the given one included.
func (q *queue) firms(c class, firm string) int {
	n := 1
	for key := range q.tally.firms {
		if key.class == c && key.firm != firm {
			n++
		}
	}
	return n
}

func (q *queue) placesOf(c class) int {
	if c == bulk {
		return q.bulkPlaces
	}
	return q.places
}

func (q *queue) hasPlace(c class) bool { return q.lenOf(c) < q.placesOf(c) }

func (q *queue) overfull(c class) bool { return q.lenOf(c) > q.placesOf(c) }

func (q *queue) holds(id uint64) bool {
	for c := range q.byClass {
		if q.find(class(c), id) >= 0 {
			return true
		}
	}
	return false
}

func (q *queue) find(c class, id uint64) int {
	return slices.IndexFunc(q.byClass[c], func(w waiting) bool { return w.id == id })
}

func (q *queue) push(w waiting) {
	q.byClass[w.class] = append(q.byClass[w.class], w)
	q.tally.add(w.class, w.firm)
}

func (q *queue) remove(id uint64) bool {
	for c := range q.byClass {
		i := q.find(class(c), id)
		if i < 0 {
			continue
		}
		w := q.byClass[c][i]
		q.byClass[c] = slices.Delete(q.byClass[c], i, i+1)
		q.tally.remove(w.class, w.firm)
		return true
	}
	return false
}

// due returns a waiting request whose time to start is over.
func (q *queue) due(now time.Time) (waiting, bool) {
	for c := range q.byClass {
		for _, w := range q.byClass[c] {
			if !now.Before(w.startBy) {
				return w, true
			}
		}
	}
	return waiting{}, false
}

// next returns the waiting request that starts next, if any has room.
func (q *queue) next(r room, running *tally) (waiting, bool) {
	if q.tally.total == 0 {
		return waiting{}, false
	}
	for _, c := range r.order(*running) {
		if len(q.byClass[c]) > 0 && r.admits(c, *running) {
			return q.pick(c, q.neediest(c, running)), true
		}
	}
	return waiting{}, false
}

// neediest returns the firm that runs the fewest requests of the class, of
// equals the one that has waited longest.
func (q *queue) neediest(c class, running *tally) string {
	lead := q.lead(c)
	firm, fewest := "", -1
	for _, w := range q.byClass[c] {
		if w.priority != lead {
			continue
		}
		if n := running.firms[shareKey{c, w.firm}]; fewest < 0 || n < fewest {
			firm, fewest = w.firm, n
		}
	}
	return firm
}

// lead returns the most urgent priority that waits in a class with waiting requests.
func (q *queue) lead(c class) int {
	least := q.byClass[c][0].priority
	for _, w := range q.byClass[c][1:] {
		least = min(least, w.priority)
	}
	return least
}

// ahead counts the firm's waiting requests of the class that start before a further one.
func (q *queue) ahead(c class, r *waiting) int {
	n := 0
	for i := range q.byClass[c] {
		w := &q.byClass[c][i]
		if w.firm == r.firm && (w.priority < r.priority || w.priority == r.priority && !q.earlier(r, w)) {
			n++
		}
	}
	return n
}

// pick returns the request of the firm that comes first in the queue's order.
func (q *queue) pick(c class, firm string) waiting {
	newest := q.order == OrderLIFO
	lead := q.lead(c)
	var best waiting
	found := false
	for _, w := range q.byClass[c] {
		if w.firm != firm || w.priority != lead {
			continue
		}
		if !found || newest || q.earlier(&w, &best) {
			best, found = w, true
		}
	}
	return best
}

// earlier tells whether a request starts before one that came earlier.
func (q *queue) earlier(w, than *waiting) bool {
	switch q.order {
	case OrderDeadline:
		return w.deadline.Before(than.deadline)
	case OrderSoftDeadline:
		return w.aim.Before(than.aim)
	default:
		return false
	}
}

// victim returns the waiting request that gives up its place to a new one: one
// of a less urgent class or priority, or of a firm with more waiting requests, or, when
// the newest starts first, the firm's own oldest.
func (q *queue) victim(c class, firm string, priority int) (waiting, bool) {
	if c == urgent && len(q.byClass[short]) > 0 {
		return q.crowded(short), true
	}
	if len(q.byClass[c]) == 0 {
		return waiting{}, false
	}
	if w := q.leastUrgent(c); w.priority > priority {
		return w, true
	}
	own := q.tally.firms[shareKey{c, firm}]
	crowded := q.crowded(c)
	if crowded.firm != firm && q.tally.firms[shareKey{c, crowded.firm}] > own+1 {
		return crowded, true
	}
	if q.order == OrderLIFO && own > 0 {
		return q.oldest(c, firm), true
	}
	return waiting{}, false
}

// leastUrgent returns the newest of the requests with the least urgent priority.
func (q *queue) leastUrgent(c class) waiting {
	worst := q.byClass[c][0]
	for _, w := range q.byClass[c][1:] {
		if w.priority >= worst.priority {
			worst = w
		}
	}
	return worst
}

// crowded returns a request of the firm with the most waiting requests of the
// class: the one that would start last.
func (q *queue) crowded(c class) waiting {
	list := q.byClass[c]
	firm, most := "", 0
	for _, w := range list {
		if n := q.tally.firms[shareKey{c, w.firm}]; n > most {
			firm, most = w.firm, n
		}
	}
	if q.order == OrderLIFO {
		return q.oldest(c, firm)
	}
	i := len(list) - 1
	for list[i].firm != firm {
		i--
	}
	return list[i]
}

func (q *queue) oldest(c class, firm string) waiting {
	i := slices.IndexFunc(q.byClass[c], func(w waiting) bool { return w.firm == firm })
	return q.byClass[c][i]
}
