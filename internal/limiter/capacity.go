package limiter

import "gentianbarrow.example/pkg/snapshotter"

// class is a request class as an index. Lower values are more urgent.
type class int

const (
	urgent class = iota
	short
	bulk
	classCount
)

// classOf returns the index of a class; an unknown one counts as short.
func classOf(c snapshotter.Class) class {
	switch c {
	case snapshotter.ClassUrgent:
		return urgent
	case snapshotter.ClassBulk:
		return bulk
	}
	return short
}

// normalised returns the limits with every field in its range.
func (l Limits) normalised() Limits {
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

// firmClass identifies the requests of one firm and class.
type firmClass struct {
	class class
	firm  string
}

// requestCounts counts requests by class and by firm and class.
type requestCounts struct {
	total   int
	byClass [classCount]int
	// calls counts the requests that runs at targets wait for.
	calls int
	// byFirm has no zero entries.
	byFirm map[firmClass]int
}

func newRequestCounts() requestCounts { return requestCounts{byFirm: map[firmClass]int{}} }

func (rc *requestCounts) add(c class, firm string, isCall bool) {
	rc.total++
	if isCall {
		rc.calls++
	}
	rc.byClass[c]++
	rc.byFirm[firmClass{c, firm}]++
}

func (rc *requestCounts) remove(c class, firm string, isCall bool) {
	rc.total--
	if isCall {
		rc.calls--
	}
	rc.byClass[c]--
	key := firmClass{c, firm}
	if rc.byFirm[key]--; rc.byFirm[key] == 0 {
		delete(rc.byFirm, key)
	}
}

// nonUrgent counts the requests that are not urgent.
func (rc *requestCounts) nonUrgent() int { return rc.total - rc.byClass[urgent] }

const (
	// nonUrgentShareDivisor divides the slots to give those that urgent requests
	// leave to other waiting requests.
	nonUrgentShareDivisor = 5
	// firstShareDivisor divides the slots to give those that calls leave to waiting requests
	// of callers, so that these go on being served where calls alone fill the target.
	firstShareDivisor = 5
	// minBulkDivisor divides the bulk slots to give those for which bulk requests
	// take precedence over short ones.
	minBulkDivisor = 2
)

// capacity is how many requests of each kind may run.
type capacity struct {
	// slots may be used now; maxSlots is what the target can use at most.
	slots, maxSlots int
	// urgentSlots are reserved for urgent requests.
	urgentSlots int
	// nonUrgentSlots may be used by requests that are not urgent.
	nonUrgentSlots int
	// bulkSlots may be used by bulk requests.
	bulkSlots int
}

func newCapacity(l Limits, slots int) capacity {
	nonUrgent := max(slots-l.UrgentSlots, 1)
	bulkSlots := slots * l.BulkPercent / 100
	if l.BulkPercent < 100 {
		bulkSlots = min(bulkSlots, nonUrgent-1)
	}
	return capacity{
		slots:          slots,
		maxSlots:       min(l.Slots, l.Connections),
		urgentSlots:    l.UrgentSlots,
		nonUrgentSlots: nonUrgent,
		bulkSlots:      max(bulkSlots, 1),
	}
}

// admits reports whether a request of the class may start beside the running ones.
func (cp capacity) admits(c class, running requestCounts) bool {
	if c == urgent && running.byClass[urgent] < cp.urgentSlots {
		return running.total < cp.maxSlots
	}
	if running.total >= cp.slots {
		return false
	}
	switch c {
	case urgent:
		return true
	case bulk:
		return running.nonUrgent() < cp.nonUrgentSlots && running.byClass[bulk] < cp.bulkSlots
	}
	return running.nonUrgent() < cp.nonUrgentSlots
}

// defersCalls reports whether calls hold all slots but the share of callers' requests.
func (cp capacity) defersCalls(running requestCounts) bool {
	return running.calls >= max(cp.slots-max(cp.slots/firstShareDivisor, 1), 1)
}

// startOrder returns the classes in the order in which waiting requests start:
// urgent ones first unless they use up the share of the others, then bulk ones
// while they hold less than their minimum, then short ones.
func (cp capacity) startOrder(running requestCounts) [classCount]class {
	urgentShare := max(cp.slots-max(cp.slots/nonUrgentShareDivisor, 1), cp.urgentSlots)
	bulkBelowMin := running.byClass[bulk] < max(cp.bulkSlots/minBulkDivisor, 1)
	switch {
	case running.byClass[urgent] >= urgentShare && bulkBelowMin:
		return [classCount]class{bulk, short, urgent}
	case running.byClass[urgent] >= urgentShare:
		return [classCount]class{short, bulk, urgent}
	case bulkBelowMin:
		return [classCount]class{urgent, bulk, short}
	}
	return [classCount]class{urgent, short, bulk}
}
