package limiter

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/pkg/snapshotter"
)

func soon(ms int) Request {
	return Request{
		Class: snapshotter.ClassShort, Firm: "paza",
		Deadline: time.Now().Add(time.Duration(ms) * time.Millisecond),
	}
}

func assertRefused(t *testing.T, err error, want Reason) {
	t.Helper()
	var refused *RefusedError
	assert.Assert(t, errors.As(err, &refused), "%v", err)
	assert.Equal(t, refused.Reason, want)
}

func oneSlot() Limits { return Limits{Slots: 1, Connections: 10, Queue: 2, BulkPercent: 100} }

func TestWaiter(t *testing.T) {
	run := func(name string, f func(t *testing.T, w *SyncGate, release func(Result))) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := NewSyncGate(oneSlot())
				release, err := w.Acquire(t.Context(), soon(1000))
				assert.NilError(t, err)
				f(t, w, release)
			})
		})
	}
	run("a waiting request starts when a slot comes free", func(t *testing.T, w *SyncGate, release func(Result)) {
		time.AfterFunc(10*time.Millisecond, func() { release(done()) })
		_, err := w.Acquire(t.Context(), soon(1000))
		assert.NilError(t, err)
		assert.Equal(t, w.Load().InFlight, 1)
	})
	run("a waiting request ends by itself", func(t *testing.T, w *SyncGate, _ func(Result)) {
		_, err := w.Acquire(t.Context(), soon(1000))
		assertRefused(t, err, ReasonWaitedTooLong)
		_, err = w.Acquire(t.Context(), soon(20))
		assertRefused(t, err, ReasonMissesDeadline)
	})
	run("a slot is released once", func(t *testing.T, w *SyncGate, release func(Result)) {
		release(done())
		_, err := w.Acquire(t.Context(), soon(1000))
		assert.NilError(t, err)
		release(done())
		assert.Equal(t, w.Load().InFlight, 1)
	})
	run("a cancelled request frees its place", func(t *testing.T, w *SyncGate, release func(Result)) {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Millisecond)
		defer cancel()
		_, err := w.Acquire(ctx, soon(1000))
		assertRefused(t, err, ReasonCancelled)
		assert.Equal(t, w.Load().Queued, 0)
		release(done())
		assert.Equal(t, w.Load().InFlight, 0)
	})
	run("cancel racing a start keeps no slot", func(t *testing.T, w *SyncGate, release func(Result)) {
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(5*time.Millisecond, func() {
			release(done())
			cancel()
		})
		next, err := w.Acquire(ctx, soon(1000))
		if err == nil {
			next(done())
		} else {
			assertRefused(t, err, ReasonCancelled)
		}
		assert.Equal(t, w.Load().InFlight, 0)
	})
	run("a drain ends all waits", func(t *testing.T, w *SyncGate, _ func(Result)) {
		time.AfterFunc(5*time.Millisecond, w.Drain)
		_, err := w.Acquire(t.Context(), soon(1000))
		assertRefused(t, err, ReasonDraining)
		assert.Equal(t, w.Load().InFlight, 1)
	})
}

// TestWaiterStorm lets many goroutines acquire, give up and release at once:
// at no time do more run than there are slots, and in the end none does.
func TestWaiterStorm(t *testing.T) {
	const callers, rounds = 50, 200
	l := pazaLimits()
	synctest.Test(t, func(t *testing.T) {
		w := NewSyncGate(l)
		var group sync.WaitGroup
		for seed := range uint64(callers) {
			group.Go(func() { storm(t, w, l, rand.New(rand.NewPCG(seed, 1)), rounds) })
		}
		group.Wait()
		assert.Equal(t, w.Load().InFlight, 0)
		assert.Equal(t, w.Load().Queued, 0)
	})
}

func storm(t *testing.T, w *SyncGate, l Limits, rnd *rand.Rand, rounds int) {
	for range rounds {
		ctx, cancel := context.WithTimeout(t.Context(), time.Duration(rnd.IntN(30))*time.Millisecond)
		release, err := w.Acquire(ctx, soon(20+rnd.IntN(200)))
		if err == nil {
			assert.Check(t, w.Load().InFlight <= l.Slots)
			time.Sleep(time.Duration(rnd.IntN(20)) * time.Millisecond)
			release(done())
		}
		cancel()
	}
}
