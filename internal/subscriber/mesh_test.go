package subscriber

import (
	"context"
	"fmt"
	"maps"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/limiter"
	"gentianbarrow.example/internal/linker"
	"gentianbarrow.example/internal/poller"
)

// mesh connects nodes in memory. Addresses are host names.
type mesh struct {
	t     *testing.T
	ctx   context.Context
	group sync.WaitGroup
	mu    sync.Mutex
	nodes map[string]*meshNode
	// loads holds the loads that nodes received, by receiver, sender and service. Guarded by mu.
	loads map[string]limiter.Load
	// cut is the data centre that nothing crosses the border of; empty when there is none. Guarded by mu.
	cut string
}

// meshNode is a node of a mesh.
type meshNode struct {
	record blackboard.NodeRecord
	links  *linker.Linker
	board  *blackboard.Board
	stop   context.CancelFunc
	ctx    context.Context
}

var testLoad = limiter.Load{Slots: 9, InFlight: 4, Service: time.Second}

func (m *mesh) assertLoads(want map[string]limiter.Load) {
	m.t.Helper()
	m.mu.Lock()
	defer m.mu.Unlock()
	assert.DeepEqual(m.t, m.loads, want)
}

func (m *mesh) recordLoad(host, service string, l limiter.Load) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.loads == nil {
		m.loads = map[string]limiter.Load{}
	}
	m.loads[host+" "+service] = l
}

// isCut reports whether packets between two data centres are lost.
func (m *mesh) isCut(a, b string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return a != b && (m.cut == a || m.cut == b)
}

func (m *mesh) setCut(dataCentre string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cut = dataCentre
}

// lossyConn loses what is written to it while isCut returns true.
type lossyConn struct {
	net.Conn
	isCut func() bool
}

func (c *lossyConn) Write(b []byte) (int, error) {
	if c.isCut() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (m *mesh) dial(ctx context.Context, from blackboard.NodeRecord, address string) (net.Conn, error) {
	m.mu.Lock()
	to := m.nodes[address]
	m.mu.Unlock()
	if to == nil {
		return nil, &net.OpError{Op: "dial", Err: net.ErrClosed}
	}
	isCut := func() bool { return m.isCut(from.DataCentre, to.record.DataCentre) }
	if isCut() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	client, server := net.Pipe()
	m.group.Go(func() { to.links.ServeConn(to.ctx, &lossyConn{Conn: server, isCut: isCut}) })
	return &lossyConn{Conn: client, isCut: isCut}, nil
}

// start runs a node that initially knows the nodes in known.
func (m *mesh) start(self blackboard.NodeRecord, known ...blackboard.NodeRecord) *meshNode {
	n := &meshNode{record: self, links: linker.New()}
	n.ctx, n.stop = context.WithCancel(m.ctx)
	n.links.Dial = func(ctx context.Context, address string) (net.Conn, error) { return m.dial(ctx, self, address) }
	sub := New(Config{
		Self: self, Incarnation: uint64(time.Now().UnixMicro()),
		Open: func(ctx context.Context, address string) (*linker.Stream, error) {
			return n.links.Open(ctx, address, linker.TrafficControl, StreamKind)
		},
		State: func() *blackboard.State { return n.board.Read() },
		Post:  func(msg blackboard.Msg) { n.board.Post(msg) },
		Load:  func() (limiter.Load, bool) { return testLoad, true },
		OnLoad: func(host, service string, l limiter.Load) {
			m.recordLoad(self.Host+" from "+host, service, l)
		},
	})
	n.links.Handle(StreamKind, sub.Serve)
	// drain stands for the drainer.
	drain := blackboard.Controller{Name: "drain", Reduce: func(s blackboard.State, msg blackboard.Msg) (blackboard.State, []blackboard.Effect) {
		if _, ok := msg.(blackboard.StopRequested); ok {
			s.Lifecycle.Phase = blackboard.LifecycleStopped
		}
		return s, nil
	}}
	n.board = blackboard.New(blackboard.State{
		Self:   blackboard.Self{Host: self.Host, Address: self.Address, DataCentre: self.DataCentre, LinkMbit: self.LinkMbit},
		Target: blackboard.Target{Record: blackboard.TargetRecord{Service: "booking", Phase: blackboard.TargetReady, Slots: 9}},
	}, []blackboard.Controller{drain, sub.Controller()})
	m.mu.Lock()
	m.nodes[self.Address] = n
	m.mu.Unlock()
	m.group.Go(func() { _ = n.board.Run(n.ctx) })
	m.group.Go(func() {
		for poller.Sleep(n.ctx, blackboard.TickInterval) {
			n.board.Post(blackboard.Tick{Now: time.Now()})
		}
	})
	m.group.Go(func() {
		<-n.ctx.Done()
		n.links.Close()
	})
	n.board.Post(blackboard.NodesFound{Nodes: known, Now: time.Now()})
	return n
}

// kill ends a node at once; connections to it are refused from then on.
func (m *mesh) kill(n *meshNode) {
	m.mu.Lock()
	if m.nodes[n.record.Address] == n {
		delete(m.nodes, n.record.Address)
	}
	m.mu.Unlock()
	n.stop()
}

func (n *meshNode) isAlive(host string) bool {
	m := n.board.Read().Members.ByHost[host]
	return m.Status == blackboard.MemberAlive && m.Target.Slots == 9
}

// assertSees checks that each node regards as alive exactly the nodes in live, and as
// draining those in draining.
func assertSees(t *testing.T, when string, nodes, live []*meshNode, draining ...*meshNode) {
	t.Helper()
	for _, n := range nodes {
		want := map[string]blackboard.TargetPhase{}
		for _, l := range live {
			want[l.record.Host] = blackboard.TargetReady
		}
		for _, d := range draining {
			want[d.record.Host] = blackboard.TargetDraining
		}
		delete(want, n.record.Host)
		got := map[string]blackboard.TargetPhase{}
		for host, m := range n.board.Read().Members.ByHost {
			if m.Status == blackboard.MemberAlive {
				got[host] = m.Target.Phase
			}
		}
		assert.Assert(t, maps.Equal(got, want), "%s %s sees %v, not %v", n.record.Host, when, got, want)
	}
}

// TestMesh runs meshes of nodes. All are in one test because yamux reuses timers,
// which must not be used outside the synctest bubble that created them.
func TestMesh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, run := range []func(*mesh){rejoinWithoutPlatform, viewsAcrossDataCentres} {
			ctx, cancel := context.WithCancel(t.Context())
			m := &mesh{t: t, ctx: ctx, nodes: map[string]*meshNode{}}
			run(m)
			cancel()
			m.group.Wait()
		}
	})
}

