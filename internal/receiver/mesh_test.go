package receiver

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/dispatcher"
	"gentianbarrow.example/internal/drainer"
	"gentianbarrow.example/internal/executor"
	"gentianbarrow.example/internal/explainer"
	"gentianbarrow.example/internal/forwarder"
	"gentianbarrow.example/internal/linker"
	"gentianbarrow.example/internal/targeter"
	"gentianbarrow.example/pkg/snapshotter"
)

// network is what a mesh runs on: pipes for tests under fake time, or TCP for benchmarks.
type network struct {
	listen func(name string) net.Listener
	links  []linker.Option
	dial   func(ctx context.Context, network, address string) (net.Conn, error)
	// configure changes the receiver's configuration and wraps the target's handler of
	// each node; nil changes nothing.
	configure func(cfg *Config, target http.Handler) http.Handler
}

func pipeNetwork(p *pipes) network {
	return network{listen: func(name string) net.Listener { return p.listen(name) }, dial: p.dial}
}

// The ports of a host on a network of pipes.
const (
	targetPort  = ":1"
	callersPort = ":2"
	nodePort    = ":3"
)

// mesh is a set of nodes, each with a target of the service "booking".
type mesh struct {
	pipes  *pipes
	nodes  []*node
	ctx    context.Context
	cancel context.CancelFunc
	group  errgroup.Group
}

// node is the request path of one node, with its target.
type node struct {
	host         string
	address      string
	callers      string
	state        atomic.Pointer[blackboard.State]
	tracker      *drainer.Tracker
	linker       *linker.Linker
	executor     *executor.Executor
	dispatcher   dispatcher.Client
	receiver     *Receiver
	ring         *explainer.Ring
	target       *targeter.Targeter
	callerServer *http.Server
	targetServer *http.Server
	// open holds the openFunc that opens streams to peers.
	open   atomic.Value
	cancel context.CancelFunc
}

// bookingSnapshot routes /book (not idempotent), /read (idempotent), /upload (bulk) and /check (urgent).
func bookingSnapshot() *snapshotter.Snapshot {
	s := snapshotter.Service{
		Name: "booking", Firm: "frothvik", Slots: 20, Connections: 110, Queue: 20,
		BulkPercent: 50, UrgentSlots: 2, RetryPercent: 100,
	}
	route := func(name string, class snapshotter.Class, idempotent bool, timeoutMs int) snapshotter.Route {
		return snapshotter.Route{
			Name: name, Prefix: "/" + name, Service: s.Name, Class: class, Idempotent: idempotent, TimeoutMs: timeoutMs,
		}
	}
	return &snapshotter.Snapshot{
		Version:  7,
		Services: map[string]snapshotter.Service{s.Name: s},
		Routes: map[string]snapshotter.Route{
			"book":   route("book", snapshotter.ClassShort, false, 10_000),
			"read":   route("read", snapshotter.ClassShort, true, 10_000),
			"upload": route("upload", snapshotter.ClassBulk, false, 600_000),
			"check":  route("check", snapshotter.ClassUrgent, true, 2_000),
		},
	}
}

// newMesh starts a mesh on the network. The caller must close it.
func newMesh(n network, nodes int, cfg targeter.Config) *mesh {
	m := &mesh{}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	for i := range nodes {
		m.nodes = append(m.nodes, m.start(n, i, cfg))
	}
	m.shareMembers()
	return m
}

func newPipeMesh(nodes int, cfg targeter.Config) *mesh {
	p := newPipes()
	m := newMesh(pipeNetwork(p), nodes, cfg)
	m.pipes = p
	return m
}

func (m *mesh) start(net network, i int, cfg targeter.Config) *node {
	n := &node{host: fmt.Sprintf("reyk-a-%d", i), tracker: drainer.NewTracker(), ring: explainer.New()}
	if cfg.Slots == 0 {
		cfg.Slots = 20
	}
	n.target = targeter.New(cfg)
	// A frozen target reads nothing, so it only detects the end of the test by this context.
	n.targetServer = &http.Server{Handler: n.target.Handler(), BaseContext: func(netListener) context.Context { return m.ctx }}
	targetListener := net.listen(n.host + targetPort)
	callerListener := net.listen(n.host + callersPort)
	linkListener := net.listen(n.host + nodePort)
	n.address = linkListener.Addr().String()
	n.callers = callerListener.Addr().String()
	n.state.Store(n.initialState(targetListener.Addr().String()))

	ctx, cancel := context.WithCancel(m.ctx)
	n.cancel = cancel
	n.linker = linker.New(net.links...)
	n.linker.Dial = func(ctx context.Context, address string) (netConn, error) { return net.dial(ctx, "tcp", address) }
	n.dispatcher = dispatcher.NewHTTP(dispatcher.WithDial(net.dial))
	n.executor = executor.New(executor.Config{
		Host: n.host, Client: n.dispatcher,
		Target: func() blackboard.Target { return n.state.Load().Target },
		Service: func(name string) (snapshotter.Service, bool) {
			s, ok := n.state.Load().Config.Running.Services[name]
			return s, ok
		},
	})
	n.open.Store(openFunc(n.linker.OpenWith))
	fw := forwarder.New(forwarder.Config{
		Open: func(ctx context.Context, address string, traffic linker.Traffic, kind string, first proto.Message, limit int) (*linker.Stream, error) {
			return n.open.Load().(openFunc)(ctx, address, traffic, kind, first, limit)
		},
		Execute: n.executor.Execute, Refuse: n.executor.Refuse, Precheck: n.executor.Precheck, Tracker: n.tracker, Incarnation: 1,
	})
	n.linker.Handle(forwarder.Kind, fw.Handle)
	receiverCfg := Config{
		State: n.state.Load, Match: snapshotter.Match, Execute: n.executor.Execute, Forward: fw.Forward,
		Tracker: n.tracker, Explanations: n.ring, Seed: uint64(i + 1),
	}
	if net.configure != nil {
		n.targetServer.Handler = net.configure(&receiverCfg, n.targetServer.Handler)
	}
	n.receiver = New(receiverCfg)
	n.callerServer = &http.Server{Handler: n.receiver}
	m.group.Go(func() error { return ignoreServerClosed(n.targetServer.Serve(targetListener)) })
	m.group.Go(func() error { return ignoreServerClosed(n.callerServer.Serve(callerListener)) })
	m.group.Go(func() error { return n.linker.Serve(ctx, linkListener) })
	return n
}

