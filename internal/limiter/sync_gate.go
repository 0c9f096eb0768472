package limiter

import (
	"context"
	"fmt"
	"sync"
	"time"

	"gentianbarrow.example/internal/retrier"
)

// expireRetryInterval is the delay before expiry is checked again after a timer has fired.
const expireRetryInterval = time.Millisecond

// RefusedError reports that a request was not run, and why.
type RefusedError struct {
	Reason Reason
	// RetryAfter is when the gate expects a free slot; zero if unknown.
	RetryAfter time.Time
}

func (e *RefusedError) Error() string { return fmt.Sprintf("request refused: %s", e.Reason) }

// SyncGate wraps a Gate for concurrent use. Callers block in Acquire until they
// get a slot.
type SyncGate struct {
	mu sync.Mutex
	// gate is guarded by mu.
	gate *Gate
	// waiters holds a channel for each queued request. Guarded by mu.
	waiters map[uint64]chan waitResult
	// nextStart starts waiting requests when the rate limit lets them; nil before one
	// has waited for it. Guarded by mu.
	nextStart *time.Timer
	// lastID is the ID of the latest request. Guarded by mu.
	lastID uint64
}

// waitResult ends a wait; err is nil when the request holds a slot.
type waitResult struct{ err *RefusedError }

// NewSyncGate returns a SyncGate around a new Gate.
func NewSyncGate(l Limits) *SyncGate {
	return &SyncGate{gate: NewGate(l), waiters: map[uint64]chan waitResult{}}
}

// Acquire waits for a slot. It ignores the ID of the request. On success the
// caller must call release when the exchange with the target has ended; further
// calls of release do nothing. The error is always a *RefusedError: the request
// was not run.
func (s *SyncGate) Acquire(ctx context.Context, r Request) (release func(Result), err error) {
	s.mu.Lock()
	s.lastID++
	r.ID = s.lastID
	now := time.Now()
	d := s.gate.Offer(now, r)
	s.deliver(d.Changes)
	switch d.Verdict {
	case VerdictAdmitted:
		s.mu.Unlock()
		return s.releaseFunc(r.ID), nil
	case VerdictRefused:
		s.mu.Unlock()
		return nil, &RefusedError{Reason: d.Reason, RetryAfter: d.RetryAfter}
	}
	ch := make(chan waitResult, 1)
	s.waiters[r.ID] = ch
	s.mu.Unlock()
	return s.wait(ctx, r.ID, d.StartBy, ch)
}

// Precheck returns why a request that will ask for a slot after the given number of
// others is known not to start in time, or nil.
func (s *SyncGate) Precheck(r Request, ahead int) *RefusedError {
	s.mu.Lock()
	defer s.mu.Unlock()
	d, refused := s.gate.Precheck(time.Now(), r, ahead)
	if !refused {
		return nil
	}
	return &RefusedError{Reason: d.Reason, RetryAfter: d.RetryAfter}
}

func (s *SyncGate) wait(ctx context.Context, id uint64, startBy time.Time, ch chan waitResult) (func(Result), error) {
	timer := time.NewTimer(time.Until(startBy))
	defer timer.Stop()
	for {
		select {
		case result := <-ch:
			if result.err != nil {
				return nil, result.err
			}
			return s.releaseFunc(id), nil
		case <-timer.C:
			s.Expire()
			timer.Reset(expireRetryInterval)
		case <-ctx.Done():
			return nil, s.cancel(id)
		}
	}
}

// cancel ends a request whose caller went away, even if it has just been started.
func (s *SyncGate) cancel(id uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	changes, waiting := s.gate.Cancel(now, id)
	if !waiting {
		changes = s.gate.Done(now, id, Result{Outcome: retrier.OutcomeNotRun})
	}
	delete(s.waiters, id)
	s.deliver(changes)
	return &RefusedError{Reason: ReasonCancelled}
}

// releaseFunc returns a function that releases the slot of a request once.
func (s *SyncGate) releaseFunc(id uint64) func(Result) {
	var once sync.Once
	return func(r Result) {
		once.Do(func() {
			s.update(func(now time.Time) Changes { return s.gate.Done(now, id, r) })
		})
	}
}

// Expire drops waiting requests whose time to start has passed and starts those
// for which the ramp-up has made a slot available.
func (s *SyncGate) Expire() { s.update(s.gate.Expire) }

// Drain refuses new requests from now on and drops all waiting ones.
func (s *SyncGate) Drain() { s.update(s.gate.Drain) }

// Resume accepts new requests again after Drain and starts a ramp-up.
func (s *SyncGate) Resume() {
	s.update(func(now time.Time) Changes {
		s.gate.Resume(now)
		return Changes{}
	})
}

// SetReadySince sets when the target last became ready; the ramp-up starts then.
func (s *SyncGate) SetReadySince(t time.Time) {
	s.update(func(time.Time) Changes {
		s.gate.SetReadySince(t)
		return Changes{}
	})
}

// SetRate changes the rate limit of the target. Waiting requests that can no longer
// start in time are dropped.
func (s *SyncGate) SetRate(r Rate) {
	s.update(func(now time.Time) Changes { return s.gate.SetRate(now, r) })
}

// SetLimits changes the limits. Requests in flight keep their slots; waiting
// ones that exceed the new queue limits are dropped.
func (s *SyncGate) SetLimits(l Limits) {
	s.update(func(now time.Time) Changes { return s.gate.SetLimits(now, l) })
}

// SetCallLimits sets the limits of the runs that call other services, by service.
func (s *SyncGate) SetCallLimits(limits map[string]float64) {
	s.update(func(now time.Time) Changes { return s.gate.SetCallLimits(now, limits) })
}

// Load returns the current state of the target.
func (s *SyncGate) Load() Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.Load(time.Now())
}

func (s *SyncGate) update(f func(now time.Time) Changes) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deliver(f(time.Now()))
}

// deliver passes changes to the waiting requests they are about and wakes the gate
// when the rate limit lets another one start. The caller holds mu.
func (s *SyncGate) deliver(c Changes) {
	defer s.scheduleNextStart(time.Now())
	for _, id := range c.Started {
		s.notify(id, waitResult{})
	}
	for _, d := range c.Dropped {
		s.notify(d.ID, waitResult{err: &RefusedError{Reason: d.Reason, RetryAfter: d.RetryAfter}})
	}
}

func (s *SyncGate) scheduleNextStart(now time.Time) {
	at, waiting := s.gate.NextStart(now)
	switch {
	case !waiting:
	case s.nextStart == nil:
		s.nextStart = time.AfterFunc(at.Sub(now), s.Expire)
	default:
		s.nextStart.Reset(at.Sub(now))
	}
}

func (s *SyncGate) notify(id uint64, result waitResult) {
	if ch, ok := s.waiters[id]; ok {
		delete(s.waiters, id)
		ch <- result
	}
}
