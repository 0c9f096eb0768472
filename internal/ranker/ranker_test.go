package ranker

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/blackboard"
)

func members(n int) map[string]blackboard.Member {
	byHost := map[string]blackboard.Member{}
	for i := range n {
		host := fmt.Sprintf("host-%d", i)
		byHost[host] = blackboard.Member{Host: host, Status: blackboard.MemberAlive}
	}
	return byHost
}

func TestRank(t *testing.T) {
	t.Run("the position of a host is its index in the order", func(t *testing.T) {
		byHost := members(100)
		ranked := Rank(byHost)
		for host := range byHost {
			assert.Equal(t, Position(byHost, host), Index(ranked, host))
		}
	})
	t.Run("members that are dead or have left are not ranked", func(t *testing.T) {
		byHost := members(3)
		byHost["host-0"] = blackboard.Member{Host: "host-0", Status: blackboard.MemberDead}
		byHost["host-1"] = blackboard.Member{Host: "host-1", Status: blackboard.MemberLeft}
		assert.Equal(t, len(Rank(byHost)), 1)
		assert.Equal(t, Position(byHost, "host-2"), 0)
	})
}

func TestBackoff(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	for failures := range 100 {
		wait := Backoff("host-1", now, failures, time.Second, 10*time.Second)
		assert.Assert(t, wait >= 500*time.Millisecond && wait <= 10*time.Second, "%v after %d failures", wait, failures)
	}
}

func TestIntervalFactor(t *testing.T) {
	for _, c := range []struct{ known, seen, want int }{
		{1, 1, 1}, {100, 100, 1}, {100, 50, 1}, {100, 2, 5}, {1000, 1, 20}, {1000, 40, 2},
	} {
		byHost := members(c.known)
		for i := range c.known - c.seen {
			host := fmt.Sprintf("host-%d", i)
			byHost[host] = blackboard.Member{Host: host, Status: blackboard.MemberDead}
		}
		assert.Equal(t, IntervalFactor(byHost), time.Duration(c.want), "%+v", c)
	}
}
