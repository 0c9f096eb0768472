package subscriber

import (
	"context"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/limiter"
	"gentianbarrow.example/internal/linker"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func node(host, address string) blackboard.NodeRecord {
	return blackboard.NodeRecord{Host: host, Address: address, DataCentre: "reyk-a", Region: "is-south"}
}

// bench drives a subscriber's Reduce function.
type bench struct {
	t     *testing.T
	nodes *Subscriber
	state blackboard.State
}

func newBench(t *testing.T) *bench {
	self := node("reyk-a-1", "10.0.0.1:7600")
	return &bench{
		t: t, nodes: New(Config{Self: self}),
		state: blackboard.State{Self: blackboard.Self{Host: self.Host, Address: self.Address, DataCentre: "reyk-a"}},
	}
}

// post returns the effects other than publishing.
func (b *bench) post(m blackboard.Msg) []blackboard.Effect {
	var effects, out []blackboard.Effect
	b.state, effects = b.nodes.reduce(b.state, m)
	for _, e := range effects {
		if _, ok := e.(publish); !ok {
			out = append(out, e)
		}
	}
	return out
}

func (b *bench) assertStatus(host string, want blackboard.MemberStatus) {
	b.t.Helper()
	assert.Equal(b.t, b.state.Members.ByHost[host].Status, want)
}

func TestMembers(t *testing.T) {
	other := node("reyk-a-2", "10.0.0.2:7600")
	found := blackboard.NodesFound{Nodes: []blackboard.NodeRecord{other, node("reyk-a-1", "10.0.0.1:7600")}, Now: start}
	ready := blackboard.NodeUpdated{
		Host: other.Host, Target: blackboard.TargetRecord{Service: "booking", Phase: blackboard.TargetReady}, Now: start,
	}
	t.Run("a node that was found is followed and takes no work before its first word", func(t *testing.T) {
		b := newBench(t)
		assert.DeepEqual(t, b.post(found)[0].(subscribe).host, other.Host)
		assert.Equal(t, len(b.state.Members.ByHost), 1, "a node does not follow itself")
		b.assertStatus(other.Host, blackboard.MemberDead)
		b.post(ready)
		b.assertStatus(other.Host, blackboard.MemberAlive)
	})
	t.Run("it is followed once", func(t *testing.T) {
		b := newBench(t)
		b.post(found)
		assert.Equal(t, len(b.post(found)), 0)
	})
	t.Run("and anew at another address", func(t *testing.T) {
		b := newBench(t)
		b.post(found)
		b.post(ready)
		moved := node(other.Host, "10.0.0.9:7600")
		assert.Equal(t, len(b.post(blackboard.NodesFound{Nodes: []blackboard.NodeRecord{moved}, Now: start})), 1)
		b.post(blackboard.NodeLost{Host: other.Host, Address: other.Address, Now: start})
		assert.Equal(t, b.state.Members.ByHost[other.Host].Address, moved.Address, "the end of the old stream is no news")
	})
	t.Run("a node that drains takes no work", func(t *testing.T) {
		b := newBench(t)
		b.post(found)
		draining := ready
		draining.Draining = true
		b.post(draining)
		assert.Equal(t, b.state.Members.ByHost[other.Host].Target.Phase, blackboard.TargetDraining)
	})
	t.Run("a node that has lost the platform says so", func(t *testing.T) {
		b := newBench(t)
		b.state.Config.PlatformLost = true
		_, effects := b.nodes.reduce(b.state, found)
		told := effects[len(effects)-1].(publish).update
		again := b.nodes.decode(b.nodes.encode(told, nil))
		assert.Assert(t, again.PlatformLost)
		again.Host = other.Host
		b.post(found)
		b.post(again)
		assert.Assert(t, b.state.Members.ByHost[other.Host].PlatformLost)
	})
	t.Run("silence and a closed stream are told apart", func(t *testing.T) {
		b := newBench(t)
		b.post(found)
		b.post(ready)
		b.post(blackboard.NodeLost{Host: other.Host, Address: other.Address, TimedOut: true, Now: start})
		b.assertStatus(other.Host, blackboard.MemberSuspect)
		b.post(blackboard.NodeLost{Host: other.Host, Address: other.Address, Now: start})
		b.assertStatus(other.Host, blackboard.MemberDead)
		b.post(ready)
		b.assertStatus(other.Host, blackboard.MemberAlive)
	})
	t.Run("a node whose address another one has is forgotten", func(t *testing.T) {
		b := newBench(t)
		b.post(found)
		b.post(blackboard.NodeLost{Host: other.Host, Address: other.Address, HostMismatch: true, Now: start})
		assert.Equal(t, len(b.state.Members.ByHost), 0)
		assert.Equal(t, len(b.post(found)), 0, "what others say of it is not believed")
		itself := found
		itself.SelfReported = true
		assert.Equal(t, len(b.post(itself)), 1, "what it says itself is")
	})
	t.Run("a node lost for long is followed again at once when it says where it is", func(t *testing.T) {
		b := newBench(t)
		b.post(found)
		itself := blackboard.NodesFound{Nodes: []blackboard.NodeRecord{other}, SelfReported: true, Now: start}
		assert.Equal(t, len(b.post(itself)), 0, "two nodes that meet at their start do not begin anew")
		itself.Now = start.Add(longLost)
		assert.DeepEqual(t, b.post(itself)[0].(subscribe).address, other.Address)
		b.post(ready)
		assert.Equal(t, len(b.post(itself)), 0, "a living one is followed already")
	})
	t.Run("a lost node that the platform no longer names is forgotten, a living one is not", func(t *testing.T) {
		none := blackboard.NodesFound{Complete: true, Now: start}
		b := newBench(t)
		b.post(found)
		b.post(ready)
		assert.Equal(t, len(b.post(none)), 0)
		b.post(blackboard.NodeLost{Host: other.Host, Address: other.Address, Now: start})
		assert.DeepEqual(t, b.post(none)[0].(forget).host, other.Host)
		assert.Equal(t, len(b.state.Members.ByHost), 0)
	})
	t.Run("and so is one that was removed", func(t *testing.T) {
		b := newBench(t)
		b.post(found)
		assert.DeepEqual(t, b.post(blackboard.NodeRemoved{Host: other.Host, Now: start})[0].(forget).host, other.Host)
		assert.Equal(t, len(b.state.Members.ByHost), 0)
	})
}

// mesh links boards in memory.
type mesh struct {
	ctx   context.Context
	group sync.WaitGroup
	mu    sync.Mutex
	// links by address. Guarded by mu.
	links map[string]*linker.Linker
	// loads that nodes were told, by the hosts of both. Guarded by mu.
	loads map[string]limiter.Load
}

var toldLoad = limiter.Load{Slots: 9, InFlight: 4, Service: time.Second}

func (m *mesh) assertLoads(t *testing.T, want map[string]limiter.Load) {
	t.Helper()
	m.mu.Lock()
	defer m.mu.Unlock()
	assert.DeepEqual(t, m.loads, want)
}

func (m *mesh) loaded(host, service string, l limiter.Load) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.loads == nil {
		m.loads = map[string]limiter.Load{}
	}
	m.loads[host+" "+service] = l
}

