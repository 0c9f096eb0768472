package summarizer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/blackboard"
)

// tickFor gives a state a tick for each period of a time and returns all effects.
func tickFor(s blackboard.State, d time.Duration) []blackboard.Effect {
	var all []blackboard.Effect
	now := time.Unix(0, 0).Add(time.Hour)
	for end := now.Add(d); now.Before(end); now = now.Add(blackboard.TickEvery) {
		var effects []blackboard.Effect
		s, effects = Reduce(s, blackboard.Tick{Now: now})
		all = append(all, effects...)
	}
	return all
}

func assertFollowsNobody(t *testing.T, effects []blackboard.Effect) {
	t.Helper()
	for _, e := range effects {
		_, follows := e.(Follow)
		assert.Assert(t, !follows, "%+v", e)
	}
}

func TestNobodyToFollow(t *testing.T) {
	self := blackboard.Self{Host: "reyk-a-1", DataCentre: "reyk-a", Address: "reyk-a-1"}
	t.Run("a node that knows no other", func(t *testing.T) {
		s := blackboard.State{Self: self, Lease: blackboard.Lease{Slot: -1}}
		assertFollowsNobody(t, tickFor(s, time.Minute))
	})
	t.Run("a relay that knows a data centre without relays", func(t *testing.T) {
		s := blackboard.State{Self: self, Lease: blackboard.Lease{Slot: 0, Expires: time.Unix(0, 0).Add(2 * time.Hour)}}
		s.Members.ByHost = map[string]blackboard.Member{
			self.Host: {Host: self.Host, Address: self.Address, Status: blackboard.MemberAlive}, // else it is no publisher
		}
		s, _ = Reduce(s, blackboard.RelaysFound{Relays: map[string][]string{"hafn-c": nil}, Now: time.Unix(0, 0).Add(time.Hour)})
		assertFollowsNobody(t, tickFor(s, time.Minute))
	})
}
