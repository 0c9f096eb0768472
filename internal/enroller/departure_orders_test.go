package enroller

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/announcer"
	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/linker"
	"gentianbarrow.example/internal/logger"
	"gentianbarrow.example/internal/piper"
	"gentianbarrow.example/internal/poller"
	"gentianbarrow.example/internal/subscriber"
	"gentianbarrow.example/pkg/storer"
)

// fleet is a few nodes that are connected in memory and share a store. Addresses are those
// of their records.
type fleet struct {
	store   *storer.Fake
	network piper.Network
}

// fleetNode is one process of a node.
type fleetNode struct {
	nodeProcess
	self blackboard.NodeRecord
}

// start starts a process of a node.
func (f *fleet) start(ctx context.Context, self blackboard.NodeRecord) *fleetNode {
	n, links := &fleetNode{self: self}, linker.New()
	ctx, cancel := context.WithCancel(ctx)
	links.Dial = func(ctx context.Context, address string) (net.Conn, error) {
		return f.network.Dial(ctx, self.Address, address)
	}
	read := func() *blackboard.State { return n.board.Read() }
	nodes := subscriber.New(subscriber.Config{
		Self: self, Incarnation: uint64(time.Now().UnixMicro()), State: read, Log: &logger.Logger{},
		Open: func(ctx context.Context, address string) (*linker.Stream, error) {
			return links.Open(ctx, address, linker.TrafficControl, subscriber.StreamKind)
		},
		Post: func(msg blackboard.Msg) { n.board.Post(msg) },
	})
	links.Handle(subscriber.StreamKind, nodes.Serve)
	s := blackboard.State{
		Self:      blackboard.Self{Host: self.Host, Address: self.Address, DataCentre: self.DataCentre},
		Lifecycle: blackboard.Lifecycle{Phase: blackboard.LifecycleServing},
	}
	s.Target.Record = blackboard.TargetRecord{Phase: blackboard.TargetNone, Service: "roster"}
	n.board = blackboard.New(s, []blackboard.Controller{
		announcer.New(announcer.Config{DeparturesKept: true, AnnouncementLifetime: time.Minute, Log: &logger.Logger{}}),
		New(Config{Self: self, Platform: f.store.Client(), State: read}),
		nodes.Controller(),
	})
	f.network.Listen(ctx, self.Address, links)
	var group sync.WaitGroup
	group.Go(func() { _ = n.board.Run(ctx) })
	group.Go(func() {
		for n.board.Post(blackboard.Tick{Now: time.Now()}); poller.Sleep(ctx, blackboard.TickInterval); {
			n.board.Post(blackboard.Tick{Now: time.Now()})
		}
	})
	n.stop = func() {
		f.network.Close(self.Address)
		cancel()
		links.Close()
		group.Wait()
	}
	return n
}

// departureOrder is an order of events around the leave of a target.
type departureOrder struct {
	// awayAtLeave and awayAtStart are true if the platform is away when the target leaves,
	// and when the next process of its node starts.
	awayAtLeave, awayAtStart bool
	// stopped is true if the node is asked to stop; otherwise it is killed.
	stopped bool
	// lateAfter is how long after the start of the next process an announcement of the
	// target arrives that it sent before its leave.
	lateAfter time.Duration
	// others are the other nodes.
	others []blackboard.NodeRecord
	// othersRestart is true if the other nodes are killed and started again after the first
	// process of the target's node has ended.
	othersRestart bool
}

func (o departureOrder) String() string {
	return fmt.Sprintf("%+v", struct {
		AwayAtLeave, AwayAtStart, Stopped bool
		LateAfter                         time.Duration
		Others                            int
		OthersRestart                     bool
	}{o.awayAtLeave, o.awayAtStart, o.stopped, o.lateAfter, len(o.others), o.othersRestart})
}

// isKept reports whether the departure outlives the first process of the target's node: in
// the platform, or in a node that runs on.
func (o departureOrder) isKept() bool {
	return !o.awayAtLeave || len(o.others) > 0 && !o.othersRestart
}

// isReachable reports whether the next process can learn of the departure as soon as it
// starts.
func (o departureOrder) isReachable() bool {
	return !o.awayAtLeave && !o.awayAtStart || len(o.others) > 0 && !o.othersRestart
}

