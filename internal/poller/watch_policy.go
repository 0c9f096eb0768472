package poller

import (
	"context"
	"time"

	"gentianbarrow.example/internal/blackboard"
)

const (
	// maxWatchers is how many nodes of a data centre watch the platform while it reaches
	// another one, whose watchers stand in for one that is paused.
	maxWatchers = 1
	// maxIsolatedWatchers is how many watch in a data centre that reaches no other, so
	// that one may be paused or fail.
	maxIsolatedWatchers = 2
	// maxSubstitutes is how many further nodes may watch in place of watchers that
	// cannot reach the platform. It bounds the nodes that keep polling while the
	// platform is down for all.
	maxSubstitutes = 3
	// membershipSettleTime is how long a node takes to discover the others when all
	// start together on slow processors.
	membershipSettleTime = 2 * time.Second
	// watchCheckPeriod is how often a node that does not watch checks whether it has to.
	watchCheckPeriod = 250 * time.Millisecond
)

// WatchPolicy limits the nodes of a data centre that watch the platform. The
// others learn of changes from the watchers, and poll rarely themselves in case
// they do not.
type WatchPolicy struct {
	// State returns the state of the board; if nil, this node always watches.
	State func() *blackboard.State
	// PollInterval is how often a node polls that does not watch.
	PollInterval time.Duration
}

// awaitPoll waits until this node has to poll. It returns true as soon as the
// node has to watch, and false once PollInterval has passed or ctx has ended.
func (t WatchPolicy) awaitPoll(ctx context.Context, sleep func(context.Context, time.Duration) bool) bool {
	if t.State == nil {
		return true
	}
	for waited := time.Duration(0); ; waited += watchCheckPeriod {
		isWatcher := IsWatcher(t.State())
		if isWatcher || waited >= t.PollInterval || !sleep(ctx, watchCheckPeriod) {
			return isWatcher
		}
	}
}

// awaitMembers gives a node that has just started time to discover the others,
// so that not all nodes watch when many start together.
func (t WatchPolicy) awaitMembers(ctx context.Context, sleep func(context.Context, time.Duration) bool) {
	if t.State != nil {
		sleep(ctx, membershipSettleTime)
	}
}

// IsWatcher reports whether this node is one of those of its data centre that
// watch the platform: the live nodes with the fastest links, and the first by
// host name among equals. Watchers that cannot reach the platform are substituted.
func IsWatcher(s *blackboard.State) bool {
	watchersBefore, lostBefore := 0, 0
	watchers := maxIsolatedWatchers
	for host, m := range s.Members.ByHost {
		switch {
		case m.Status != blackboard.MemberAlive:
		case m.DataCentre != s.Self.DataCentre:
			watchers = maxWatchers
		case !Precedes(host, m.LinkMbit, &s.Self):
		case m.PlatformLost:
			lostBefore++
		default:
			watchersBefore++
		}
	}
	return watchersBefore < watchers && watchersBefore+lostBefore < watchers+maxSubstitutes
}

// IsWatched reports whether a node of this node's data centre, which may be this one,
// watches the platform and reaches it as far as is known. A node of a data centre that is
// not watched may miss changes that others know.
func IsWatched(s *blackboard.State, platformLost bool) bool {
	if !platformLost && IsWatcher(s) {
		return true
	}
	// first are the nodes that watch, or would if those before them did not reach the
	// platform, in their order.
	var first [maxIsolatedWatchers + maxSubstitutes]blackboard.Member
	count := 0
	for host, m := range s.Members.ByHost {
		if m.Status != blackboard.MemberAlive || m.DataCentre != s.Self.DataCentre {
			continue
		}
		m.Host = host
		for i := range first {
			if i == count {
				first[i] = m
				count++
				break
			}
			if precedes(m, first[i]) {
				m, first[i] = first[i], m
			}
		}
	}
	for _, m := range first[:count] {
		if !m.PlatformLost {
			return true
		}
	}
	return false
}

// Precedes reports whether another node comes before this one in the order in which the
// nodes of a data centre take on work for the others.
func Precedes(host string, linkMbit int, self *blackboard.Self) bool {
	return precedes(blackboard.Member{Host: host, LinkMbit: linkMbit}, blackboard.Member{Host: self.Host, LinkMbit: self.LinkMbit})
}

func precedes(a, b blackboard.Member) bool {
	if a.LinkMbit != b.LinkMbit {
		return a.LinkMbit > b.LinkMbit
	}
	return a.Host < b.Host
}
