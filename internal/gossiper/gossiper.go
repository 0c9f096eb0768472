// Package gossiper maintains the member table of one data centre with a gossip
// protocol in the manner of SWIM. Each node pings one member per period. When
// the member does not answer, the node asks other members to ping it too, then
// suspects it, and declares it dead if it has not refuted the suspicion by a
// stored deadline. Membership changes are piggybacked on the packets of the
// protocol, so that the cost of a node does not grow with the data centre.
//
// Records of one host are ordered by incarnation, then by state, so that
// packets may be lost, duplicated or reordered. Only the host itself raises its
// incarnation. Tables that still differ are found by comparing digests, and
// their differing parts are exchanged.
//
//	controller := gossiper.New(gossiper.Config{Seeds: seeds, Send: udp.Send, Open: open, FindPeers: find})
//	group.Go(func() error { return udp.Receive(ctx, dataCentre, board.Post) })
//	links.Handle(gossiper.StreamKind, gossiper.Handler(board.Read, board.Post, time.Now))
package gossiper

import (
	"context"
	"time"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/linker"
	"gentianbarrow.example/internal/logger"
)

// Config holds the settings and dependencies of a gossiper.
type Config struct {
	// Seeds are addresses of nodes through which to join, as ip:port; may be empty.
	Seeds []string
	// Send sends one packet. A failure counts as a lost packet.
	Send func(ctx context.Context, address string, packet []byte) error
	// Open opens a stream of kind StreamKind to a peer.
	Open func(ctx context.Context, address string) (*linker.Stream, error)
	// FindPeers returns the addresses of this data centre's relays as the platform knows them.
	FindPeers func(ctx context.Context) ([]string, error)
	// Now is the clock for effects and defaults to time.Now; Reduce takes the time from messages.
	Now func() time.Time
	Log *logger.Logger
}

// New returns the controller of the entry Members.
func New(cfg Config) blackboard.Controller {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return blackboard.Controller{
		Name: "gossiper",
		Reduce: func(s blackboard.State, msg blackboard.Msg) (blackboard.State, []blackboard.Effect) {
			return Reduce(s, msg, cfg.Seeds)
		},
		Run: cfg.run,
	}
}

// Reduce handles one message and returns the next state and its effects. It is
// pure: random numbers come from a seed in the state.
func Reduce(s blackboard.State, msg blackboard.Msg, seeds []string) (blackboard.State, []blackboard.Effect) {
	if isNoOp(&s, msg) {
		return s, nil
	}
	d := newDraft(&s, seeds)
	switch m := msg.(type) {
	case blackboard.Tick:
		d.tick(m.Now)
	case blackboard.PacketReceived:
		d.handlePacket(m)
	case blackboard.SyncReceived:
		d.mergeTable(m)
	case blackboard.SyncFailed:
		d.syncFailed(m.Now)
	case blackboard.PeersFound:
		d.handlePeersFound(m)
	case blackboard.LeaveRequested:
		d.leave(m.Now)
	}
	d.publishTarget()
	return d.commit(s), d.effects
}

// isNoOp reports whether a message leaves the entry Members unchanged.
func isNoOp(s *blackboard.State, msg blackboard.Msg) bool {
	switch msg.(type) {
	case blackboard.Tick, blackboard.PacketReceived, blackboard.SyncReceived, blackboard.SyncFailed,
		blackboard.PeersFound, blackboard.LeaveRequested:
		return false
	}
	if s.Members.Gossip == nil {
		return true
	}
	return s.Members.ByHost[s.Self.Host].Target == ownTarget(s)
}

// LiveMembers returns how many other nodes of the data centre this node believes to be alive or suspect.
func LiveMembers(s *blackboard.State) int {
	if s.Members.Gossip == nil {
		return 0
	}
	return s.Members.Gossip.LiveMembers
}

// HasLeft reports whether the node has announced that it leaves.
func HasLeft(s *blackboard.State) bool {
	return s.Members.Gossip != nil && s.Members.Gossip.Left
}
