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

func requestDueIn(ms int) Request {
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

func oneSlotLimits() Limits { return Limits{Slots: 1, Connections: 10, Queue: 2, BulkPercent: 100} }

func TestSyncGate(t *testing.T) {
	run := func(name string, f func(t *testing.T, g *SyncGate, release func(Result))) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewSyncGate(oneSlotLimits())
				release, err := g.Acquire(t.Context(), requestDueIn(1000))
				assert.NilError(t, err)
				f(t, g, release)
			})
		})
	}
	run("a waiting request starts when a slot is released", func(t *testing.T, g *SyncGate, release func(Result)) {
		time.AfterFunc(10*time.Millisecond, func() { release(done()) })
		_, err := g.Acquire(t.Context(), requestDueIn(1000))
		assert.NilError(t, err)
		assert.Equal(t, g.Load().InFlight, 1)
	})
	run("a waiting request expires without an external event", func(t *testing.T, g *SyncGate, _ func(Result)) {
		_, err := g.Acquire(t.Context(), requestDueIn(1000))
		assertRefused(t, err, ReasonWaitedTooLong)
		_, err = g.Acquire(t.Context(), requestDueIn(20))
		assertRefused(t, err, ReasonMissesDeadline)
	})
	run("a slot is released once", func(t *testing.T, g *SyncGate, release func(Result)) {
		release(done())
		_, err := g.Acquire(t.Context(), requestDueIn(1000))
		assert.NilError(t, err)
		release(done())
		assert.Equal(t, g.Load().InFlight, 1)
	})
	run("a cancelled request leaves the queue", func(t *testing.T, g *SyncGate, release func(Result)) {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Millisecond)
		defer cancel()
		_, err := g.Acquire(ctx, requestDueIn(1000))
		assertRefused(t, err, ReasonCancelled)
		assert.Equal(t, g.Load().Queued, 0)
		release(done())
		assert.Equal(t, g.Load().InFlight, 0)
	})
	run("cancelling a request as it starts leaks no slot", func(t *testing.T, g *SyncGate, release func(Result)) {
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(5*time.Millisecond, func() {
			release(done())
			cancel()
		})
		next, err := g.Acquire(ctx, requestDueIn(1000))
		if err == nil {
			next(done())
		} else {
			assertRefused(t, err, ReasonCancelled)
		}
		assert.Equal(t, g.Load().InFlight, 0)
	})
	run("drain ends all waits", func(t *testing.T, g *SyncGate, _ func(Result)) {
		time.AfterFunc(5*time.Millisecond, g.Drain)
		_, err := g.Acquire(t.Context(), requestDueIn(1000))
		assertRefused(t, err, ReasonDraining)
		assert.Equal(t, g.Load().InFlight, 1)
	})
}

// TestSyncGateConcurrentUse lets many goroutines acquire, cancel and release
// slots concurrently. There are never more running requests than slots, and
// none is left running or waiting at the end.
func TestSyncGateConcurrentUse(t *testing.T) {
	const callers, rounds = 50, 200
	l := pazaLimits()
	synctest.Test(t, func(t *testing.T) {
		g := NewSyncGate(l)
		var group sync.WaitGroup
		for seed := range uint64(callers) {
			group.Go(func() { acquireAndRelease(t, g, l, rand.New(rand.NewPCG(seed, 1)), rounds) })
		}
		group.Wait()
		assert.Equal(t, g.Load().InFlight, 0)
		assert.Equal(t, g.Load().Queued, 0)
	})
}

func acquireAndRelease(t *testing.T, g *SyncGate, l Limits, rnd *rand.Rand, rounds int) {
	for range rounds {
		ctx, cancel := context.WithTimeout(t.Context(), time.Duration(rnd.IntN(30))*time.Millisecond)
		release, err := g.Acquire(ctx, requestDueIn(20+rnd.IntN(200)))
		if err == nil {
			assert.Check(t, g.Load().InFlight <= l.Slots)
			time.Sleep(time.Duration(rnd.IntN(20)) * time.Millisecond)
			release(done())
		}
		cancel()
	}
}