func (m *mesh) dial(_ context.Context, address string) (net.Conn, error) {
	m.mu.Lock()
	to := m.links[address]
	m.mu.Unlock()
	if to == nil {
		return nil, &net.OpError{Op: "dial", Err: net.ErrClosed}
	}
	near, far := net.Pipe()
	m.group.Go(func() { to.ServeConn(m.ctx, far) })
	return near, nil
}

// start runs a node that knows those that are given, and returns its board.
func (m *mesh) start(self blackboard.NodeRecord, known ...blackboard.NodeRecord) *blackboard.Board {
	links := linker.New()
	links.Dial = m.dial
	var board *blackboard.Board
	nodes := New(Config{
		Self: self,
		Open: func(ctx context.Context, address string) (*linker.Stream, error) {
			return links.Open(ctx, address, linker.TrafficControl, StreamKind)
		},
		Post: func(msg blackboard.Msg) { board.Post(msg) },
		Load: func() (limiter.Load, bool) { return toldLoad, true },
		OnLoad: func(host, service string, l limiter.Load) {
			m.loaded(self.Host+" by "+host, service, l)
		},
	})
	links.Handle(StreamKind, nodes.Serve)
	state := blackboard.State{
		Self:   blackboard.Self{Host: self.Host, Address: self.Address, DataCentre: self.DataCentre},
		Target: blackboard.Target{Record: blackboard.TargetRecord{Service: "booking", Phase: blackboard.TargetReady, Slots: 9}},
	}
	board = blackboard.New(state, []blackboard.Controller{nodes.Controller()})
	m.mu.Lock()
	m.links[self.Address] = links
	m.mu.Unlock()
	m.group.Go(func() { _ = board.Run(m.ctx) })
	m.group.Go(func() {
		<-m.ctx.Done()
		links.Close()
	})
	board.Post(blackboard.NodesFound{Nodes: known, Now: time.Now()})
	return board
}

func alive(b *blackboard.Board, host string) bool {
	m := b.Read().Members.ByHost[host]
	return m.Status == blackboard.MemberAlive && m.Target.Slots == 9
}

// TestFindsBack shows that a node which restarts while the platform is away is
// found by those that know its address, and learns of all others from them; and
// that nodes of a data centre tell each other their loads, and no others. It is one
// test, since yamux keeps timers that do not leave the bubble they were made in.
func TestFindsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		m := &mesh{ctx: ctx, links: map[string]*linker.Linker{}}
		one, two, three := node("reyk-a-1", "1"), node("reyk-a-2", "2"), node("reyk-a-3", "3")
		first := m.start(one, two, three)
		second := m.start(two, one, three)
		elsewhere := node("hafn-c-1", "4")
		elsewhere.DataCentre = "hafn-c"
		m.start(elsewhere, one, two)
		time.Sleep(2 * time.Second)
		m.assertLoads(t, map[string]limiter.Load{"reyk-a-1 by reyk-a-2 booking": toldLoad, "reyk-a-2 by reyk-a-1 booking": toldLoad})
		assert.Assert(t, alive(first, "reyk-a-2") && alive(second, "reyk-a-1"))
		assert.Assert(t, !alive(first, "reyk-a-3"))
		restarted := m.start(three)
		time.Sleep(3 * time.Second)
		assert.Assert(t, alive(first, "reyk-a-3") && alive(second, "reyk-a-3"))
		assert.Assert(t, alive(restarted, "reyk-a-1") && alive(restarted, "reyk-a-2"))
		cancel()
		m.group.Wait()
	})
}
