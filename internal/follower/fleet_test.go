package follower

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/elector"
	"gentianbarrow.example/internal/wirepb"
	"gentianbarrow.example/pkg/snapshotter"
	"gentianbarrow.example/pkg/storer"
	"gentianbarrow.example/pkg/ticketer"
)

// linkDelay is the time that a frame takes between two nodes of a fleet.
const linkDelay = 500 * time.Microsecond

// fleet runs the real controllers of many nodes of one data centre in one
// synctest bubble. Function fields replace the network between them.
type fleet struct {
	t      *testing.T
	fake   *storer.Fake
	ctx    context.Context
	group  sync.WaitGroup
	design design
	fanOut int
	// configure, if set, modifies each follower before it starts.
	configure func(f *Follower)

	mu    sync.Mutex
	rng   *rand.Rand
	nodes map[string]*testNode
	links map[[2]string]chan *wirepb.FollowFrame
	// isFrameLost, if set, reports whether a frame between two hosts is lost. The
	// frame is nil where only the link matters.
	isFrameLost func(from, to string, frame *wirepb.FollowFrame) bool
	// isPlatformCut, if set, reports whether a host cannot reach the platform.
	isPlatformCut func(host string) bool
	head          *snapshotter.Snapshot
	revision      uint64
	accepted      map[uint64]snapshotter.Digest
	published     map[uint64]time.Time
	violations    []string
	sent          map[string]int
	// witnessBytes counts the bytes of witness requests and acknowledgements.
	witnessBytes int
}

// design is a way to distribute versions whose performance is measured.
type design string

const (
	// designTreeAndPulls uses the tree, and pulls after hints from peers. Nodes use this design.
	designTreeAndPulls design = "mix"
	// designWatch has every node watch the platform.
	designWatch design = "watch"
	// designPulls has no tree: nodes pull from peers that announce a greater
	// version.
	designPulls design = "pulls"
	// designTree has only the tree, without hints from peers.
	designTree design = "tree"
)

// alwaysRelay returns a controller that replaces the elector and makes each
// node a relay.
func alwaysRelay() blackboard.Controller {
	return blackboard.Controller{Name: "elector", Reduce: func(s blackboard.State, _ blackboard.Msg) (blackboard.State, []blackboard.Effect) {
		s.Lease.Slot = 0
		return s, nil
	}}
}

// testNode is one host. It is kept when the process of the host restarts.
type testNode struct {
	host, rack string
	board      atomic.Pointer[blackboard.Board]
	stop       context.CancelFunc
	up         bool
	paused     bool
	starts     uint64
	// greatestRun is the greatest version that any process of this host has run.
	greatestRun uint64
	// appliedAt holds the time at which each version was applied.
	appliedAt map[uint64]time.Time
}

// membersSet is a message that sets the member list, in place of gossip.
type membersSet struct{ byHost map[string]blackboard.Member }

func newFleet(t *testing.T, hosts, racks int, seed uint64) *fleet {
	ctx, cancel := context.WithCancel(t.Context())
	fl := &fleet{
		t: t, fake: storer.NewFake(), ctx: ctx, fanOut: DefaultFanOut, design: designTreeAndPulls, rng: rand.New(rand.NewPCG(seed, 1)),
		nodes: map[string]*testNode{}, links: map[[2]string]chan *wirepb.FollowFrame{},
		head: snapshotter.Empty(), accepted: map[uint64]snapshotter.Digest{}, published: map[uint64]time.Time{},
		sent: map[string]int{},
	}
	for i := range hosts {
		host := fmt.Sprintf("host-%d", i)
		fl.nodes[host] = &testNode{host: host, rack: fmt.Sprintf("rack-%d", i%racks), appliedAt: map[uint64]time.Time{}}
	}
	t.Cleanup(func() {
		cancel()
		fl.group.Wait()
	})
	return fl
}

func (fl *fleet) startAll() {
	for host := range fl.nodes {
		fl.startProcess(host)
	}
	fl.gossip()
}

func (fl *fleet) start(host string) {
	fl.startProcess(host)
	fl.gossip()
}

