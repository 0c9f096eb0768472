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

func record(host, address string) blackboard.NodeRecord {
	return blackboard.NodeRecord{Host: host, Address: address, DataCentre: "reyk-a", Region: "is-south"}
}

// process is an enroller whose effects run.
type process struct {
	cancel context.CancelFunc
	group  sync.WaitGroup
	mu     sync.Mutex
	// got holds what was posted. Guarded by mu.
	got []blackboard.Msg
}

func begin(ctx context.Context, self blackboard.NodeRecord, store *storer.Fake) *process {
	p := &process{}
	ctx, p.cancel = context.WithCancel(ctx)
	c := New(Config{Self: self, Platform: store.Client()})
	_, effects := c.Reduce(blackboard.State{}, blackboard.Tick{Now: time.Now()})
	for _, e := range effects {
		p.group.Go(func() {
			c.Run(ctx, e, func(m blackboard.Msg) {
				p.mu.Lock()
				defer p.mu.Unlock()
				p.got = append(p.got, m)
			})
		})
	}
	return p
}

// posted lets three seconds pass.
func (p *process) posted() []blackboard.Msg {
	time.Sleep(3 * time.Second)
	synctest.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.got
}

func (p *process) end() {
	p.cancel()
	p.group.Wait()
}

// play runs one enroller under fake time.
func play(t *testing.T, self blackboard.NodeRecord, store *storer.Fake, f func(t *testing.T, posted func() []blackboard.Msg)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		p := begin(t.Context(), self, store)
		f(t, p.posted)
		p.end()
	})
}

func assertFound(t *testing.T, m blackboard.Msg, want ...blackboard.NodeRecord) {
	t.Helper()
	found, ok := m.(blackboard.NodesFound)
	assert.Assert(t, ok, "%T", m)
	assert.DeepEqual(t, found.Nodes, want)
}

func TestEnrol(t *testing.T) {
	self, other := record("reyk-a-1", "10.0.0.1:7600"), record("reyk-a-2", "10.0.0.2:7600")
	t.Run("nodes find each other", func(t *testing.T) {
		store := storer.NewFake()
		assert.NilError(t, Config{Self: other, Platform: store.Client()}.write(t.Context(), []byte(`{"host":"reyk-a-2","address":"10.0.0.2:7600","data-centre":"reyk-a","region":"is-south"}`)))
		play(t, self, store, func(t *testing.T, posted func() []blackboard.Msg) { assertFound(t, posted()[0], self, other) })
	})
	t.Run("a node that comes back at its address writes nothing, and replaces its object at another", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			store := storer.NewFake()
			first := begin(t.Context(), self, store)
			first.posted()
			first.end()
			before := store.Dump()[0].Revision
			second := begin(t.Context(), self, store)
			second.posted()
			second.end()
			assert.Equal(t, store.Dump()[0].Revision, before)
			moved := record(self.Host, "10.0.0.9:7600")
			third := begin(t.Context(), moved, store)
			assertFound(t, third.posted()[0], moved)
			third.end()
		})
	})
	t.Run("within two seconds of the platform's return", func(t *testing.T) {
		store := storer.NewFake()
		store.Set(storer.Faults{Outage: true})
		play(t, self, store, func(t *testing.T, posted func() []blackboard.Msg) {
			posted()
			assert.Equal(t, len(store.Dump()), 0)
			store.Set(storer.Faults{})
			time.Sleep(2 * time.Second)
			synctest.Wait()
			assert.Equal(t, len(store.Dump()), 1)
		})
	})
	t.Run("a write whose answer is lost is settled", func(t *testing.T) {
		store := storer.NewFake()
		store.Set(storer.Faults{LoseAnswers: 1})
		play(t, self, store, func(t *testing.T, posted func() []blackboard.Msg) {
			posted()
			assert.Equal(t, len(store.Dump()), 1)
		})
	})
	t.Run("objects of other writers name no node", func(t *testing.T) {
		store := storer.NewFake()
		for key, value := range map[string]string{Kind + "/x": `{"host":"y"}`, Kind + "/z": `what`} {
			_, err := store.Client().Put(t.Context(), key, []byte(value), 0)
			assert.NilError(t, err)
		}
		play(t, self, store, func(t *testing.T, posted func() []blackboard.Msg) { assertFound(t, posted()[0], self) })
	})
}

func TestLeave(t *testing.T) {
	leave := func(phase blackboard.TargetPhase) int {
		s := blackboard.State{}
		s.Target.Evidence.Announced = phase
		_, effects := Reduce(s, blackboard.LeaveRequested{})
		return len(effects)
	}
	assert.Equal(t, leave(blackboard.TargetReady), 0, "a node whose target goes on will be back")
	assert.Equal(t, leave(blackboard.TargetDraining), 1, "one whose target has left will not")
}
