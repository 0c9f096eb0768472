package apportioner

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/linker"
	"gentianbarrow.example/internal/rationer"
	"gentianbarrow.example/pkg/snapshotter"
)

var (
	testMargin = rationer.Margin{Window: 5 * time.Second, Overage: 0.1, Slack: 20}
	testFirm   = snapshotter.Firm{Name: "ozora", Rate: 160, Burst: 160}
)

// maxPerWindow is what the limit of testFirm allows in testMargin.Window.
const maxPerWindow = (160*5+160)*1.1 + 20

// testNode is a node of a mesh with fixed members.
type testNode struct {
	self  blackboard.Self
	links *linker.Linker
	part  *Apportioner
	state *blackboard.State
	ctx   context.Context
	stop  context.CancelFunc
	// silent is set while nothing that the node sends on accepted connections arrives.
	silent atomic.Bool
}

// mutableConn loses what is written to it while silent is set.
type mutableConn struct {
	net.Conn
	silent *atomic.Bool
}

func (c *mutableConn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// mesh connects nodes in memory. Addresses are host names.
type mesh struct {
	group sync.WaitGroup
	nodes []*testNode
	rnd   *rand.Rand
	// admitted counts by step of 10 ms; refused counts all.
	admitted []int
	refused  int
}

const step = 10 * time.Millisecond

func (m *mesh) dial(address string) (net.Conn, error) {
	for _, n := range m.nodes {
		if n.self.Host == address && n.ctx.Err() == nil {
			client, server := net.Pipe()
			m.group.Go(func() { n.links.ServeConn(n.ctx, &mutableConn{Conn: server, silent: &n.silent}) })
			return client, nil
		}
	}
	return nil, &net.OpError{Op: "dial", Err: net.ErrClosed}
}

// newMesh starts nodes of the data centres, the first of each with a fast link.
func newMesh(ctx context.Context, perDataCentre int, dataCentres ...string) *mesh {
	m := &mesh{rnd: rand.New(rand.NewPCG(7, 7))}
	members := map[string]blackboard.Member{}
	for _, dc := range dataCentres {
		for i := range perDataCentre {
			self := blackboard.Self{Host: fmt.Sprintf("%s-%d", dc, i), DataCentre: dc, LinkMbit: 11}
			if i == 0 {
				self.LinkMbit = 200
			}
			members[self.Host] = blackboard.Member{
				Host: self.Host, Address: self.Host, DataCentre: dc, LinkMbit: self.LinkMbit, Status: blackboard.MemberAlive,
			}
			n := &testNode{self: self, links: linker.New()}
			n.ctx, n.stop = context.WithCancel(ctx)
			m.nodes = append(m.nodes, n)
		}
	}
	snapshot := &snapshotter.Snapshot{Version: 1, Firms: map[string]snapshotter.Firm{testFirm.Name: testFirm}}
	for _, n := range m.nodes {
		others := map[string]blackboard.Member{}
		for host, other := range members {
			if host != n.self.Host {
				others[host] = other
			}
		}
		n.state = &blackboard.State{Self: n.self, Config: blackboard.Config{Running: snapshot}}
		n.state.Members.ByHost = others
		m.start(n)
	}
	return m
}

func (m *mesh) start(n *testNode) {
	n.links.Dial = func(_ context.Context, address string) (net.Conn, error) { return m.dial(address) }
	n.part = New(Config{
		Margin: testMargin, State: func() *blackboard.State { return n.state },
		CountNodes: func(s *blackboard.State) int { return len(s.Members.ByHost) + 1 },
		Open: func(ctx context.Context, address, kind string, first proto.Message) (*linker.Stream, error) {
			return n.links.OpenWith(ctx, address, linker.TrafficControl, kind, first, maxMessageBytes)
		},
	})
	n.links.Handle(StreamKind, n.part.Serve)
	n.links.Handle(LoanKind, n.part.ServeLoan)
	m.group.Go(func() { _ = n.part.Run(n.ctx) })
	m.group.Go(func() {
		<-n.ctx.Done()
		n.links.Close()
	})
}

// load sends requests a second of the firm to the live nodes among the given ones.
func (m *mesh) load(d time.Duration, perSecond float64, nodes []*testNode) {
	due := 0.0
	for range int(d / step) {
		time.Sleep(step)
		count := 0
		for due += perSecond * step.Seconds(); due >= 1; due-- {
			n := nodes[m.rnd.IntN(len(nodes))]
			if n.ctx.Err() != nil {
				continue
			}
			if _, ok := n.part.TakeToken(time.Now(), testFirm); ok {
				count++
			} else {
				m.refused++
			}
		}
		m.admitted = append(m.admitted, count)
	}
}

func (m *mesh) assertWindows(t *testing.T) {
	t.Helper()
	sum, worst, window := 0, 0, int(testMargin.Window/step)
	for i, n := range m.admitted {
		sum += n
		if i >= window {
			sum -= m.admitted[i-window]
		}
		worst = max(worst, sum)
	}
	assert.Assert(t, worst <= maxPerWindow, "%d requests of the firm in a window that allows %.0f", worst, maxPerWindow)
}

func (m *mesh) since(at int) (admitted int) {
	for _, n := range m.admitted[at:] {
		admitted += n
	}
	return admitted
}

// TestMesh runs meshes of nodes. All are in one test because yamux reuses timers, which
// must not be used outside the synctest bubble that created them.
func TestMesh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, run := range []func(context.Context, *testing.T) *mesh{
			hotFirm, keeperKilled, keeperSilent, demandInOneDataCentre, keeperOfItself,
		} {
			ctx, cancel := context.WithCancel(t.Context())
			m := run(ctx, t)
			cancel()
			m.group.Wait()
		}
	})
}

