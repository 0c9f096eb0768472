// Package follower distributes the accepted configuration: it receives each
// version on this node, applies it, and passes it on to other nodes.
//
// The relays of a data centre watch the platform. The other nodes form a tree
// of bounded fan-out below them. A parent pushes deltas that name the digests
// of their base and of their result. A node whose base does not match pulls the
// whole snapshot, and a node that learns of a greater version from any peer
// pulls it from that peer. A version is staged, validated as a whole, recorded
// by witnesses on other racks, and only then applied by replacing one pointer.
//
// Hosts have no disks. A restarted node applies no version until it knows the
// greatest version that its host may have run, either from a fresh read of the
// head or from the floors that the other members of its data centre have
// recorded.
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

// DefaultFanOut is the default number of children that a node gets by its
// position in the member order.
const DefaultFanOut = 8

// Follower implements the controller that owns the blackboard entry Config.
type Follower struct {
	// FanOut is the number of children that a node gets by its position in the
	// member order. It is at least 2.
	FanOut int
	// RelaySlots is the number of relays of a data centre. It is at least 1.
	RelaySlots int
	// Send sends a frame to a peer. A frame may be lost without an error.
	Send func(ctx context.Context, address string, frame *wirepb.FollowFrame) error
	// Drop closes the connections to a peer that has gone silent.
	Drop func(address string)
	// Platform holds the calls to the platform. Relays, restarted nodes and nodes
	// without a parent use it.
	Platform Platform
	// Validate returns an error if a snapshot must not be applied.
	Validate func(s *snapshotter.Snapshot) error
	// Now returns the time. Tests replace it.
	Now func() time.Time
	Log *logger.Logger
	// disableTree turns the tree off, so that versions arrive only by pulls.
	// pullDelay is how long a node waits for a greater version to arrive before it
	// pulls the version. Tests set both to measure the effect of the tree.
	disableTree bool
	pullDelay   time.Duration
}

// Option configures a Follower.
type Option func(*Follower)

// WithFanOut sets the number of children of a node.
func WithFanOut(n int) Option { return func(f *Follower) { f.FanOut = n } }

// WithRelaySlots sets the number of relays of the data centre.
func WithRelaySlots(n int) Option { return func(f *Follower) { f.RelaySlots = n } }

// WithClock sets the clock.
func WithClock(now func() time.Time) Option { return func(f *Follower) { f.Now = now } }

// WithLogger sets the logger.
func WithLogger(log *logger.Logger) Option { return func(f *Follower) { f.Log = log } }

// New returns the controller that owns the blackboard entry Config.
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
		Platform: platform, Validate: snapshotter.Validate, Now: time.Now, pullDelay: defaultPullDelay,
	}
}

// NewConfig returns the Config entry of a node that has just started.
func NewConfig() blackboard.Config { return blackboard.Config{Recovering: true} }

func (f *Follower) controller() blackboard.Controller {
	return blackboard.Controller{Name: "follower", Reduce: f.reduce, Run: f.run}
}

// step is the handling of one message. It holds the state, which the handlers
// change, and the effects that follow.
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
		st.handleStop()
	case blackboard.PeerVersionReported:
		st.noteVersion(m.Version, m.Address)
	case FrameReceived:
		st.now = m.Now
		st.handleFrame(m.Frame)
	case SnapshotReceived:
		st.handleSnapshot(m)
	case SnapshotLoaded:
		st.now = m.Now
		st.handleLoaded(m.Snapshot)
	case LoadFailed:
		st.now = m.Now
		st.handleLoadFailed(m)
	case HeadWatched:
		st.now = m.Now
		st.handleHeadWatched(m)
	case HeadRead:
		st.now = m.Now
		st.handleHeadRead(m)
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
	st.tickPull()
}

func (st *step) handleFrame(frame *wirepb.FollowFrame) {
	switch b := frame.GetBody().(type) {
	case *wirepb.FollowFrame_Report:
		st.handleReport(frame, b.Report)
	case *wirepb.FollowFrame_Refusal:
		st.handleRefusal(frame, b.Refusal)
	case *wirepb.FollowFrame_Heartbeat:
		st.handleHeartbeat(frame, b.Heartbeat)
	case *wirepb.FollowFrame_Leave:
		st.dropChild(frame.GetHost())
	case *wirepb.FollowFrame_Delta:
		st.handleDelta(frame, b.Delta)
	case *wirepb.FollowFrame_Pull:
		st.handlePull(frame, b.Pull)
	case *wirepb.FollowFrame_WitnessAsk:
		st.handleWitnessAsk(frame, b.WitnessAsk)
	case *wirepb.FollowFrame_WitnessAck:
		st.handleWitnessAck(frame, b.WitnessAck)
	case *wirepb.FollowFrame_FloorAsk:
		st.handleFloorAsk(frame, b.FloorAsk)
	case *wirepb.FollowFrame_FloorAnswer:
		st.handleFloorAnswer(frame, b.FloorAnswer)
	case *wirepb.FollowFrame_HeadAsk:
		st.handleHeadAsk(b.HeadAsk)
	case *wirepb.FollowFrame_HeadAnswer:
		st.handleHeadAnswer(b.HeadAnswer)
	}
}

func (st *step) addEffect(e blackboard.Effect) { st.effects = append(st.effects, e) }

// newestSnapshot returns the snapshot with the greatest version that this node
// holds, staged or running, or nil.
func (st *step) newestSnapshot() *snapshotter.Snapshot {
	if next := st.s.Config.Stage.Next; next != nil {
		return next
	}
	return st.s.Config.Running
}

func versionOf(s *snapshotter.Snapshot) uint64 {
	if s == nil {
		return 0
	}
	return s.Version
}

// digestPrefixBytes is the length of a digest prefix. It suffices to notice
// that two snapshots of one version differ.
const digestPrefixBytes = 8

func digestPrefix(s *snapshotter.Snapshot) []byte {
	if s == nil {
		return nil
	}
	d := s.Digest()
	return d[:digestPrefixBytes]
}
