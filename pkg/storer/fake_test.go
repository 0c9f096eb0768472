package storer_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/pkg/storer"
)

// TestWaitingWatches checks that waiting watches are counted, return after a
// write, and fail when an outage begins.
func TestWaitingWatches(t *testing.T) {
	run := func(t *testing.T, act func(fake *storer.Fake), check func(err error)) {
		t.Helper()
		synctest.Test(t, func(t *testing.T) {
			fake := storer.NewFake()
			var group sync.WaitGroup
			for range 3 {
				group.Go(func() {
					_, err := fake.Client().Watch(t.Context(), "a", 0)
					check(err)
				})
			}
			synctest.Wait()
			assert.Equal(t, fake.Counts().PendingWatches, 3)
			act(fake)
			group.Wait()
			assert.Equal(t, fake.Counts().PendingWatches, 0)
			assert.Equal(t, fake.Counts().Watches, 3)
		})
	}
	t.Run("a write", func(t *testing.T) {
		write := func(fake *storer.Fake) { _, _ = fake.Client().Put(t.Context(), "a", nil, 0) }
		run(t, write, func(err error) { assert.Check(t, err) })
	})
	t.Run("an outage", func(t *testing.T) {
		outage := func(fake *storer.Fake) { fake.SetFaults(storer.Faults{Outage: true}) }
		run(t, outage, func(err error) { assertError[*storer.UnavailableError](t, err) })
	})
}

func TestDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := storer.NewFake()
		fake.SetFaults(storer.Faults{DelayMs: 300})
		start := time.Now()
		_, err := fake.Client().Put(t.Context(), "a", nil, 0)
		assert.NilError(t, err)
		assert.Equal(t, time.Since(start), 300*time.Millisecond)
	})
}
