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

// harness drives a subscriber's Reduce function.
type harness struct {
	t          *testing.T
	subscriber *Subscriber
	state      blackboard.State
}

func newHarness(t *testing.T) *harness {
	self := node("reyk-a-1", "10.0.0.1:7600")
	return &harness{
		t: t, subscriber: New(Config{Self: self}),
		state: blackboard.State{Self: blackboard.Self{Host: self.Host, Address: self.Address, DataCentre: "reyk-a"}},
	}
}

// post reduces a message and returns its effects except publish.
func (h *harness) post(m blackboard.Msg) []blackboard.Effect {
	var effects, out []blackboard.Effect
	h.state, effects = h.subscriber.reduce(h.state, m)
	for _, e := range effects {
		if _, ok := e.(publish); !ok {
			out = append(out, e)
		}
	}
	return out
}

func (h *harness) assertStatus(host string, want blackboard.MemberStatus) {
	h.t.Helper()
	assert.Equal(h.t, h.state.Members.ByHost[host].Status, want)
}

func TestMembers(t *testing.T) {
	other := node("reyk-a-2", "10.0.0.2:7600")
	found := blackboard.NodesFound{Nodes: []blackboard.NodeRecord{other, node("reyk-a-1", "10.0.0.1:7600")}, Now: start}
	ready := blackboard.NodeUpdated{
		Host: other.Host, Target: blackboard.TargetRecord{Service: "booking", Phase: blackboard.TargetReady}, Now: start,
	}
	t.Run("a found node is subscribed to and gets no work before its first update", func(t *testing.T) {
		h := newHarness(t)
		assert.DeepEqual(t, h.post(found)[0].(subscribe).host, other.Host)
		assert.Equal(t, len(h.state.Members.ByHost), 1, "a node does not subscribe to itself")
		h.assertStatus(other.Host, blackboard.MemberDead)
		h.post(ready)
		h.assertStatus(other.Host, blackboard.MemberAlive)
	})
	t.Run("a node that is found again is not subscribed to again", func(t *testing.T) {
		h := newHarness(t)
		h.post(found)
		assert.Equal(t, len(h.post(found)), 0)
	})
	t.Run("a node with a new address is subscribed to again", func(t *testing.T) {
		h := newHarness(t)
		h.post(found)
		h.post(ready)
		moved := node(other.Host, "10.0.0.9:7600")
		assert.Equal(t, len(h.post(blackboard.NodesFound{Nodes: []blackboard.NodeRecord{moved}, Now: start})), 1)
		h.post(blackboard.NodeLost{Host: other.Host, Address: other.Address, Now: start})
		assert.Equal(t, h.state.Members.ByHost[other.Host].Address, moved.Address, "the end of the old stream is ignored")
	})
	t.Run("a draining node gets no work", func(t *testing.T) {
		h := newHarness(t)
		h.post(found)
		draining := ready
		draining.Draining = true
		h.post(draining)
		assert.Equal(t, h.state.Members.ByHost[other.Host].Target.Phase, blackboard.TargetDraining)
	})
	t.Run("a node that has lost the platform reports it", func(t *testing.T) {
		h := newHarness(t)
		h.state.Config.PlatformLost = true
		_, effects := h.subscriber.reduce(h.state, found)
		published := effects[len(effects)-1].(publish).update
		decoded := h.subscriber.decodeUpdate(h.subscriber.encodeUpdate(published, nil))
		assert.Assert(t, decoded.PlatformLost)
		decoded.Host = other.Host
		h.post(found)
		h.post(decoded)
		assert.Assert(t, h.state.Members.ByHost[other.Host].PlatformLost)
	})
	t.Run("a silent node becomes suspect, a closed stream makes it dead", func(t *testing.T) {
		h := newHarness(t)
		h.post(found)
		h.post(ready)
		h.post(blackboard.NodeLost{Host: other.Host, Address: other.Address, TimedOut: true, Now: start})
		h.assertStatus(other.Host, blackboard.MemberSuspect)
		h.post(blackboard.NodeLost{Host: other.Host, Address: other.Address, Now: start})
		h.assertStatus(other.Host, blackboard.MemberDead)
		h.post(ready)
		h.assertStatus(other.Host, blackboard.MemberAlive)
	})
	t.Run("a node is removed when another node answers at its address", func(t *testing.T) {
		h := newHarness(t)
		h.post(found)
		h.post(blackboard.NodeLost{Host: other.Host, Address: other.Address, HostMismatch: true, Now: start})
		assert.Equal(t, len(h.state.Members.ByHost), 0)
		assert.Equal(t, len(h.post(found)), 0, "a report by another node is ignored")
		selfReport := found
		selfReport.SelfReported = true
		assert.Equal(t, len(h.post(selfReport)), 1, "a report by the node itself is accepted")
	})
	t.Run("a node lost for long is subscribed to at once when it reports its address", func(t *testing.T) {
		h := newHarness(t)
		h.post(found)
		selfReport := blackboard.NodesFound{Nodes: []blackboard.NodeRecord{other}, SelfReported: true, Now: start}
		assert.Equal(t, len(h.post(selfReport)), 0, "two nodes that start together do not restart their streams")
		selfReport.Now = start.Add(longLost)
		assert.DeepEqual(t, h.post(selfReport)[0].(subscribe).address, other.Address)
		h.post(ready)
		assert.Equal(t, len(h.post(selfReport)), 0, "a live node is already subscribed to")
	})
	t.Run("a lost node that the platform no longer lists is removed, a live one is not", func(t *testing.T) {
		emptyList := blackboard.NodesFound{Complete: true, Now: start}
		h := newHarness(t)
		h.post(found)
		h.post(ready)
		assert.Equal(t, len(h.post(emptyList)), 0)
		h.post(blackboard.NodeLost{Host: other.Host, Address: other.Address, Now: start})
		assert.DeepEqual(t, h.post(emptyList)[0].(unsubscribe).host, other.Host)
		assert.Equal(t, len(h.state.Members.ByHost), 0)
	})
	t.Run("a removed node is forgotten", func(t *testing.T) {
		h := newHarness(t)
		h.post(found)
		assert.DeepEqual(t, h.post(blackboard.NodeRemoved{Host: other.Host, Now: start})[0].(unsubscribe).host, other.Host)
		assert.Equal(t, len(h.state.Members.ByHost), 0)
	})
}

