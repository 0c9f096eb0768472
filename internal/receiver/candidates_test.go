package receiver

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/router"
	"gentianbarrow.example/internal/summarizer"
)

// shareOf returns the share of requests that go to a host in the given state.
func shareOf(s *blackboard.State, now time.Time, host string) float64 {
	const requests = 2000
	found := buildServices(s, nil, now)["booking"]
	rnd := rand.New(rand.NewPCG(1, 1))
	balancer := router.New()
	chosen := 0
	for range requests {
		choice, _ := balancer.Choose(now, router.Request{Service: "booking"}, found.candidates, rnd)
		if choice.Host == host {
			chosen++
		}
	}
	return float64(chosen) / requests
}

func TestAgeOfCandidates(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	ready := blackboard.TargetRecord{Service: "booking", Phase: blackboard.TargetReady, Slots: 10}
	self := blackboard.Self{Host: "reyk-a-1", DataCentre: "reyk-a", Region: "is-south"}
	t.Run("a member that joined long ago gets its share", func(t *testing.T) {
		s := &blackboard.State{Self: self, Members: blackboard.Members{ByHost: map[string]blackboard.Member{
			"old": {Host: "old", Status: blackboard.MemberAlive, Target: ready, ChangedAt: now.Add(-time.Hour)},
			"new": {Host: "new", Status: blackboard.MemberAlive, Target: ready, ChangedAt: now},
		}}}
		assert.Assert(t, shareOf(s, now, "old") > 0.4)
	})
	t.Run("a data centre with a summary of normal age gets its share", func(t *testing.T) {
		summary := func(dataCentre string, age time.Duration) blackboard.DataCentreSummary {
			return blackboard.DataCentreSummary{
				DataCentre: dataCentre, Region: "is-south", Received: now.Add(-age),
				Services: []blackboard.ServiceSummary{{
					Service: "booking", Targets: 1, Slots: 10, Hosts: []blackboard.RemoteHost{{Host: dataCentre}},
				}},
			}
		}
		s := &blackboard.State{Self: self, Members: blackboard.Members{Remote: map[string]blackboard.DataCentreSummary{
			"reyk-b": summary("reyk-b", summarizer.MaxSteadyAge),
			"hafn-c": summary("hafn-c", 0),
		}}}
		assert.Assert(t, shareOf(s, now, "reyk-b") > 0.4)
	})
}
