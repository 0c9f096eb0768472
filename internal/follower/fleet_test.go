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

// linkDelay is how long a frame takes between two nodes of a fleet.
const linkDelay = 500 * time.Microsecond

// fleet runs the real controllers of many nodes of one data centre in one
// synctest bubble, joined by function fields instead of sockets.
type fleet struct {
	t      *testing.T
	fake   *storer.Fake
	ctx    context.Context
	group  sync.WaitGroup
	design design
	fanOut int
	// breakIt, when set, changes each follower before it starts.
	breakIt func(f *Follower)

	mu    sync.Mutex
	rng   *rand.Rand
	nodes map[string]*testNode
	links map[[2]string]chan *wirepb.FollowFrame
	// lost tells whether a frame between two hosts is lost.
	lost func(from, to string, frame *wirepb.FollowFrame) bool
	// platformLost tells whether a host cannot reach the platform.
	platformLost func(host string) bool
	head         *snapshotter.Snapshot
	revision     uint64
	accepted     map[uint64]snapshotter.Digest
	published    map[uint64]time.Time
	violations   []string
	sent         map[string]int
	// witnessBytes are those of the questions to witnesses and of their answers.
	witnessBytes int
}

// design is a way of distribution to measure. Nodes use a tree, and pulls by hints
// from peers.
type design string

const (
	designMix design = "mix"
	// designWatch has every node watch the platform.
	designWatch design = "watch"
	// designPulls has no tree: nodes pull from peers that tell of a greater version.
	designPulls design = "pulls"
	// designTree has no hints from peers.
	designTree design = "tree"
)

// everyNodeWatches stands for the elector where each node is a relay.
func everyNodeWatches() blackboard.Controller {
	return blackboard.Controller{Name: "elector", Reduce: func(s blackboard.State, _ blackboard.Msg) (blackboard.State, []blackboard.Effect) {
		s.Lease.Slot = 0
		return s, nil
	}}
}

// testNode is one host. Its greatest version outlives its processes.
type testNode struct {
	host, rack string
	board      atomic.Pointer[blackboard.Board]
	stop       context.CancelFunc
	up         bool
	paused     bool
	starts     uint64
	// ran is the greatest version that any process of this host has run.
	ran uint64
	// inForce holds when each version was put in force.
	inForce map[uint64]time.Time
}

// membersSet stands for the gossip of the membership part.
type membersSet struct{ byHost map[string]blackboard.Member }

func newFleet(t *testing.T, hosts, racks int, seed uint64) *fleet {
	ctx, cancel := context.WithCancel(t.Context())
	fl := &fleet{
		t: t, fake: storer.NewFake(), ctx: ctx, fanOut: DefaultFanOut, design: designMix, rng: rand.New(rand.NewPCG(seed, 1)),
		nodes: map[string]*testNode{}, links: map[[2]string]chan *wirepb.FollowFrame{},
		head: snapshotter.Empty(), accepted: map[uint64]snapshotter.Digest{}, published: map[uint64]time.Time{},
		sent: map[string]int{},
	}
	for i := range hosts {
		host := fmt.Sprintf("host-%d", i)
		fl.nodes[host] = &testNode{host: host, rack: fmt.Sprintf("rack-%d", i%racks), inForce: map[uint64]time.Time{}}
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
		f.treeless = true
		f.pullAfter = 0
	}
	f.Drop = func(string) {}
	f.Send = func(_ context.Context, address string, frame *wirepb.FollowFrame) error {
		fl.send(n.host, address, frame)
		return nil
	}
	if fl.breakIt != nil {
		fl.breakIt(f)
	}
	watched := f.controller()
	watched.Reduce = func(s blackboard.State, msg blackboard.Msg) (blackboard.State, []blackboard.Effect) {
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
	controllers := []blackboard.Controller{members, watched}
	if fl.design == designWatch {
		return append(controllers, everyNodeWatches())
	}
	return append(controllers, elector.New(client, "reyk-a"))
}

// check records what must never happen.
func (fl *fleet) check(n *testNode, before, after blackboard.State) {
	running := after.Config.Running
	if running == before.Config.Running {
		return
	}
	fl.mu.Lock()
	defer fl.mu.Unlock()
	if running == nil || running.Version < n.ran {
		fl.violations = append(fl.violations, fmt.Sprintf("%s runs %d after %d", n.host, number(running), n.ran))
		return
	}
	if running.Digest() != fl.accepted[running.Version] {
		fl.violations = append(fl.violations, fmt.Sprintf("%s runs a version %d that was not accepted", n.host, running.Version))
	}
	n.ran = running.Version
	n.inForce[running.Version] = time.Now()
}

// tick drives a node, and passes its version to one random peer a second as the gossip would.
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
				fl.hint(n)
			}
		}
	}
}

