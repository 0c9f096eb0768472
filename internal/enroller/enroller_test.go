package enroller

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/pkg/storer"
)

func nodeRecord(host, address string) blackboard.NodeRecord {
	return blackboard.NodeRecord{Host: host, Address: address, DataCentre: "reyk-a", Region: "is-south"}
}

// runningEnroller is an enroller whose effects run, with the messages that it posts.
type runningEnroller struct {
	cancel context.CancelFunc
	group  sync.WaitGroup
	mu     sync.Mutex
	// state is as after all messages. Guarded by mu.
	state blackboard.State
	// messages holds the posted messages about nodes. Guarded by mu.
	messages []blackboard.Msg
}

// post reduces a message and runs its effects.
func (r *runningEnroller) post(ctx context.Context, c blackboard.Controller, m blackboard.Msg) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch m.(type) {
	case blackboard.NodesFound, blackboard.NodeRemoved:
		r.messages = append(r.messages, m)
	}
	var effects []blackboard.Effect
	r.state, effects = c.Reduce(r.state, m)
	for _, e := range effects {
		r.group.Go(func() { c.Run(ctx, e, func(m blackboard.Msg) { r.post(ctx, c, m) }) })
	}
}

func startEnroller(ctx context.Context, self blackboard.NodeRecord, store *storer.Fake) *runningEnroller {
	r := &runningEnroller{}
	ctx, r.cancel = context.WithCancel(ctx)
	r.state.Self.Host = self.Host
	r.post(ctx, New(Config{Self: self, Platform: store.Client()}), blackboard.Tick{Now: time.Now()})
	return r
}

// posted waits for 3 seconds and returns the messages posted so far.
func (r *runningEnroller) posted() []blackboard.Msg {
	time.Sleep(3 * time.Second)
	synctest.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.messages
}

func (r *runningEnroller) stop() {
	r.cancel()
	r.group.Wait()
}

// runEnroller runs one enroller under fake time until f returns.
func runEnroller(t *testing.T, self blackboard.NodeRecord, store *storer.Fake, f func(t *testing.T, posted func() []blackboard.Msg)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		r := startEnroller(t.Context(), self, store)
		f(t, r.posted)
		r.stop()
	})
}

func assertFound(t *testing.T, m blackboard.Msg, want ...blackboard.NodeRecord) {
	t.Helper()
	found, ok := m.(blackboard.NodesFound)
	assert.Assert(t, ok, "%T", m)
	assert.DeepEqual(t, found.Nodes, want)
}

func TestEnrol(t *testing.T) {
	self, other := nodeRecord("reyk-a-1", "10.0.0.1:7600"), nodeRecord("reyk-a-2", "10.0.0.2:7600")
	t.Run("nodes find each other", func(t *testing.T) {
		store := storer.NewFake()
		_, err := store.Client().Put(t.Context(), Kind+"/reyk-a-2", []byte(`{"host":"reyk-a-2","address":"10.0.0.2:7600","data-centre":"reyk-a","region":"is-south"}`), 0)
		assert.NilError(t, err)
		runEnroller(t, self, store, func(t *testing.T, posted func() []blackboard.Msg) { assertFound(t, posted()[0], self, other) })
	})
	t.Run("a node that restarts at its address writes nothing, and at another address replaces its object", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			store := storer.NewFake()
			first := startEnroller(t.Context(), self, store)
			first.posted()
			first.stop()
			before := store.Dump()[0].Revision
			second := startEnroller(t.Context(), self, store)
			second.posted()
			second.stop()
			assert.Equal(t, store.Dump()[0].Revision, before)
			moved := nodeRecord(self.Host, "10.0.0.9:7600")
			third := startEnroller(t.Context(), moved, store)
			assertFound(t, third.posted()[0], moved)
			third.stop()
		})
	})
	t.Run("a node enrols within two seconds after an outage", func(t *testing.T) {
		store := storer.NewFake()
		store.SetFaults(storer.Faults{Outage: true})
		runEnroller(t, self, store, func(t *testing.T, posted func() []blackboard.Msg) {
			posted()
			assert.Equal(t, len(store.Dump()), 0)
			store.SetFaults(storer.Faults{})
			time.Sleep(2 * time.Second)
			synctest.Wait()
			assert.Equal(t, len(store.Dump()), 1)
		})
	})
	t.Run("a write whose response is lost is retried", func(t *testing.T) {
		store := storer.NewFake()
		store.SetFaults(storer.Faults{LoseAnswers: 1})
		runEnroller(t, self, store, func(t *testing.T, posted func() []blackboard.Msg) {
			posted()
			assert.Equal(t, len(store.Dump()), 1)
		})
	})
	t.Run("invalid objects are ignored", func(t *testing.T) {
		store := storer.NewFake()
		for key, value := range map[string]string{Kind + "/x": `{"host":"y"}`, Kind + "/z": `what`} {
			_, err := store.Client().Put(t.Context(), key, []byte(value), 0)
			assert.NilError(t, err)
		}
		runEnroller(t, self, store, func(t *testing.T, posted func() []blackboard.Msg) { assertFound(t, posted()[0], self) })
	})
}

func TestLeave(t *testing.T) {
	countLeaveEffects := func(phase blackboard.TargetPhase) int {
		s := blackboard.State{}
		s.Target.Evidence.Announced = phase
		_, effects := Reduce(s, blackboard.LeaveRequested{})
		return len(effects)
	}
	assert.Equal(t, countLeaveEffects(blackboard.TargetReady), 0, "the object stays while the target keeps running")
	assert.Equal(t, countLeaveEffects(blackboard.TargetDraining), 1, "the object is marked for removal when the target leaves")
}

// TestForgetNodeThatLeft guards against objects of hosts that are gone for good, which
// nobody removes, and against the removal of one whose node has returned.
func TestForgetNodeThatLeft(t *testing.T) {
	const key = Kind + "/reyk-a-2"
	value := func(field string) []byte {
		return []byte(`{"host":"reyk-a-2","address":"10.0.0.2:7600","data-centre":"reyk-a","region":"is-south"` + field + `}`)
	}
	play := func(t *testing.T, meanwhile func(t *testing.T, client storer.Client), want int) {
		store := storer.NewFake()
		synctest.Test(t, func(t *testing.T) {
			left := `,"forget-at":"` + time.Now().Add(forgetDelay).UTC().Format(time.RFC3339) + `"`
			_, err := store.Client().Put(t.Context(), key, value(left), 0)
			assert.NilError(t, err)
			r := startEnroller(t.Context(), nodeRecord("reyk-a-1", "10.0.0.1:7600"), store)
			time.Sleep(forgetDelay - time.Second)
			assert.Equal(t, len(store.Dump()), 2, "the object is kept until its time has come")
			meanwhile(t, store.Client())
			time.Sleep(time.Minute)
			assert.Equal(t, len(store.Dump()), want)
			r.stop()
		})
	}
	t.Run("a node that stays away", func(t *testing.T) {
		play(t, func(*testing.T, storer.Client) {}, 1)
	})
	t.Run("a node that has returned", func(t *testing.T) {
		play(t, func(t *testing.T, client storer.Client) {
			old, err := client.Get(t.Context(), key)
			assert.NilError(t, err)
			_, err = client.Put(t.Context(), key, value(""), old.Revision)
			assert.NilError(t, err)
		}, 2)
	})
	t.Run("a time that cannot be read", func(t *testing.T) {
		assert.Assert(t, decodeForgetAt(value(`,"forget-at":"soon"`)).IsZero())
	})
}
