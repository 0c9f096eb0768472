package composer

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"gentianbarrow.example/internal/apportioner"
	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/linker"
	"gentianbarrow.example/internal/loader"
	"gentianbarrow.example/internal/meter"
	"gentianbarrow.example/internal/rationer"
	"gentianbarrow.example/pkg/snapshotter"
)

// maxLimitMessageBytes bounds the first message of a stream about limits.
const maxLimitMessageBytes = 256 << 10

// buildLimits creates the part of the node in the limits of firms. The board exists.
func (n *Node) buildLimits(a adapter) {
	count := countGossipNodes
	if n.settings.PlatformAPI == loader.PlatformObjects {
		count = countListedNodes
	}
	n.limits = apportioner.New(apportioner.Config{
		Margin: rationer.Margin{Window: a.bounds.LimitWindow, Overage: a.bounds.LimitOverage, Slack: a.bounds.LimitSlack},
		State:  func() *blackboard.State { return n.board.Read() }, CountNodes: count,
		Open: func(ctx context.Context, address, kind string, first proto.Message) (*linker.Stream, error) {
			return n.links.OpenWith(ctx, address, linker.TrafficControl, kind, first, maxLimitMessageBytes)
		},
		Log: n.log,
	})
	n.links.Handle(apportioner.StreamKind, n.limits.Serve)
	n.links.Handle(apportioner.LoanKind, n.limits.ServeLoan)
	meter.NewLimits(n.metrics, n.limits.Limited, func() (admitted, refused, alone uint64) {
		s := n.limits.Stats()
		return s.Admitted, s.Refused, s.Alone
	})
}

// countListedNodes returns how many nodes the platform lists, whether they are live or not;
// 0 while that is unknown.
func countListedNodes(s *blackboard.State) int {
	if !s.Members.Listed {
		return 0
	}
	return len(s.Members.ByHost) + 1
}

// countGossipNodes estimates the nodes of all data centres where a node knows those of its
// own only.
func countGossipNodes(s *blackboard.State) int {
	own := 1
	for host, m := range s.Members.ByHost {
		if host != s.Self.Host && m.Status != blackboard.MemberLeft {
			own++
		}
	}
	return own * (len(s.Members.Remote) + 1)
}

func (n *Node) takeToken(now time.Time, firm snapshotter.Firm) (time.Time, bool) {
	return n.limits.TakeToken(now, firm)
}

func (n *Node) returnToken(now time.Time, firm snapshotter.Firm) { n.limits.ReturnToken(now, firm) }