// rejoinWithoutPlatform guards against a node that stays isolated when it restarts
// during a platform outage: the nodes that know its address must find it, and it must
// learn of all others from them. It also checks that only nodes of one data centre
// exchange loads.
func rejoinWithoutPlatform(m *mesh) {
	node1, node2, node3 := node("reyk-a-1", "1"), node("reyk-a-2", "2"), node("reyk-a-3", "3")
	first := m.start(node1, node2, node3)
	second := m.start(node2, node1, node3)
	remote := node("hafn-c-1", "4")
	remote.DataCentre = "hafn-c"
	far := m.start(remote, node1, node2)
	time.Sleep(2 * time.Second)
	m.assertLoads(map[string]limiter.Load{"reyk-a-1 from reyk-a-2 booking": testLoad, "reyk-a-2 from reyk-a-1 booking": testLoad})
	assert.Assert(m.t, first.isAlive("reyk-a-2") && second.isAlive("reyk-a-1"))
	assert.Assert(m.t, !first.isAlive("reyk-a-3"))
	restarted := m.start(node3)
	time.Sleep(3 * time.Second)
	assert.Assert(m.t, first.isAlive("reyk-a-3") && second.isAlive("reyk-a-3"))
	assertSees(m.t, "after the restart", []*meshNode{restarted, far}, []*meshNode{first, second, restarted, far})
}

// viewsAcrossDataCentres follows a mesh of four data centres through losses of the
// nodes that observe and are observed, a cut, and a restart of a whole data centre
// whose nodes know nobody.
func viewsAcrossDataCentres(m *mesh) {
	const perDataCentre = 6
	dataCentres := []string{"reyk-a", "reyk-b", "hafn-c", "kopa-d"}
	var records []blackboard.NodeRecord
	for _, dataCentre := range dataCentres {
		for i := range perDataCentre {
			r := node(fmt.Sprintf("%s-%d", dataCentre, i), fmt.Sprintf("%s-%d", dataCentre, i))
			r.DataCentre = dataCentre
			records = append(records, r)
		}
	}
	var nodes []*meshNode
	for _, r := range records {
		nodes = append(nodes, m.start(r, records...))
	}
	time.Sleep(2 * time.Second)
	assertSees(m.t, "after the start", nodes, nodes)
	observing := 0
	for _, n := range nodes {
		observing += len(n.board.Read().Members.Observed)
	}
	assert.Equal(m.t, observing, len(dataCentres)*(len(dataCentres)-1)*maxObservers)

	// All observers of a data centre end at once.
	for _, n := range nodes[:maxObservers] {
		m.kill(n)
	}
	nodes = nodes[maxObservers:]
	time.Sleep(500 * time.Millisecond)
	assertSees(m.t, "after the loss of all observers", nodes, nodes)

	// A node drains, and one joins that only its own data centre is told of.
	draining := nodes[0]
	draining.board.Post(blackboard.StopRequested{Now: time.Now()})
	joined := node("hafn-c-9", "hafn-c-9")
	joined.DataCentre = "hafn-c"
	nodes = append(nodes[1:], m.start(joined, records...))
	time.Sleep(500 * time.Millisecond)
	assertSees(m.t, "after a join", nodes, nodes, draining)
	m.kill(draining)

	// A data centre is cut off and comes back.
	m.setCut("kopa-d")
	time.Sleep(3 * time.Second)
	var inside, outside []*meshNode
	for _, n := range nodes {
		if n.record.DataCentre == "kopa-d" {
			inside = append(inside, n)
		} else {
			outside = append(outside, n)
		}
	}
	assertSees(m.t, "outside of a cut", outside, outside)
	assertSees(m.t, "inside of a cut", inside, inside)
	m.setCut("")
	time.Sleep(2 * time.Second)
	assertSees(m.t, "after a cut", nodes, nodes)

	// A whole data centre restarts and nobody in it knows a node.
	for _, n := range inside {
		m.kill(n)
	}
	time.Sleep(2 * time.Second)
	assertSees(m.t, "after the loss of a data centre", outside, outside)
	nodes = outside
	for _, n := range inside {
		nodes = append(nodes, m.start(n.record))
	}
	time.Sleep(6 * time.Second)
	assertSees(m.t, "after the restart of a data centre", nodes, nodes)
}
