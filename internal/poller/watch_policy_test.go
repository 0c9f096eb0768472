package poller

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/blackboard"
)

// dataCentre returns a state of node a-5, whose link has 100 Mbit/s, with the given members.
func dataCentre(members ...blackboard.Member) *blackboard.State {
	s := &blackboard.State{Self: blackboard.Self{Host: "a-5", DataCentre: "a", LinkMbit: 100}}
	s.Members.ByHost = map[string]blackboard.Member{}
	for _, m := range members {
		s.Members.ByHost[m.Host] = m
	}
	return s
}

// member returns a live node of data centre a with a link of 100 Mbit/s.
func member(host string) blackboard.Member {
	return blackboard.Member{Host: host, DataCentre: "a", LinkMbit: 100, Status: blackboard.MemberAlive}
}

func with(m blackboard.Member, change func(*blackboard.Member)) blackboard.Member {
	change(&m)
	return m
}

func TestIsWatcher(t *testing.T) {
	dead := func(m *blackboard.Member) { m.Status = blackboard.MemberDead }
	suspect := func(m *blackboard.Member) { m.Status = blackboard.MemberSuspect }
	slowLink := func(m *blackboard.Member) { m.LinkMbit = 7 }
	fastLink := func(m *blackboard.Member) { m.LinkMbit = 140 }
	otherDataCentre := func(m *blackboard.Member) { m.DataCentre = "b" }
	lost := func(m *blackboard.Member) { m.PlatformLost = true }
	one, two, six := member("a-1"), member("a-2"), member("a-6")
	for name, c := range map[string]struct {
		members []blackboard.Member
		want    bool
	}{
		"a node without peers":                         {nil, true},
		"the second":                                   {[]blackboard.Member{one, six}, true},
		"the third":                                    {[]blackboard.Member{one, two}, false},
		"the third, with one dead":                     {[]blackboard.Member{one, with(two, dead)}, true},
		"the third, with one suspect":                  {[]blackboard.Member{one, with(two, suspect)}, true},
		"the third by name, with a faster link":        {[]blackboard.Member{one, with(two, slowLink)}, true},
		"the first by name, with a slower link":        {[]blackboard.Member{with(six, fastLink), with(member("a-7"), fastLink)}, false},
		"nodes of other data centres do not count":     {[]blackboard.Member{with(one, otherDataCentre), with(two, otherDataCentre)}, true},
		"the second, in reach of another data centre":  {[]blackboard.Member{one, with(two, otherDataCentre)}, false},
		"the second, with the other one out of reach":  {[]blackboard.Member{one, with(with(two, otherDataCentre), suspect)}, true},
		"nodes that lost the platform are substituted": {[]blackboard.Member{with(one, lost), with(two, lost)}, true},
		"the number of substitutes is bounded": {[]blackboard.Member{
			with(one, lost), with(two, lost), with(member("a-3"), lost), with(member("a-4"), lost), with(member("a-0"), lost),
		}, false},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, IsWatcher(dataCentre(c.members...)), c.want) })
	}
}

func TestWatchPolicy(t *testing.T) {
	awaitPoll := func(policy WatchPolicy, whenSlept func(n int)) (watch bool, slept time.Duration) {
		n := 0
		watch, _ = policy.awaitPoll(t.Context(), func(_ context.Context, d time.Duration) bool {
			slept += d
			n++
			whenSlept(n)
			return true
		})
		return watch, slept
	}
	third := dataCentre(member("a-1"), member("a-2"))
	t.Run("without a state a node always watches", func(t *testing.T) {
		watch, slept := awaitPoll(WatchPolicy{}, func(int) {})
		assert.Assert(t, watch)
		assert.Equal(t, slept, time.Duration(0))
	})
	t.Run("a node that does not watch polls rarely", func(t *testing.T) {
		watch, slept := awaitPoll(WatchPolicy{State: func() *blackboard.State { return third }, PollInterval: 10 * time.Second}, func(int) {})
		assert.Assert(t, !watch)
		assert.Equal(t, slept, 10*time.Second)
	})
	t.Run("a node watches soon after a watcher is lost", func(t *testing.T) {
		now := third
		policy := WatchPolicy{State: func() *blackboard.State { return now }, PollInterval: 10 * time.Second}
		watch, slept := awaitPoll(policy, func(n int) {
			if n == 4 {
				now = dataCentre(member("a-1"))
			}
		})
		assert.Assert(t, watch)
		assert.Equal(t, slept, 4*watchCheckPeriod)
	})
}

func TestIsWatched(t *testing.T) {
	lost := func(m blackboard.Member) blackboard.Member {
		return with(m, func(m *blackboard.Member) { m.PlatformLost = true })
	}
	allLost := []blackboard.Member{lost(member("a-0")), lost(member("a-1")), lost(member("a-2")), lost(member("a-3")), lost(member("a-4"))}
	for name, c := range map[string]struct {
		members []blackboard.Member
		lost    bool
		want    bool
	}{
		"a node without peers":                         {nil, false, true},
		"a node without peers that lost the platform":  {nil, true, false},
		"others watch":                                 {[]blackboard.Member{member("a-1"), member("a-2")}, false, true},
		"others watch, and this one lost the platform": {[]blackboard.Member{member("a-1")}, true, true},
		"those that watch lost it":                     {allLost, false, false},
		"one that is not to watch has not lost it":     {append([]blackboard.Member{member("a-9")}, allLost...), false, false},
		"one that stands in for them has not lost it":  {append([]blackboard.Member{member("a-11")}, allLost[:3]...), false, true},
		"nodes that are dead or of other data centres: nobody": {
			[]blackboard.Member{
				with(member("a-1"), func(m *blackboard.Member) { m.Status = blackboard.MemberDead }),
				with(member("b-1"), func(m *blackboard.Member) { m.DataCentre = "b" }),
			}, true, false,
		},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, IsWatched(dataCentre(c.members...), c.lost), c.want) })
	}
}