type (
	stateType   = blackboard.State
	openFunc    func(ctx context.Context, address string, traffic linker.Traffic, kind string, first proto.Message, limit int) (*linker.Stream, error)
	netConn     = net.Conn
	netListener = net.Listener
)

func ignoreServerClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func (n *node) initialState(target string) *blackboard.State {
	return &blackboard.State{
		Self:      blackboard.Self{Host: n.host, DataCentre: "reyk-a", Region: "is-south", Address: n.address, Incarnation: 1},
		Config:    blackboard.Config{Running: bookingSnapshot()},
		Lifecycle: blackboard.Lifecycle{Phase: blackboard.LifecycleServing},
		Target: blackboard.Target{
			Record:  blackboard.TargetRecord{Service: "booking", Phase: blackboard.TargetReady, Slots: 20, Revision: 1},
			Address: target,
		},
	}
}

// shareMembers makes all nodes known to each other.
func (m *mesh) shareMembers() { m.shareMembersExcept(-1) }

// shareMembersExcept makes all nodes known to each other except one that has not joined.
func (m *mesh) shareMembersExcept(absent int) {
	byHost := map[string]blackboard.Member{}
	for i, n := range m.nodes {
		if i == absent {
			continue
		}
		s := n.state.Load()
		byHost[n.host] = blackboard.Member{
			Host: n.host, Address: n.address, DataCentre: "reyk-a", Incarnation: 1,
			Status: blackboard.MemberAlive, Target: s.Target.Record,
		}
	}
	for _, n := range m.nodes {
		n.change(func(s *blackboard.State) { s.Members.ByHost = byHost })
	}
}

// change replaces the node's state by a modified copy.
func (n *node) change(f func(s *blackboard.State)) {
	s := *n.state.Load()
	f(&s)
	n.state.Store(&s)
}

// setPhase sets the phase of the target at its own node only.
func (n *node) setPhase(p blackboard.TargetPhase) {
	n.change(func(s *blackboard.State) { s.Target.Record.Phase = p })
}

// setStatus sets the status of another host as known by the node.
func (n *node) setStatus(host string, status blackboard.MemberStatus) {
	n.change(func(s *blackboard.State) {
		byHost := maps.Clone(s.Members.ByHost)
		m := byHost[host]
		m.Status = status
		byHost[host] = m
		s.Members.ByHost = byHost
	})
}

// removeTarget removes the target of a node, so that its requests go to peers.
func (m *mesh) removeTarget(i int) {
	m.nodes[i].change(func(s *blackboard.State) { s.Target = blackboard.Target{} })
	m.shareMembers()
}

// kill ends a node without warning.
func (n *node) kill() {
	n.cancel()
	_ = n.callerServer.Close()
	n.linker.Close()
}

func (m *mesh) close(t testing.TB) {
	for _, n := range m.nodes {
		n.kill()
		n.dispatcher.Close()
		_ = n.targetServer.Close()
	}
	m.cancel()
	assert.NilError(t, m.group.Wait())
}

// counts returns the sum of the counts of all targets.
func (m *mesh) counts() targeter.Counts {
	sum := targeter.Counts{ByRequest: map[string]int{}, ByKey: map[string]int{}, Completed: map[string]int{}}
	for _, n := range m.nodes {
		c := n.target.Counts()
		addCounts(sum.ByRequest, c.ByRequest)
		addCounts(sum.ByKey, c.ByKey)
		addCounts(sum.Completed, c.Completed)
	}
	return sum
}

func addCounts(sum, m map[string]int) {
	for k, v := range m {
		sum[k] += v
	}
}

// client returns an HTTP client on the mesh's network.
func (m *mesh) client() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: m.pipes.dial}, Timeout: time.Hour}
}

// startDrainer runs a blackboard with a drainer for the node.
func startDrainer(m *mesh, n *node) *blackboard.Board {
	state := *n.state.Load()
	board := blackboard.New(state, []blackboard.Controller{drainer.New(n.tracker, nil)})
	m.group.Go(func() error { return board.Run(m.ctx) })
	m.group.Go(func() error {
		ticker := time.NewTicker(blackboard.TickInterval)
		defer ticker.Stop()
		for {
			select {
			case <-m.ctx.Done():
				return nil
			case now := <-ticker.C:
				board.Post(blackboard.Tick{Now: now})
			}
		}
	})
	return board
}
