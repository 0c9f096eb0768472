package limiter

import (
	"context"
	"fmt"
	"sync"
	"time"

	"gentianbarrow.example/internal/retrier"
)

// expireAgain is the time to the next look at a request whose timer ran early.
const expireAgain = time.Millisecond

// RefusedError tells that a request was not run, and why.
type RefusedError struct {
	Reason Reason
	// RetryAfter is when the gate expects to have room; zero when that is not known.
	RetryAfter time.Time
}

func (e *RefusedError) Error() string { return fmt.Sprintf("request refused: %s", e.Reason) }

// Waiter lets many goroutines share a Gate.
type SyncGate struct {
	mu sync.Mutex
	// gate is guarded by mu.
	gate *Gate
	// waiting holds a channel for each queued request. Guarded by mu.
	waiting map[uint64]chan verdict
	// lastID was given to the latest request. Guarded by mu.
	lastID uint64
}

// verdict ends a wait; err is nil when the request holds a slot.
type verdict struct{ err *RefusedError }

// NewWaiter returns a waiter with a gate of its own.
func NewSyncGate(l Limits) *SyncGate {
	return &SyncGate{gate: NewGate(l), waiting: map[uint64]chan verdict{}}
}

// Acquire waits for a slot. The ID of the request is ignored. On success the
// caller must call release once the exchange with the target has ended; more
// calls of it do nothing. The error is always a *RefusedError: the request was
// not run.
func (w *SyncGate) Acquire(ctx context.Context, r Request) (release func(Result), err error) {
	w.mu.Lock()
	w.lastID++
	r.ID = w.lastID
	now := time.Now()
	d := w.gate.Offer(now, r)
	w.settle(d.Changes)
	switch d.Verdict {
	case VerdictAdmitted:
		w.mu.Unlock()
		return w.releaser(r.ID), nil
	case VerdictRefused:
		w.mu.Unlock()
		return nil, &RefusedError{Reason: d.Reason, RetryAfter: d.RetryAfter}
	}
	ch := make(chan verdict, 1)
	w.waiting[r.ID] = ch
	w.mu.Unlock()
	return w.wait(ctx, r.ID, d.StartBy, ch)
}

func (w *SyncGate) wait(ctx context.Context, id uint64, startBy time.Time, ch chan verdict) (func(Result), error) {
	timer := time.NewTimer(time.Until(startBy))
	defer timer.Stop()
	for {
		select {
		case v := <-ch:
			if v.err != nil {
				return nil, v.err
			}
			return w.releaser(id), nil
		case <-timer.C:
			w.Expire()
			timer.Reset(expireAgain)
		case <-ctx.Done():
			return nil, w.cancel(id)
		}
	}
}

// cancel ends a request whose caller went away, also when it was just started.
func (w *SyncGate) cancel(id uint64) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	changes, waiting := w.gate.Cancel(now, id)
	if !waiting {
		changes = w.gate.Done(now, id, Result{Outcome: retrier.OutcomeNotRun})
	}
	delete(w.waiting, id)
	w.settle(changes)
	return &RefusedError{Reason: ReasonCancelled}
}

func (w *SyncGate) releaser(id uint64) func(Result) {
	var once sync.Once
	return func(r Result) {
		once.Do(func() {
			w.change(func(now time.Time) Changes { return w.gate.Done(now, id, r) })
		})
	}
}

// Expire drops and starts waiting requests that are due.
func (w *SyncGate) Expire() { w.change(w.gate.Expire) }

// Drain refuses new requests from now on and drops all waiting ones.
func (w *SyncGate) Drain() { w.change(w.gate.Drain) }

// Resume takes new requests again after Drain.
func (w *SyncGate) Resume() {
	w.change(func(now time.Time) Changes {
		w.gate.Resume(now)
		return Changes{}
	})
}

// SetReadySince sets when the target last became ready: slots are ramped from then.
func (w *SyncGate) SetReadySince(t time.Time) {
	w.change(func(time.Time) Changes {
		w.gate.SetReadySince(t)
		return Changes{}
	})
}

// SetLimits changes the limits. Requests in flight keep their slots.
func (w *SyncGate) SetLimits(l Limits) {
	w.change(func(now time.Time) Changes { return w.gate.SetLimits(now, l) })
}

// Load returns the state of the target.
func (w *SyncGate) Load() Load {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.gate.Load(time.Now())
}

func (w *SyncGate) change(f func(now time.Time) Changes) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.settle(f(time.Now()))
}

// settle tells waiting requests what became of them. The caller holds mu.
func (w *SyncGate) settle(c Changes) {
	for _, id := range c.Started {
		w.tell(id, verdict{})
	}
	for _, d := range c.Dropped {
		w.tell(d.ID, verdict{err: &RefusedError{Reason: d.Reason, RetryAfter: d.RetryAfter}})
	}
}

func (w *SyncGate) tell(id uint64, v verdict) {
	if ch, ok := w.waiting[id]; ok {
		delete(w.waiting, id)
		ch <- v
	}
}
