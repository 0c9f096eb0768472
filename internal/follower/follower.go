// Package follower brings the accepted configuration to this node, puts it in
// force, and passes it on.
//
// The relays of a data centre watch the platform; the other nodes form a tree
// of bounded fan-out below them. A parent pushes deltas that name the digest
// of their base and of their result. Whoever finds a gap pulls the whole
// snapshot, and whoever hears of a greater version from any peer pulls it from
// there. A version is staged, validated as a whole, recorded by witnesses on
// other racks, and only then put in force by replacing one pointer.
//
// Hosts have no disks. A restarted node runs nothing until it has evidence of
// the greatest version that its host may have run: a fresh read of the head,
// or the floors recorded by the other members of its data centre.
package follower

import (
	"context"
	"time"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/elector"
	"gentianbarrow.example/internal/logger"
	"gentianbarrow.example/internal/wirepb"
	"gentianbarrow.example/pkg/snapshotter"
)

// DefaultFanOut is how many children a node takes on by its place in the order.
const DefaultFanOut = 8

// Follower owns the entry Config.
type Follower struct {
	// FanOut is the number of children that the order gives to a node; at least 2.
	FanOut int
	// RelaySlots is how many relays a data centre has; at least 1.
	RelaySlots int
	// Send hands a frame to a peer. A frame may be lost without notice.
	Send func(ctx context.Context, address string, frame *wirepb.FollowFrame) error
	// Drop closes the connections to a peer that went silent.
	Drop func(address string)
	// Platform is used by relays and by restarted nodes.
	Platform Platform
	// Validate tells whether a snapshot may be in force.
	Validate func(s *snapshotter.Snapshot) error
	// Now returns the time. Tests replace it.
	Now func() time.Time
	Log *logger.Logger
	// treeless leaves out the tree, so that versions arrive only by pulls, and
	// pullAfter is how long a greater version may be known of before it is
	// pulled. Both exist to measure what the tree brings.
	treeless  bool
	pullAfter time.Duration
}

// Option changes a Follower.
type Option func(*Follower)

// WithFanOut sets the number of children of a node.
func WithFanOut(n int) Option { return func(f *Follower) { f.FanOut = n } }

// WithRelaySlots sets how many relays the data centre has.
func WithRelaySlots(n int) Option { return func(f *Follower) { f.RelaySlots = n } }

// WithClock sets the source of time.
func WithClock(now func() time.Time) Option { return func(f *Follower) { f.Now = now } }

// WithLogger sets the log.
func WithLogger(log *logger.Logger) Option { return func(f *Follower) { f.Log = log } }

// New returns the controller that owns the entry Config.
func New(streams *Streams, platform Platform, options ...Option) blackboard.Controller {
	f := newFollower(platform)
	f.Send = streams.Send
	f.Drop = streams.Drop
	for _, o := range options {
		o(f)
	}
	return f.controller()
}

func newFollower(platform Platform) *Follower {
	return &Follower{
		FanOut: DefaultFanOut, RelaySlots: elector.DefaultSlots,
		Platform: platform, Validate: snapshotter.Validate, Now: time.Now, pullAfter: defaultPullAfter,
	}
}

// NewConfig is the entry of a node that has just started.
func NewConfig() blackboard.Config { return blackboard.Config{Recovering: true} }

func (f *Follower) controller() blackboard.Controller {
	return blackboard.Controller{Name: "follower", Reduce: f.reduce, Run: f.run}
}

// step gathers what one message leads to.
type step struct {
	f       *Follower
	s       blackboard.State
	now     time.Time
	effects []blackboard.Effect
}

func (f *Follower) reduce(s blackboard.State, msg blackboard.Msg) (blackboard.State, []blackboard.Effect) {
	st := &step{f: f, s: s}
	switch m := msg.(type) {
	case blackboard.Tick:
		st.now = m.Now
		st.tick()
	case blackboard.StopRequested:
		st.now = m.Now
		st.stop()
	case blackboard.PeerVersionReported:
		st.heard(m.Version, m.Address)
	case Received:
		st.now = m.Now
		st.received(m.Frame)
	case WholeReceived:
		st.wholeReceived(m)
	case Loaded:
		st.now = m.Now
		st.loaded(m.Snapshot)
	case LoadFailed:
		st.now = m.Now
		st.loadFailed(m)
	case HeadSeen:
		st.now = m.Now
		st.headSeen(m)
	case HeadRead:
		st.now = m.Now
		st.headRead(m)
	}
	return st.s, st.effects
}

func (st *step) tick() {
	st.startRecovery()
	st.tickChildren()
	st.tickParent()
	st.tickStage()
	st.tickRecovery()
	st.tickSource()
	st.tickHeard()
}

func (st *step) received(frame *wirepb.FollowFrame) {
	switch b := frame.GetBody().(type) {
	case *wirepb.FollowFrame_Report:
		st.report(frame, b.Report)
	case *wirepb.FollowFrame_Refusal:
		st.refusal(frame, b.Refusal)
	case *wirepb.FollowFrame_Heartbeat:
		st.heartbeat(frame, b.Heartbeat)
	case *wirepb.FollowFrame_Leave:
		st.dropChild(frame.GetHost())
	case *wirepb.FollowFrame_Delta:
		st.delta(frame, b.Delta)
	case *wirepb.FollowFrame_Pull:
		st.pull(frame, b.Pull)
	case *wirepb.FollowFrame_WitnessAsk:
		st.witnessAsk(frame, b.WitnessAsk)
	case *wirepb.FollowFrame_WitnessAck:
		st.witnessAck(frame, b.WitnessAck)
	case *wirepb.FollowFrame_FloorAsk:
		st.floorAsk(frame, b.FloorAsk)
	case *wirepb.FollowFrame_FloorAnswer:
		st.floorAnswer(frame, b.FloorAnswer)
	case *wirepb.FollowFrame_HeadAsk:
		st.headAsk(b.HeadAsk)
	case *wirepb.FollowFrame_HeadAnswer:
		st.headAnswer(b.HeadAnswer)
	}
}

func (st *step) add(e blackboard.Effect) { st.effects = append(st.effects, e) }

// newest returns the greatest version that this node holds as a whole, or nil.
func (st *step) newest() *snapshotter.Snapshot {
	if next := st.s.Config.Stage.Next; next != nil {
		return next
	}
	return st.s.Config.Running
}

func number(s *snapshotter.Snapshot) uint64 {
	if s == nil {
		return 0
	}
	return s.Version
}

// digestPrefixBytes is enough to notice that two snapshots of one version differ.
const digestPrefixBytes = 8

func digestPrefix(s *snapshotter.Snapshot) []byte {
	if s == nil {
		return nil
	}
	d := s.Digest()
	return d[:digestPrefixBytes]
}