// hotFirm guards against a firm that suddenly sends 7.5 times its usual through all nodes.
func hotFirm(ctx context.Context, t *testing.T) *mesh {
	m := newMesh(ctx, 26, "a")
	time.Sleep(6 * time.Second)
	m.load(5*time.Second, 100, m.nodes)
	assert.Equal(t, m.refused, 0)
	m.load(8*time.Second, 750, m.nodes)
	m.assertWindows(t)
	assert.Assert(t, m.since(len(m.admitted)-500) >= 160*5*9/10, "%d of 800", m.since(len(m.admitted)-500))
	return m
}

// keeperKilled guards against a keeper whose process ends while a firm is at its limit.
func keeperKilled(ctx context.Context, t *testing.T) *mesh {
	m := newMesh(ctx, 8, "a")
	time.Sleep(6 * time.Second)
	m.load(4*time.Second, 100, m.nodes)
	m.load(2*time.Second, 750, m.nodes)
	m.nodes[0].stop()
	at := len(m.admitted)
	m.load(6*time.Second, 750, m.nodes)
	m.assertWindows(t)
	// One of eight parts is not used any more.
	assert.Assert(t, m.since(at) >= 160*6*7/8*9/10, "%d after the keeper has ended", m.since(at))
	return m
}

// keeperSilent guards against a keeper that stands still: a firm within its limit goes on.
func keeperSilent(ctx context.Context, t *testing.T) *mesh {
	m := newMesh(ctx, 8, "a")
	time.Sleep(6 * time.Second)
	// Three nodes have more than three eighths of the limit only by the word of a keeper.
	m.load(4*time.Second, 90, m.nodes[1:4])
	before := m.refused
	// A frame that is lost in part leaves a reader of yamux in a lock, where fake time stops.
	synctest.Wait()
	m.nodes[0].silent.Store(true)
	m.load(8*time.Second, 90, m.nodes[1:4])
	assert.Assert(t, m.refused-before <= 90*8/20, "%d refused of 720", m.refused-before)
	m.assertWindows(t)
	return m
}

// demandInOneDataCentre guards against a firm whose callers are all in one data centre: the
// others lend it their parts.
func demandInOneDataCentre(ctx context.Context, t *testing.T) *mesh {
	m := newMesh(ctx, 4, "a", "b", "c")
	time.Sleep(6 * time.Second)
	m.load(4*time.Second, 100, m.nodes[:4])
	before := m.refused
	m.load(10*time.Second, 100, m.nodes[:4])
	assert.Assert(t, m.refused-before <= 1000/20, "%d refused of 1000", m.refused-before)
	m.load(8*time.Second, 400, m.nodes)
	m.assertWindows(t)
	return m
}

// keeperOfItself guards against a node that has become keeper and does not hear of itself
// until its first regular report.
func keeperOfItself(ctx context.Context, t *testing.T) *mesh {
	m := newMesh(ctx, 1, "a")
	m.load(step, 100, m.nodes)
	assert.Equal(t, m.nodes[0].part.Stats(), rationer.Stats{Admitted: 1})
	return m
}