func (fl *fleet) startProcess(host string) {
	n := fl.nodes[host]
	fl.mu.Lock()
	n.starts++
	n.up, n.paused = true, false
	ctx, stop := context.WithCancel(fl.ctx)
	n.stop = stop
	self := blackboard.Self{
		Host: host, DataCentre: "reyk-a", Rack: n.rack, Address: host, Incarnation: n.starts,
	}
	s := blackboard.State{Self: self, Config: NewConfig(), Lease: elector.NoLease()}
	s.Members.ByHost = map[string]blackboard.Member{host: fl.member(n)}
	offset := time.Duration(fl.rng.Int64N(int64(blackboard.TickInterval)))
	board := blackboard.New(s, fl.controllers(n))
	n.board.Store(board)
	fl.mu.Unlock()
	fl.group.Go(func() { _ = board.Run(ctx) })
	fl.group.Go(func() { fl.tick(ctx, n, offset) })
}

func (fl *fleet) controllers(n *testNode) []blackboard.Controller {
	client := fl.client(n.host)
	f := newFollower(NewPlatform(client))
	f.FanOut = fl.fanOut
	if fl.design == designWatch {
		f.Platform.WriteStatus = func(context.Context, ticketer.DataCentreStatus) error { return nil }
	}
	if fl.design == designPulls {
		f.disableTree = true
		f.pullDelay = 0
	}
	f.Drop = func(string) {}
	f.Send = func(_ context.Context, address string, frame *wirepb.FollowFrame) error {
		fl.send(n.host, address, frame)
		return nil
	}
	if fl.configure != nil {
		fl.configure(f)
	}
	checkedController := f.controller()
	checkedController.Reduce = func(s blackboard.State, msg blackboard.Msg) (blackboard.State, []blackboard.Effect) {
		next, effects := f.reduce(s, msg)
		fl.check(n, s, next)
		return next, effects
	}
	members := blackboard.Controller{Name: "members", Reduce: func(s blackboard.State, msg blackboard.Msg) (blackboard.State, []blackboard.Effect) {
		if m, ok := msg.(membersSet); ok {
			s.Members.ByHost = m.byHost
		}
		return s, nil
	}}
	controllers := []blackboard.Controller{members, checkedController}
	if fl.design == designWatch {
		return append(controllers, alwaysRelay())
	}
	return append(controllers, elector.New(client, "reyk-a"))
}

// check records a violation when a host runs an older version than before, or a
// version that was not accepted.
func (fl *fleet) check(n *testNode, before, after blackboard.State) {
	running := after.Config.Running
	if running == before.Config.Running {
		return
	}
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if running == nil || running.Version < n.greatestRun {
		fl.violations = append(fl.violations, fmt.Sprintf("%s runs %d after %d", n.host, versionOf(running), n.greatestRun))
		return
	}
	if running.Digest() != fl.accepted[running.Version] {
		fl.violations = append(fl.violations, fmt.Sprintf("%s runs a version %d that was not accepted", n.host, running.Version))
	}
	n.greatestRun = running.Version
	n.appliedAt[running.Version] = time.Now()
}

// tick posts ticks to a node, and once a second sends its version to a random
// peer as gossip would.
func (fl *fleet) tick(ctx context.Context, n *testNode, offset time.Duration) {
	time.Sleep(offset)
	ticker := time.NewTicker(blackboard.TickInterval)
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			fl.mu.Lock()
			paused := n.paused
			fl.mu.Unlock()
			if paused {
				continue
			}
			n.board.Load().Post(blackboard.Tick{Now: now})
			if i%10 == 9 && fl.design != designTree && fl.design != designWatch {
				fl.sendHint(n)
			}
		}
	}
}

func (fl *fleet) sendHint(n *testNode) {
	fl.mu.Lock()
	peer := fl.nodes[fmt.Sprintf("host-%d", fl.rng.IntN(len(fl.nodes)))]
	ok := peer.up && peer != n && !fl.losesFrame(n.host, peer.host, nil)
	fl.mu.Unlock()
	if v := versionOf(n.board.Load().Read().Config.Running); ok && v > 0 {
		peer.board.Load().Post(blackboard.PeerVersionReported{Host: n.host, Address: n.host, Version: v})
	}
}

