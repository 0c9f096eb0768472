package limiter

import "gentianbarrow.example/pkg/snapshotter"

// class is a request class as an index. Lower values are more urgent.
type class int

const (
	urgent class = iota
	short
	bulk
	classes
)

// classOf returns the index of a class; one that is not known counts as short.
func classOf(c snapshotter.Class) class {
	switch c {
	case snapshotter.ClassUrgent:
		return urgent
	case snapshotter.ClassBulk:
		return bulk
	}
	return short
}

// normal returns the limits with every field in its range.
func (l Limits) normal() Limits {
	l.Slots = max(l.Slots, 1)
	l.Connections = max(l.Connections, 1)
	l.Queue = max(l.Queue, 0)
	l.BulkPercent = min(max(l.BulkPercent, 1), 100)
	l.UrgentSlots = min(max(l.UrgentSlots, 0), l.Slots-1)
	if l.Order == "" {
		l.Order = OrderFIFO
	}
	return l
}

// shareKey names the requests of one firm and class.
type shareKey struct {
	class class
	firm  string
}

// tally counts requests by class and firm.
type tally struct {
	total   int
	classes [classes]int
	// firms holds no zero.
	firms map[shareKey]int
}

func newTally() tally { return tally{firms: map[shareKey]int{}} }

func (t *tally) add(c class, firm string) {
	t.total++
	t.classes[c]++
	t.firms[shareKey{c, firm}]++
}

func (t *tally) remove(c class, firm string) {
	t.total--
	t.classes[c]--
	key := shareKey{c, firm}
	if t.firms[key]--; t.firms[key] == 0 {
		delete(t.firms, key)
	}
}

// ordinary counts the requests that are not urgent.
func (t *tally) ordinary() int { return t.total - t.classes[urgent] }

const (
	// ordinaryShare is the part of the slots that urgent requests leave to waiting others, as a divisor.
	ordinaryShare = 5
	// keptBulk is the part of their share that bulk requests keep against waiting short ones, as a divisor.
	keptBulk = 2
)

// room is how many requests of each kind may run.
type room struct {
	// slots that may be used now, and most that the target has.
	slots, most int
	// urgentSlots that only urgent requests use.
	urgentSlots int
	// ordinarySlots that requests which are not urgent may use.
	ordinarySlots int
	// bulkSlots that bulk requests may use.
	bulkSlots int
}

func newRoom(l Limits, slots int) room {
	ordinary := max(slots-l.UrgentSlots, 1)
	share := slots * l.BulkPercent / 100
	if l.BulkPercent < 100 {
		share = min(share, ordinary-1)
	}
	return room{
		slots:         slots,
		most:          min(l.Slots, l.Connections),
		urgentSlots:   l.UrgentSlots,
		ordinarySlots: ordinary,
		bulkSlots:     max(share, 1),
	}
}

// admits tells whether a request of the class may start beside those that run.
func (r room) admits(c class, t tally) bool {
	if c == urgent && t.classes[urgent] < r.urgentSlots {
		return t.total < r.most
	}
	if t.total >= r.slots {
		return false
	}
	switch c {
	case urgent:
		return true
	case bulk:
		return t.ordinary() < r.ordinarySlots && t.classes[bulk] < r.bulkSlots
	}
	return t.ordinary() < r.ordinarySlots
}

// order returns the classes in the order in which waiting requests start:
// urgent first while others keep their share, then bulk ones while they hold
// less than they may keep, then short ones.
func (r room) order(t tally) [classes]class {
	last := max(r.slots-max(r.slots/ordinaryShare, 1), r.urgentSlots)
	keepsBulk := t.classes[bulk] < max(r.bulkSlots/keptBulk, 1)
	switch {
	case t.classes[urgent] >= last && keepsBulk:
		return [classes]class{bulk, short, urgent}
	case t.classes[urgent] >= last:
		return [classes]class{short, bulk, urgent}
	case keepsBulk:
		return [classes]class{urgent, bulk, short}
	}
	return [classes]class{urgent, short, bulk}
}
