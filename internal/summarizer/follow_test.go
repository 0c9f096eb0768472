package summarizer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/blackboard"
)

// tickFor applies ticks to a state for a duration and returns all effects.
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

func assertFollowsNoNode(t *testing.T, effects []blackboard.Effect) {
	t.Helper()
	for _, e := range effects {
		_, follows := e.(Follow)
		assert.Assert(t, !follows, "%+v", e)
	}
}

func TestNoNodeToFollow(t *testing.T) {
	self := blackboard.Self{Host: "reyk-a-1", DataCentre: "reyk-a", Address: "reyk-a-1"}
	t.Run("a node without peers", func(t *testing.T) {
		s := blackboard.State{Self: self, Lease: blackboard.Lease{Slot: -1}}
		assertFollowsNoNode(t, tickFor(s, time.Minute))
	})
	t.Run("a relay that knows a data centre without relays", func(t *testing.T) {
		s := blackboard.State{Self: self, Lease: blackboard.Lease{Slot: 0, Expires: time.Unix(0, 0).Add(2 * time.Hour)}}
		s.Members.ByHost = map[string]blackboard.Member{
			self.Host: {Host: self.Host, Address: self.Address, Status: blackboard.MemberAlive}, // otherwise it is not the publisher
		}
		s, _ = Reduce(s, blackboard.RelaysFound{Relays: map[string][]string{"hafn-c": nil}, Now: time.Unix(0, 0).Add(time.Hour)})
		assertFollowsNoNode(t, tickFor(s, time.Minute))
	})
}

// newLoneRelay returns the state of a relay whose data centre has no other node.
func newLoneRelay() blackboard.State {
	self := blackboard.Self{Host: "reyk-a-1", DataCentre: "reyk-a", Address: "reyk-a-1"}
	return blackboard.State{
		Self:  self,
		Lease: blackboard.Lease{Slot: 0, Epoch: 1, Expires: time.Unix(0, 0).Add(3 * time.Hour)},
		Members: blackboard.Members{ByHost: map[string]blackboard.Member{
			self.Host: {Host: self.Host, Address: self.Address, Status: blackboard.MemberAlive},
		}},
	}
}

// countSearches counts the searches for relays within a duration, while every stream ends as soon as it begins.
func countSearches(s blackboard.State, known map[string][]string, d time.Duration) int {
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

func TestRelaySearchIsRepeated(t *testing.T) {
	known := map[string][]string{"hafn-c": {"hafn-c-1"}}
	t.Run("soon when no known relay serves its data centre", func(t *testing.T) {
		const window = 17 * time.Second
		assert.Assert(t, countSearches(newLoneRelay(), known, window) >= 2)
	})
	t.Run("with backoff while a data centre is unreachable for an hour", func(t *testing.T) {
		regularSearches := int(time.Hour / relaysPeriod)
		assert.Assert(t, countSearches(newLoneRelay(), known, time.Hour) <= 2*regularSearches)
	})
}