func (fl *fleet) hint(n *testNode) {
	fl.mu.Lock()
	peer := fl.nodes[fmt.Sprintf("host-%d", fl.rng.IntN(len(fl.nodes)))]
	ok := peer.up && peer != n && !fl.losing(n.host, peer.host, nil)
	fl.mu.Unlock()
	if v := number(n.board.Load().Read().Config.Running); ok && v > 0 {
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
		fl.group.Go(func() { fl.carry(key, link) })
	}
	select {
	case link <- frame:
	default:
	}
}

// carry delivers the frames of one link in order.
func (fl *fleet) carry(key [2]string, link chan *wirepb.FollowFrame) {
	var parts assembler
	for {
		select {
		case <-fl.ctx.Done():
			return
		case frame := <-link:
			time.Sleep(linkDelay)
			fl.mu.Lock()
			to := fl.nodes[key[1]]
			ok := to != nil && to.up && !to.paused && fl.nodes[key[0]].up && !fl.losing(key[0], key[1], frame)
			fl.mu.Unlock()
			if ok {
				_ = deliver(&parts, frame, time.Now(), to.board.Load().Post)
			}
		}
	}
}

// losing tells whether a frame is lost on its way. fl.mu is held.
func (fl *fleet) losing(from, to string, frame *wirepb.FollowFrame) bool {
	return fl.lost != nil && fl.lost(from, to, frame)
}

// client is the platform as a host reaches it.
func (fl *fleet) client(host string) storer.Client {
	inner := fl.fake.Client()
	cut := func(key string) error {
		fl.mu.Lock()
		defer fl.mu.Unlock()
		if fl.platformLost != nil && fl.platformLost(host) {
			return &storer.UnavailableError{Key: key, Cause: &storer.OutageError{}}
		}
		return nil
	}
	outer := inner
	outer.Get = func(ctx context.Context, key string) (storer.Object, error) {
		if err := cut(key); err != nil {
			return storer.Object{}, err
		}
		return inner.Get(ctx, key)
	}
	outer.Put = func(ctx context.Context, key string, value []byte, revision uint64) (storer.Object, error) {
		if err := cut(key); err != nil {
			return storer.Object{}, err
		}
		return inner.Put(ctx, key, value, revision)
	}
	outer.Watch = func(ctx context.Context, key string, after uint64) (storer.Object, error) {
		if err := cut(key); err != nil {
			return storer.Object{}, err
		}
		obj, err := inner.Watch(ctx, key, after)
		if late := cut(key); late != nil {
			return storer.Object{}, late
		}
		return obj, err
	}
	return outer
}

func (fl *fleet) cutPlatform(cut bool) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.platformLost = func(string) bool { return cut }
}

func (fl *fleet) cutPlatformBut(host string) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.platformLost = func(h string) bool { return h != host }
}

func (fl *fleet) loseFrames(lost func(from, to string, frame *wirepb.FollowFrame) bool) {
	fl.mu.Lock()
	fl.lost = lost
	fl.mu.Unlock()
	fl.gossip()
}

func (fl *fleet) member(n *testNode) blackboard.Member {
	return blackboard.Member{
		Host: n.host, Address: n.host, DataCentre: "reyk-a", Rack: n.rack, Incarnation: n.starts,
		Status: blackboard.MemberAlive,
	}
}

// gossip tells every node of the members after a moment. Those that are down
// or cut off from it are dead to it.
func (fl *fleet) gossip() {
	fl.group.Go(func() {
		time.Sleep(time.Second)
		fl.mu.Lock()
		defer fl.mu.Unlock()
		var view map[string]blackboard.Member
		for _, viewer := range fl.nodes {
			if view == nil || fl.lost != nil {
				view = fl.view(viewer)
			}
			if viewer.up {
				viewer.board.Load().Post(membersSet{byHost: view})
			}
		}
	})
}

// view returns the members as one node sees them. fl.mu is held.
func (fl *fleet) view(viewer *testNode) map[string]blackboard.Member {
	byHost := map[string]blackboard.Member{}
	for host, n := range fl.nodes {
		m := fl.member(n)
		if !n.up || fl.losing(viewer.host, host, nil) || fl.losing(host, viewer.host, nil) {
			m.Status = blackboard.MemberDead
		}
		byHost[host] = m
	}
	return byHost
}