// mesh connects nodes in memory.
type mesh struct {
	ctx   context.Context
	group sync.WaitGroup
	mu    sync.Mutex
	// links holds the linker of each node, by address. Guarded by mu.
	links map[string]*linker.Linker
	// loads holds the loads that nodes received, by receiver, sender and service. Guarded by mu.
	loads map[string]limiter.Load
}

var testLoad = limiter.Load{Slots: 9, InFlight: 4, Service: time.Second}

func (m *mesh) assertLoads(t *testing.T, want map[string]limiter.Load) {
	t.Helper()
	m.mu.Lock()
	defer m.mu.Unlock()
	assert.DeepEqual(t, m.loads, want)
}

func (m *mesh) recordLoad(host, service string, l limiter.Load) {
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
	client, server := net.Pipe()
	m.group.Go(func() { to.ServeConn(m.ctx, server) })
	return client, nil
}

// start runs a node that initially knows the nodes in known, and returns its board.
func (m *mesh) start(self blackboard.NodeRecord, known ...blackboard.NodeRecord) *blackboard.Board {
	links := linker.New()
	links.Dial = m.dial
	var board *blackboard.Board
	sub := New(Config{
		Self: self,
		Open: func(ctx context.Context, address string) (*linker.Stream, error) {
			return links.Open(ctx, address, linker.TrafficControl, StreamKind)
		},
		Post: func(msg blackboard.Msg) { board.Post(msg) },
		Load: func() (limiter.Load, bool) { return testLoad, true },
		OnLoad: func(host, service string, l limiter.Load) {
			m.recordLoad(self.Host+" from "+host, service, l)
		},
	})
	links.Handle(StreamKind, sub.Serve)
	state := blackboard.State{
		Self:   blackboard.Self{Host: self.Host, Address: self.Address, DataCentre: self.DataCentre},
		Target: blackboard.Target{Record: blackboard.TargetRecord{Service: "booking", Phase: blackboard.TargetReady, Slots: 9}},
	}
	board = blackboard.New(state, []blackboard.Controller{sub.Controller()})
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

func isAlive(b *blackboard.Board, host string) bool {
	m := b.Read().Members.ByHost[host]
	return m.Status == blackboard.MemberAlive && m.Target.Slots == 9
}

// TestRejoinWithoutPlatform guards against a node that stays isolated when it
// restarts during a platform outage: the nodes that know its address must find it,
// and it must learn of all others from them. It also checks that only nodes of one
// data centre exchange loads. Both are checked in one test because yamux reuses
// timers, which must not be used outside the synctest bubble that created them.
func TestRejoinWithoutPlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		m := &mesh{ctx: ctx, links: map[string]*linker.Linker{}}
		node1, node2, node3 := node("reyk-a-1", "1"), node("reyk-a-2", "2"), node("reyk-a-3", "3")
		first := m.start(node1, node2, node3)
		second := m.start(node2, node1, node3)
		remote := node("hafn-c-1", "4")
		remote.DataCentre = "hafn-c"
		m.start(remote, node1, node2)
		time.Sleep(2 * time.Second)
		m.assertLoads(t, map[string]limiter.Load{"reyk-a-1 from reyk-a-2 booking": testLoad, "reyk-a-2 from reyk-a-1 booking": testLoad})
		assert.Assert(t, isAlive(first, "reyk-a-2") && isAlive(second, "reyk-a-1"))
		assert.Assert(t, !isAlive(first, "reyk-a-3"))
		restarted := m.start(node3)
		time.Sleep(3 * time.Second)
		assert.Assert(t, isAlive(first, "reyk-a-3") && isAlive(second, "reyk-a-3"))
		assert.Assert(t, isAlive(restarted, "reyk-a-1") && isAlive(restarted, "reyk-a-2"))
		cancel()
		m.group.Wait()
	})
}
