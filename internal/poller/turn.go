package poller

import (
	"context"
	"time"

	"gentianbarrow.example/internal/blackboard"
)

const (
	// watchers is how many nodes of a data centre watch the platform, so that one may be lost.
	watchers = 2
	// substitutes is how many more may watch in place of those that have lost the
	// platform. While it is away for all, no others ask again and again.
	substitutes = 3
	// turnEvery is how often a node that does not watch looks whether it is its turn.
	turnEvery = 250 * time.Millisecond
)

// Turn shares the watching of the platform among the nodes of a data centre.
// The others hear of changes from them, and ask rarely themselves in case they do not.
type Turn struct {
	// State returns the state of the board; nil means that this node always watches.
	State func() *blackboard.State
	// AskEvery is how often a node asks that does not watch.
	AskEvery time.Duration
}

// await returns true when this node is to watch, and false when it has not
// watched for so long that it is to ask once.
func (t Turn) await(ctx context.Context, sleep func(context.Context, time.Duration) bool) bool {
	for waited := time.Duration(0); t.State != nil && !Watches(t.State()); waited += turnEvery {
		if waited >= t.AskEvery || !sleep(ctx, turnEvery) {
			return false
		}
	}
	return true
}

// Watches tells that this node is one of those of its data centre that watch
// the platform: the living ones with the fastest links, in an order that all
// nodes agree on, without those that have lost it.
func Watches(s *blackboard.State) bool {
	before, lost := 0, 0
	for host, m := range s.Members.ByHost {
		if m.DataCentre != s.Self.DataCentre || m.Status != blackboard.MemberAlive || !precedes(host, m.LinkMbit, &s.Self) {
			continue
		}
		if m.PlatformLost {
			lost++
			continue
		}
		before++
	}
	return before < watchers && before+lost < watchers+substitutes
}

// precedes tells that another node stands before this one.
func precedes(host string, linkMbit int, self *blackboard.Self) bool {
	if linkMbit != self.LinkMbit {
		return linkMbit > self.LinkMbit
	}
	return host < self.Host
}
