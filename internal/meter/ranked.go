package meter

import (
	"sync"
	"sync/atomic"
)

const (
	// countedFactor times the number of values with series of their own is how many values
	// are counted, so that one that becomes frequent is noticed.
	countedFactor = 4
	// rankPeriod is the number of uses between two comparisons of the values. A node with 10
	// requests a second shows a firm that begins to send many within a minute.
	rankPeriod = 512
	// decayPeriod is the number of uses after which counts are halved, so that they tell of
	// late uses. It is longer than rankPeriod so that chance decides little.
	decayPeriod = 8 * rankPeriod
	// promotionFactor is how many times as often as another a value must be used to take its
	// series, so that values which are used about equally do not alternate.
	promotionFactor = 2
)

// rankedLabels limits the number of values of a label to those that are used most of
// late; the others share otherLabel. It answers a load of many firms of which few send
// the most requests, and these change. Its state is bounded whatever the number of firms:
// while more are in use than it counts, the counts are upper estimates.
type rankedLabels struct {
	limit int
	// drop deletes the series of a value.
	drop func(value string)
	// uses counts the uses of all values.
	uses atomic.Int64

	// mu is read-locked while series are written, so that none is written after its drop.
	mu sync.RWMutex
	// values holds at most limit*countedFactor values. Guarded by mu.
	values map[string]*labelUse
	// owned is the number of values with series of their own. Guarded by mu.
	owned int
}

// labelUse is the use of one value.
type labelUse struct {
	count atomic.Int64
	// owns is set if the value has series of its own. It changes under the lock only.
	owns bool
}

func newRankedLabels(limit int, drop func(value string)) *rankedLabels {
	return &rankedLabels{limit: limit, drop: drop, values: map[string]*labelUse{}}
}

// acquire counts a use of a value and returns its label, which is valid until release.
func (l *rankedLabels) acquire(value string) string {
	if n := l.uses.Add(1); n%rankPeriod == 0 {
		l.rank(n%decayPeriod == 0)
	}
	l.mu.RLock()
	use := l.values[value]
	if use == nil {
		l.mu.RUnlock()
		l.add(value)
		l.mu.RLock()
		use = l.values[value]
	}
	if use == nil {
		return otherLabel
	}
	use.count.Add(1)
	if !use.owns {
		return otherLabel
	}
	return value
}

func (l *rankedLabels) release() { l.mu.RUnlock() }

// add begins to count a value, in place of the least used one without series if there
// are too many. It starts from that one's count, since it may have been used as often
// before.
func (l *rankedLabels) add(value string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.values[value] != nil {
		return
	}
	use := &labelUse{}
	if len(l.values) >= l.limit*countedFactor {
		least := l.least(false)
		use.count.Store(l.values[least].count.Load())
		delete(l.values, least)
	}
	if l.owned < l.limit {
		use.owns = true
		l.owned++
	}
	l.values[value] = use
}

// least returns the least used value of those with or without series of their own. There
// must be one. The caller holds mu.
func (l *rankedLabels) least(owns bool) string {
	least, found := "", false
	for value, use := range l.values {
		if use.owns != owns {
			continue
		}
		if !found || use.count.Load() < l.values[least].count.Load() {
			least, found = value, true
		}
	}
	return least
}

// most returns the most used value without series of its own; false when there is none.
// The caller holds mu.
func (l *rankedLabels) most() (value string, found bool) {
	for v, use := range l.values {
		if use.owns {
			continue
		}
		if !found || use.count.Load() > l.values[value].count.Load() {
			value, found = v, true
		}
	}
	return value, found
}

// rank gives the series of values that are used little to those that are used much more,
// and halves the counts if decays is set.
func (l *rankedLabels) rank(decays bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for range l.limit {
		most, found := l.most()
		if !found {
			break
		}
		least := l.least(true)
		if l.values[most].count.Load() < promotionFactor*max(l.values[least].count.Load(), 1) {
			break
		}
		l.values[least].owns = false
		l.values[most].owns = true
		l.drop(least)
	}
	if !decays {
		return
	}
	for _, use := range l.values {
		use.count.Store(use.count.Load() / 2)
	}
}
