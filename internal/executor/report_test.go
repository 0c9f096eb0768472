package executor

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/exchanger"
	"gentianbarrow.example/internal/limiter"
	"gentianbarrow.example/pkg/snapshotter"
)

func TestStatedRate(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	limited := statedRate{rate: limiter.Rate{State: limiter.RateLimited, PerSecond: 50}, statedAt: start}
	for name, c := range map[string]struct {
		report exchanger.TargetReport
		sent   time.Time
		want   statedRate
	}{
		"another limit": {exchanger.TargetReport{IsLimited: true, RateLimit: 20}, start, statedRate{rate: limiter.Rate{State: limiter.RateLimited, PerSecond: 20}, statedAt: start.Add(time.Second)}},
		"no limit in the answer to a later request":         {exchanger.TargetReport{}, start.Add(time.Millisecond), statedRate{}},
		"no limit in an answer that the limit overtook":     {exchanger.TargetReport{}, start.Add(-time.Millisecond), limited},
		"a limit that cannot be read keeps the earlier one": {exchanger.TargetReport{Malformed: "many"}, start.Add(time.Millisecond), limited},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, limited.next(&c.report, c.sent, start.Add(time.Second)), c.want)
		})
	}
}

// TestLeavingTargetGetsRequestsUntilItsAnnouncement guards against a node that sends
// requests to a target whose answers state that it leaves, until an announcement of
// the target says so too. Announcements may be seconds late.
func TestLeavingTargetGetsRequestsUntilItsAnnouncement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newTestExecutor(&limitedTarget{limit: -1, leaving: true})
		left := make(map[string]int)
		e.cfg.ReportLeaving = func(t blackboard.Target) { left[t.ID]++ }
		for range 3 {
			a := e.Execute(context.Background(), &exchanger.Request{
				Method: http.MethodGet, Service: "roster", Class: snapshotter.ClassShort, Attempt: 1, Deadline: time.Now().Add(time.Second),
			})
			a.Close()
		}
		assert.DeepEqual(t, left, map[string]int{"i-1": 1})
	})
}

// TestRestartedNodeSendsWorkToLeavingTarget guards against a node that has restarted
// since its target stated that it leaves, and takes a late announcement of the target
// for a sign that it accepts work. Nodes that passed on such an answer remember it.
func TestRestartedNodeSendsWorkToLeavingTarget(t *testing.T) {
	request := func(leaving *exchanger.TargetProcess) *exchanger.Request {
		return &exchanger.Request{
			Method: http.MethodGet, Service: "roster", Class: snapshotter.ClassShort, Attempt: 1,
			Deadline: time.Now().Add(time.Second), Leaving: leaving,
		}
	}
	for name, c := range map[string]struct {
		leaving *exchanger.TargetProcess
		want    exchanger.Reason
	}{
		"the process that the sender knows to leave": {&exchanger.TargetProcess{ID: "i-1"}, exchanger.ReasonTargetDraining},
		"an earlier process with the same id":        {&exchanger.TargetProcess{ID: "i-1", Started: 7}, exchanger.ReasonNone},
		"another process":                            {&exchanger.TargetProcess{ID: "i-2"}, exchanger.ReasonNone},
		"none":                                       {nil, exchanger.ReasonNone},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := newTestExecutor(&limitedTarget{limit: -1})
				reported := false
				e.cfg.ReportLeaving = func(blackboard.Target) { reported = true }
				a := e.Execute(context.Background(), request(c.leaving))
				a.Close()
				assert.Equal(t, a.Reason, c.want)
				assert.Equal(t, reported, c.want != exchanger.ReasonNone)
				refusal := e.Precheck(request(c.leaving), 0)
				assert.Equal(t, refusal != nil, c.want != exchanger.ReasonNone)
			})
		})
	}
}
