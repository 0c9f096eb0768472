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
	watchCheckPeriod = 100 * time.Millisecond
	// takeoverStep is the time after which further nodes poll when no node of the data
	// centre has read the platform in time. It covers a check and a call, so that the
	// reading of a node of an earlier step keeps the others from polling.
	takeoverStep = 200 * time.Millisecond
	// takeoverGrowth is how many times more nodes each step adds.
	takeoverGrowth = 4
	// pollSpacing is the least time between two polls of a node that does not watch, for
	// each live node before it. It bounds the calls of a data centre whose nodes all find
	// that nobody has read the platform: they grow with the logarithm of its nodes.
	pollSpacing = 500 * time.Millisecond
)

// WatchPolicy limits the nodes of a data centre that watch the platform. The
// others learn of changes from the watchers, and poll rarely themselves in case
// they do not.
//
// With SharesReadings set, a node that does not watch relies on the readings of other nodes of
// its data centre. It polls itself when the latest one has expired, whether or not the
// nodes that should have read count as alive: the first nodes in the order at once, four
// times as many with each step after.
type WatchPolicy struct {
	// State returns the state of the board; if nil, this node always watches.
	State func() *blackboard.State
	// PollInterval is how often a node polls that does not watch.
	PollInterval time.Duration
	// SharesReadings is true if the nodes tell each other of their readings of the kind.
	SharesReadings bool
}

// awaitPoll waits until this node has to poll. isWatcher is true if it has to watch, and
// tookOver if it has to poll once in place of the nodes that watch. Neither is set once
// PollInterval has passed or ctx has ended.
func (t WatchPolicy) awaitPoll(ctx context.Context, sleep func(context.Context, time.Duration) bool) (isWatcher, tookOver bool) {
	if t.State == nil {
		return true, false
	}
	for waited := time.Duration(0); ; waited += watchCheckPeriod {
		s := t.State()
		switch {
		case IsWatcher(s):
			return true, false
		case t.mustTakeOver(s, waited):
			return false, true
		case waited >= t.PollInterval || !sleep(ctx, watchCheckPeriod):
			return false, false
		}
	}
}

// awaitRetry waits after a failed poll until this node has to poll again. It returns true
// if another node has read the platform meanwhile, so that this one need not.
func (t WatchPolicy) awaitRetry(ctx context.Context, sleep func(context.Context, time.Duration) bool) bool {
	if !t.SharesReadings || t.State == nil {
		return false
	}
	for waited := time.Duration(0); ; waited += watchCheckPeriod {
		s := t.State()
		switch {
		case IsWatcher(s):
			return false
		case time.Now().Before(s.Config.Reading.ExpiresAt):
			return true
		case t.mustTakeOver(s, waited) || !sleep(ctx, watchCheckPeriod):
			return false
		}
	}
}

// mustTakeOver reports whether this node, which does not watch and has not polled for a
// time, has to poll because no reading of another node has come.
func (t WatchPolicy) mustTakeOver(s *blackboard.State, waited time.Duration) bool {
	expiresAt, now := s.Config.Reading.ExpiresAt, time.Now()
	if !t.SharesReadings || expiresAt.IsZero() || now.Before(expiresAt) {
		return false
	}
	n := nodesBefore(s)
	return waited >= time.Duration(n)*pollSpacing && !now.Before(expiresAt.Add(TakeoverDelay(n)))
}

// TakeoverDelay returns how long after the latest reading has expired the node polls that
// has n live nodes of its data centre before it.
func TakeoverDelay(n int) time.Duration {
	delay := time.Duration(0)
	for last, added := 1, 1; n > last; delay += takeoverStep {
		added *= takeoverGrowth
		last += added
	}
	return delay
}

// nodesBefore returns how many live nodes of this data centre come before this one.
func nodesBefore(s *blackboard.State) int {
	n := 0
	for host, m := range s.Members.ByHost {
		if m.Status == blackboard.MemberAlive && m.DataCentre == s.Self.DataCentre && Precedes(host, m.LinkMbit, &s.Self) {
			n++
		}
	}
	return n
}

// reading returns the latest reading of a node of this data centre; zero when the nodes
// do not tell each other.
func (t WatchPolicy) reading() blackboard.ConfigReading {
	if !t.SharesReadings || t.State == nil {
		return blackboard.ConfigReading{}
	}
	return t.State().Config.Reading
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
