package poller

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/pkg/storer"
)

// runPoller runs a poller of the kind "config" under fake time until f returns. latest
// returns the value of config/main that it last reported.
func runPoller(t *testing.T, store *storer.Fake, f func(t *testing.T, latest func() string)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		value := ""
		ctx, cancel := context.WithCancel(t.Context())
		p := Poller{Kind: "config", Client: store.Client(), MaxWait: 700 * time.Millisecond, OnChange: func(c storer.Changes, _ bool) {
			mu.Lock()
			defer mu.Unlock()
			for _, o := range c.Objects {
				value = string(o.Value)
			}
		}}
		var group sync.WaitGroup
		group.Go(func() { p.Run(ctx) })
		f(t, func() string {
			mu.Lock()
			defer mu.Unlock()
			return value
		})
		cancel()
		group.Wait()
	})
}

// write writes versions of config/main.
func write(t *testing.T, store *storer.Fake, versions ...int) {
	t.Helper()
	c := store.Client()
	for _, v := range versions {
		old, err := c.Get(t.Context(), "config/main")
		if err != nil {
			old = storer.Object{}
		}
		_, err = c.Put(t.Context(), "config/main", []byte(strconv.Itoa(v)), old.Revision)
		assert.NilError(t, err)
	}
}

// maxReadDelay is within which a change must be read once the platform is back.
const maxReadDelay = 2 * time.Second

// TestChangeMissedAfterRestore guards against a node that follows a restored platform
// from a revision of the lost history. Once the new history has reached that revision,
// the platform no longer answers that it does not have it, and the changes up to
// it are never read.
func TestChangeMissedAfterRestore(t *testing.T) {
	for name, rewritten := range map[string][]int{
		"the new history has just reached the revision": {3, 4},
		"the new history has passed the revision":       {3, 4, 5},
		"the new history is behind the revision":        {4},
	} {
		t.Run(name, func(t *testing.T) {
			store := storer.NewFake()
			runPoller(t, store, func(t *testing.T, latest func() string) {
				write(t, store, 1)
				old := store.Copy()
				write(t, store, 2, 3)
				time.Sleep(time.Second)
				assert.Equal(t, latest(), "3")
				store.SetFaults(storer.Faults{Outage: true})
				time.Sleep(2 * time.Second)
				store.SetFaults(storer.Faults{})
				store.Restore(old)
				write(t, store, rewritten...)
				time.Sleep(maxReadDelay)
				assert.Equal(t, latest(), strconv.Itoa(rewritten[len(rewritten)-1]))
			})
		})
	}
}
