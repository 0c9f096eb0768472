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
	for end := now.Add(d); now.Before(end); now = now.Add(blackboard.TickInterval) {
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

// relayAlone is a relay whose data centre has no other node.
func relayAlone() blackboard.State {
	self := blackboard.Self{Host: "reyk-a-1", DataCentre: "reyk-a", Address: "reyk-a-1"}
	return blackboard.State{
		Self:  self,
		Lease: blackboard.Lease{Slot: 0, Epoch: 1, Expires: time.Unix(0, 0).Add(3 * time.Hour)},
		Members: blackboard.Members{ByHost: map[string]blackboard.Member{
			self.Host: {Host: self.Host, Address: self.Address, Status: blackboard.MemberAlive},
		}},
	}
}

// searches counts the searches for relays in a time, while every stream ends as soon as it begins.
func searches(s blackboard.State, known map[string][]string, d time.Duration) int {
	now := time.Unix(0, 0).Add(time.Hour)
	count := 0
	for end := now.Add(d); now.Before(end); now = now.Add(blackboard.TickInterval) {
		var effects []blackboard.Effect
		s, effects = Reduce(s, blackboard.Tick{Now: now})
		for _, e := range effects {
			switch e := e.(type) {
			case FindRelays:
				count++
				s, _ = Reduce(s, blackboard.RelaysFound{Relays: known, Now: now})
			case Follow:
				s, _ = Reduce(s, blackboard.SummaryStreamEnded{Key: e.Key, Address: e.Address, Now: now})
			}
		}
	}
	return count
}

func TestRelaysAreSearchedAgain(t *testing.T) {
	known := map[string][]string{"hafn-c": {"hafn-c-1"}}
	t.Run("soon, when no known relay tells of its data centre", func(t *testing.T) {
		const inForce = 17 * time.Second
		assert.Assert(t, searches(relayAlone(), known, inForce) >= 2)
	})
	t.Run("ever more rarely, so that a data centre that is away for an hour costs little", func(t *testing.T) {
		least := int(time.Hour / relaysPeriod)
		assert.Assert(t, searches(relayAlone(), known, time.Hour) <= 2*least)
	})
}
