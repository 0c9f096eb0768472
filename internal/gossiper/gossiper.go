// Package gossiper keeps the table of the nodes of one data centre. Nodes find
// out by themselves who is alive: each pings one member a period, asks others
// to ping it too when it is silent, suspects it, and declares it dead only when
// it has not refuted the suspicion by a stored deadline. What a node learns
// rides on the packets that it sends anyway, so that the cost of a node does
// not grow with the data centre.
//
// Records of one host are ordered by incarnation, then by state, so that
// packets may be lost, doubled or late. Only the host itself raises its
// incarnation. Tables that differ all the same are compared by digest and
// exchanged where they differ.
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

// Config is what a gossiper is made of.
type Config struct {
	// Seeds are node addresses to join by, as ip:port; may be empty.
	Seeds []string
	// Send sends one packet. A failure counts as a lost packet.
	Send func(ctx context.Context, address string, packet []byte) error
	// Open starts a stream of kind StreamKind to a peer.
	Open func(ctx context.Context, address string) (*linker.Stream, error)
	// FindPeers returns the addresses of this data centre's relays as the platform knows them.
	FindPeers func(ctx context.Context) ([]string, error)
	// Now is the clock of the effects; Reduce takes its time from messages.
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

// Reduce answers one message. It is pure: the random numbers come from a seed in the state.
func Reduce(s blackboard.State, msg blackboard.Msg, seeds []string) (blackboard.State, []blackboard.Effect) {
	if idle(&s, msg) {
		return s, nil
	}
	d := newDraft(&s, seeds)
	switch m := msg.(type) {
	case blackboard.Tick:
		d.tick(m.Now)
	case blackboard.PacketReceived:
		d.receive(m)
	case blackboard.SyncReceived:
		d.takeTable(m)
	case blackboard.SyncFailed:
		d.syncFailed(m.Now)
	case blackboard.PeersFound:
		d.peersFound(m)
	case blackboard.LeaveRequested:
		d.leave(m.Now)
	}
	d.publishTarget()
	return d.commit(s), d.effects
}

// idle tells whether a message leaves the entry as it is.
func idle(s *blackboard.State, msg blackboard.Msg) bool {
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

// Live returns how many other nodes of the data centre are alive as far as this node knows.
func Live(s *blackboard.State) int {
	if s.Members.Gossip == nil {
		return 0
	}
	return s.Members.Gossip.LiveMembers
}

// Left tells whether the node has told others that it is going.
func Left(s *blackboard.State) bool {
	return s.Members.Gossip != nil && s.Members.Gossip.Left
}
