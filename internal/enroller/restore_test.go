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

func TestNodeObjectAfterRestore(t *testing.T) {
	self := nodeRecord("reyk-a-1", "10.0.0.1:7600")
	enrolled := func(era uint64) blackboard.State {
		return blackboard.State{Self: blackboard.Self{Host: self.Host}, Enrolment: blackboard.Enrolment{Started: true, Era: era}}
	}
	update := func(era uint64) blackboard.Msg { return blackboard.NodeUpdated{Host: "reyk-a-2", PlatformEra: era} }
	leaving := enrolled(3)
	leaving.Enrolment.Removed = true
	for name, c := range map[string]struct {
		state    blackboard.State
		msg      blackboard.Msg
		confirms bool
		era      uint64
	}{
		"another node knows a later era":                {enrolled(3), update(4), true, 4},
		"another node knows the same era":               {enrolled(3), update(3), false, 3},
		"another node knows an earlier era":             {enrolled(3), update(2), false, 3},
		"another node is the first to tell the era":     {enrolled(0), update(3), false, 3},
		"a node that leaves for good hears of it":       {leaving, update(4), false, 4},
		"this node reads a later era":                   {enrolled(3), blackboard.PlatformEraRead{Era: 4}, true, 4},
		"this node reads its first era":                 {enrolled(0), blackboard.PlatformEraRead{Era: 3}, false, 3},
		"a full list lacks this node":                   {enrolled(3), blackboard.NodesFound{Complete: true}, true, 3},
		"a full list holds this node":                   {enrolled(3), blackboard.NodesFound{Complete: true, Nodes: []blackboard.NodeRecord{self}}, false, 3},
		"a part of the list lacks this node":            {enrolled(3), blackboard.NodesFound{}, false, 3},
		"a full list lacks a node that leaves for good": {leaving, blackboard.NodesFound{Complete: true}, false, 3},
	} {
		t.Run(name, func(t *testing.T) {
			s, effects := Reduce(c.state, c.msg)
			assert.Equal(t, len(effects) == 1, c.confirms)
			assert.Equal(t, s.Enrolment.Era, c.era)
		})
	}
	t.Run("an object that is in place is not written", func(t *testing.T) {
		store := storer.NewFake()
		runEnroller(t, self, store, func(t *testing.T, posted func() []blackboard.Msg) {
			posted()
			before := store.Counts().Writes
			store.Restore(store.Copy())
			posted()
			assert.Equal(t, store.Counts().Writes, before)
		})
	})
}
