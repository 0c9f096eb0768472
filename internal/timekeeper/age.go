package timekeeper

import (
	"sync"
	"time"
)

const (
	// offsetPeriod is how long the least difference of two clocks is collected. The one of
	// the period before counts as well. In that time clocks drift apart by some
	// milliseconds.
	offsetPeriod = 2 * time.Minute
	// maxSenders bounds the senders whose clocks are compared.
	maxSenders = 8192
)

// AgeEstimator estimates for how long messages were under way. The least difference
// between the clocks of the receiver and of a sender, over many messages, is that of a
// message that was delivered at once. It needs no common time, so steps of the time of
// day do no harm. It is safe for concurrent use.
type AgeEstimator struct {
	clock func() time.Duration
	mu    sync.Mutex
	// offsets by sender. Guarded by mu.
	offsets map[uint64]clockOffset
}

// clockOffset holds the least differences between the receiver's and a sender's clock.
type clockOffset struct {
	// least is that of the period that ends at periodEnd, before that of the one before it.
	least, before time.Duration
	periodEnd     time.Duration
}

// NewAgeEstimator returns an estimator that reads the given clock, Uptime in production.
func NewAgeEstimator(clock func() time.Duration) *AgeEstimator {
	return &AgeEstimator{clock: clock, offsets: map[uint64]clockOffset{}}
}

// Age returns for how much longer than the fastest one a message of the sender was under
// way that is read now and was sent at a time by the sender's clock. known is false for
// the first message of a sender, which there is nothing to compare with.
func (e *AgeEstimator) Age(sender uint64, sent time.Duration) (age time.Duration, known bool) {
	now := e.clock()
	difference := now - sent
	e.mu.Lock()
	defer e.mu.Unlock()
	o, known := e.offsets[sender]
	switch {
	case !known, now >= o.periodEnd+offsetPeriod:
		e.makeRoom(now)
		o = clockOffset{least: difference, before: difference, periodEnd: now + offsetPeriod}
	case now >= o.periodEnd:
		o = clockOffset{least: difference, before: o.least, periodEnd: o.periodEnd + offsetPeriod}
	}
	o.least = min(o.least, difference)
	e.offsets[sender] = o
	return difference - min(o.least, o.before), known
}

// makeRoom forgets senders that have been silent for more than a period if there are too many.
func (e *AgeEstimator) makeRoom(now time.Duration) {
	if len(e.offsets) < maxSenders {
		return
	}
	for sender, o := range e.offsets {
		if now >= o.periodEnd {
			delete(e.offsets, sender)
		}
	}
	if len(e.offsets) >= maxSenders {
		clear(e.offsets)
	}
}