func departureOrders() []departureOrder {
	same, remote := nodeRecord("reyk-a-2", "10.0.0.2:7600"), nodeRecord("hafn-c-1", "10.0.1.1:7600")
	remote.DataCentre = "hafn-c"
	bools := []bool{false, true}
	var orders []departureOrder
	for _, others := range [][]blackboard.NodeRecord{nil, {same}, {remote}, {same, remote}} {
		for _, lateAfter := range []time.Duration{700 * time.Millisecond, 2700 * time.Millisecond, 6 * time.Second} {
			for bits := range 16 {
				o := departureOrder{
					awayAtLeave: bools[bits&1], awayAtStart: bools[bits>>1&1], stopped: bools[bits>>2&1],
					othersRestart: bools[bits>>3&1], lateAfter: lateAfter, others: others,
				}
				if o.isKept() && (len(others) > 0 || !o.othersRestart) {
					orders = append(orders, o)
				}
			}
		}
	}
	return orders
}

// targetPhases holds the phases of the target of the restarted node.
type targetPhases struct {
	// late is the phase right after the late announcement, and settled the one once the
	// platform is back.
	late, settled blackboard.TargetPhase
	// born is the phase after a later process of the target has announced itself.
	born blackboard.TargetPhase
}

func (o departureOrder) play(ctx context.Context) (phases targetPhases) {
	f := &fleet{store: storer.NewFake()}
	defer f.network.Wait()
	setAway := func(away bool) { f.store.SetFaults(storer.Faults{Outage: away}) }
	self := nodeRecord("reyk-a-1", "10.0.0.1:7600")
	first := f.start(ctx, self)
	var others []*fleetNode
	for _, r := range o.others {
		others = append(others, f.start(ctx, r))
	}
	time.Sleep(5 * time.Second)
	first.announce(7, blackboard.TargetReady)
	time.Sleep(time.Second)
	setAway(o.awayAtLeave)
	confirmed := make(chan struct{})
	first.board.Post(blackboard.TargetLeft{ID: "i-1", Started: 100, Applied: func() { close(confirmed) }, Now: time.Now()})
	<-confirmed
	time.Sleep(200 * time.Millisecond)
	if o.stopped {
		first.board.Post(blackboard.LeaveRequested{Now: time.Now()})
		time.Sleep(100 * time.Millisecond)
	}
	first.stop()
	time.Sleep(500 * time.Millisecond)
	if o.othersRestart {
		for i, n := range others {
			n.stop()
			others[i] = f.start(ctx, n.self)
		}
	}
	setAway(o.awayAtStart)
	time.Sleep(time.Second)
	second := f.start(ctx, self)
	time.Sleep(o.lateAfter)
	second.announce(6, blackboard.TargetReady)
	time.Sleep(200 * time.Millisecond)
	phases.late = second.board.Read().Target.Record.Phase
	time.Sleep(time.Second)
	setAway(false)
	time.Sleep(5 * time.Second)
	phases.settled = second.board.Read().Target.Record.Phase
	second.announceProcess("i-1", 200, 1, blackboard.TargetReady)
	time.Sleep(time.Second)
	phases.born = second.board.Read().Target.Record.Phase
	for _, n := range append(others, second) {
		n.stop()
	}
	return phases
}

// TestDepartureInEveryOrder guards against an acknowledged departure that is lost because
// it was known only to a process that has ended since, in each order of the leave, an
// absence of the platform, a stop, a kill and the start of the node, and a late
// announcement. All orders are in one test because yamux reuses timers, which must not be
// used outside the synctest bubble that created them.
func TestDepartureInEveryOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, o := range departureOrders() {
			phases := o.play(t.Context())
			assert.Check(t, !o.isReachable() || phases.late != blackboard.TargetReady, "%s: at the late announcement", o)
			assert.Check(t, phases.settled == blackboard.TargetDraining, "%s: the target that left is %s", o, phases.settled)
			assert.Check(t, phases.born == blackboard.TargetReady, "%s: a later process of the target is %s", o, phases.born)
		}
	})
}
