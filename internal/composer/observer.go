package composer

import (
	"sync"
	"time"

	"gentianbarrow.example/internal/blackboard"
)

// successEvery bounds how often successes in a row are told to the board.
const successEvery = 250 * time.Millisecond

// observer tells the board what requests show of the target: every failure,
// and a success when the last word was a failure or is no longer fresh.
type observer struct {
	post blackboard.Post
	now  func() time.Time

	mu sync.Mutex
	// next is when a further success is told. Guarded by mu.
	next time.Time
}

func (o *observer) observe(good bool) {
	now := o.now()
	if !o.due(now, good) {
		return
	}
	o.post(blackboard.TargetObserved{Success: good, Now: now})
}

func (o *observer) due(now time.Time, good bool) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !good {
		o.next = time.Time{}
		return true
	}
	if now.Before(o.next) {
		return false
	}
	o.next = now.Add(successEvery)
	return true
}
