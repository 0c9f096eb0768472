package receiver

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/exchanger"
	"gentianbarrow.example/internal/explainer"
	"gentianbarrow.example/internal/retrier"
)

// TestLeavingTargetIsForgotten guards against a node that has passed on an answer of a
// target that leaves, and sends the target's node a request without telling it.
func TestLeavingTargetIsForgotten(t *testing.T) {
	var sent []*exchanger.TargetProcess
	answer := exchanger.Unknown(exchanger.ReasonConnectionLost, nil)
	rc := New(Config{
		State: func() *blackboard.State { return &blackboard.State{Self: blackboard.Self{Host: "host-1"}} },
		Forward: func(_ context.Context, _ string, r *exchanger.Request) *exchanger.Answer {
			sent = append(sent, r.Leaving)
			return answer
		},
	})
	send := func(host string) {
		r := &attemptSequence{call: &call{receiver: rc, request: &exchanger.Request{Service: "roster", Deadline: time.Now().Add(time.Second)}}}
		r.send(t.Context(), target{host: host, address: "10.0.0.2:7600", choiceReason: explainer.ChoiceByCost}, nil, 1)
	}
	leaving := &exchanger.TargetProcess{ID: "i-1", Started: 7}
	send("host-2")
	answer = &exchanger.Answer{Outcome: retrier.OutcomeUnknown, Leaving: leaving}
	send("host-2")
	answer = exchanger.Unknown(exchanger.ReasonConnectionLost, nil)
	send("host-2")
	send("host-3")
	assert.DeepEqual(t, sent, []*exchanger.TargetProcess{nil, nil, leaving, nil})
}