func (fl *fleet) send(from, to string, frame *wirepb.FollowFrame) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.sent[from] += proto.Size(frame) + frameOverheadBytes
	if frame.GetWitnessAsk() != nil || frame.GetWitnessAck() != nil {
		fl.witnessBytes += proto.Size(frame) + frameOverheadBytes
	}
	key := [2]string{from, to}
	link := fl.links[key]
	if link == nil {
		link = make(chan *wirepb.FollowFrame, 4096)
		fl.links[key] = link
		fl.group.Go(func() { fl.deliverFrames(key, link) })
	}
	select {
	case link <- frame:
	default:
	}
}

// deliverFrames delivers the frames of one link in order.
func (fl *fleet) deliverFrames(key [2]string, link chan *wirepb.FollowFrame) {
	var chunks assembler
	for {
		select {
		case <-fl.ctx.Done():
			return
		case frame := <-link:
			time.Sleep(linkDelay)
			fl.mu.Lock()
			to := fl.nodes[key[1]]
			ok := to != nil && to.up && !to.paused && fl.nodes[key[0]].up && !fl.losesFrame(key[0], key[1], frame)
			fl.mu.Unlock()
			if ok {
				_ = deliver(&chunks, frame, time.Now(), to.board.Load().Post)
			}
		}
	}
}

// losesFrame reports whether a frame is lost. fl.mu must be held.
func (fl *fleet) losesFrame(from, to string, frame *wirepb.FollowFrame) bool {
	return fl.isFrameLost != nil && fl.isFrameLost(from, to, frame)
}

// client returns the platform client of a host, which fails while the host is
// cut off.
func (fl *fleet) client(host string) storer.Client {
	inner := fl.fake.Client()
	checkCut := func(key string) error {
		fl.mu.Lock()
		defer fl.mu.Unlock()
		if fl.isPlatformCut != nil && fl.isPlatformCut(host) {
			return &storer.UnavailableError{Key: key, Cause: &storer.OutageError{}}
		}
		return nil
	}
	outer := inner
	outer.Get = func(ctx context.Context, key string) (storer.Object, error) {
		if err := checkCut(key); err != nil {
			return storer.Object{}, err
		}
		return inner.Get(ctx, key)
	}
	outer.Put = func(ctx context.Context, key string, value []byte, revision uint64) (storer.Object, error) {
		if err := checkCut(key); err != nil {
			return storer.Object{}, err
		}
		return inner.Put(ctx, key, value, revision)
	}
	outer.Watch = func(ctx context.Context, key string, after uint64) (storer.Object, error) {
		if err := checkCut(key); err != nil {
			return storer.Object{}, err
		}
		obj, err := inner.Watch(ctx, key, after)
		if cutErr := checkCut(key); cutErr != nil {
			return storer.Object{}, cutErr
		}
		return obj, err
	}
	return outer
}

func (fl *fleet) cutPlatform(cut bool) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.isPlatformCut = func(string) bool { return cut }
}

func (fl *fleet) cutPlatformBut(host string) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.isPlatformCut = func(h string) bool { return h != host }
}

func (fl *fleet) loseFrames(lost func(from, to string, frame *wirepb.FollowFrame) bool) {
	fl.mu.Lock()
	fl.isFrameLost = lost
	fl.mu.Unlock()
	fl.gossip()
}

func (fl *fleet) member(n *testNode) blackboard.Member {
	return blackboard.Member{
		Host: n.host, Address: n.host, DataCentre: "reyk-a", Rack: n.rack, Incarnation: n.starts,
		Status: blackboard.MemberAlive,
	}
}

// gossip updates every node's member list after a second. Nodes that are down
// or cut off from a node are dead in its list.
func (fl *fleet) gossip() {
	fl.group.Go(func() {
		time.Sleep(time.Second)
		fl.mu.Lock()
		defer fl.mu.Unlock()
		var view map[string]blackboard.Member
		for _, viewer := range fl.nodes {
			if view == nil || fl.isFrameLost != nil {
				view = fl.view(viewer)
			}
			if viewer.up {
				viewer.board.Load().Post(membersSet{byHost: view})
			}
		}
	})
}

// view returns the member list as one node sees it. fl.mu must be held.
func (fl *fleet) view(viewer *testNode) map[string]blackboard.Member {
	byHost := map[string]blackboard.Member{}
	for host, n := range fl.nodes {
		m := fl.member(n)
		if !n.up || fl.losesFrame(viewer.host, host, nil) || fl.losesFrame(host, viewer.host, nil) {
			m.Status = blackboard.MemberDead
		}
		byHost[host] = m
	}
	return byHost
}
