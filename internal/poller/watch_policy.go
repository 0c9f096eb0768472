package poller

import (
	"context"
	"time"

	"gentianbarrow.example/internal/blackboard"
)

const (
	// watchers is how many nodes of a data centre watch the platform, so that one may be
	// lost. Both ask again soon: one may stand still while the other's event is lost.
	watchers = 2
	// substitutes is how many more may watch in place of those that have lost the
	// platform. While it is away for all, no others ask again and again.
	substitutes = 3
	// settleTime is about how long a node takes to reach the others.
	settleTime = 1 * time.Second
	// turnEvery is how often a node that does not watch looks whether it is its turn.
	turnEvery = 250 * time.Millisecond
)

// Turn shares the watching of the platform among the nodes of a data centre.
// The others hear of changes from them, and ask rarely themselves in case they do not.
type WatchPolicy struct {
	// State returns the state of the board; nil means that this node always watches.
	State func() *blackboard.State
	// AskEvery is how often a node asks that does not watch.
	PollInterval time.Duration
}

// await returns true as soon as this node is to watch, and false when it has not
// asked for so long that it is to ask once.
func (t WatchPolicy) await(ctx context.Context, sleep func(context.Context, time.Duration) bool) bool {
	if t.State == nil {
		return true
	}
	for waited := time.Duration(0); ; waited += turnEvery {
		watches := IsWatcher(t.State())
		if watches || waited >= t.PollInterval || !sleep(ctx, turnEvery) {
			return watches
		}
	}
}

// settle lets a node that has just started learn who the others are, so that
// not every node watches at the start of many.
func (t WatchPolicy) settle(ctx context.Context, sleep func(context.Context, time.Duration) bool) {
	if t.State != nil {
		sleep(ctx, settleTime)
	}
}

// Watches tells that this node is one of those of its data centre that watch
// the platform: the living ones with the fastest links, in an order that all
// nodes agree on. Those that have lost the platform are substituted.
func IsWatcher(s *blackboard.State) bool {
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
