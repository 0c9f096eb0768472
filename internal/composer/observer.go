package composer

import (
	"sync"
	"time"

	"gentianbarrow.example/internal/blackboard"
)

// successInterval is the minimum time between two successes in a row that are posted
// to the board.
const successInterval = 250 * time.Millisecond

// observer posts the results of requests at the target to the board: every failure,
// the first success after a failure, and further successes once in successInterval.
type observer struct {
	post blackboard.Post
	now  func() time.Time

	mu sync.Mutex
	// nextSuccessAt is when the next success may be posted. Guarded by mu.
	nextSuccessAt time.Time
}

func (o *observer) observe(success bool) {
	now := o.now()
	if !o.shouldPost(now, success) {
		return
	}
	o.post(blackboard.TargetObserved{Success: success, Now: now})
}

func (o *observer) shouldPost(now time.Time, success bool) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !success {
		o.nextSuccessAt = time.Time{}
		return true
	}
	if now.Before(o.nextSuccessAt) {
		return false
	}
	o.nextSuccessAt = now.Add(successInterval)
	return true
}
