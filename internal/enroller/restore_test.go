package enroller

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/pkg/storer"
)

// TestNodeObjectLostInRestore guards against a node whose object was taken back by a
// restore of the platform, so that nodes that start later do not find it.
func TestNodeObjectLostInRestore(t *testing.T) {
	self := nodeRecord("reyk-a-1", "10.0.0.1:7600")
	store := storer.NewFake()
	runEnroller(t, self, store, func(t *testing.T, posted func() []blackboard.Msg) {
		before := store.Copy()
		posted()
		assert.Equal(t, len(store.Dump()), 1)
		store.SetFaults(storer.Faults{Outage: true})
		time.Sleep(time.Second)
		store.SetFaults(storer.Faults{})
		store.Restore(before)
		posted()
		assert.Equal(t, len(store.Dump()), 1, "the node's object is not back within 3 s")
	})
}
