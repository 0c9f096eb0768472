package receiver

import (
	"context"
	"io"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/blackboard"
	"gentianbarrow.example/internal/exchanger"
	"gentianbarrow.example/internal/explainer"
	"gentianbarrow.example/internal/retrier"
	"gentianbarrow.example/internal/targeter"
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

// TestSlowUploadToLeavingTarget guards against an upload whose body comes slowly: no byte of
// it had left when its target began to drain, and the target got it with the rest of the
// body, after it had been told to stop.
func TestSlowUploadToLeavingTarget(t *testing.T) {
	runInMesh(t, 2, targeter.Config{}, func(t *testing.T, m *mesh) {
		m.nodes[0].setStatus(m.nodes[1].host, blackboard.MemberSuspect)
		body, source := io.Pipe()
		var group errgroup.Group
		group.Go(func() error {
			_, _ = source.Write([]byte("first"))
			time.Sleep(time.Second)
			m.nodes[0].setPhase(blackboard.TargetDraining)
			m.shareMembers()
			_, _ = source.Write([]byte(" and last"))
			return source.Close()
		})
		r := m.send(t.Context(), 0, "POST", "/upload", body, withID("u-1"))
		assert.NilError(t, group.Wait())
		assertDone(t, r)
		assert.Equal(t, m.nodes[0].target.Counts().ByRequest["u-1"], 0, "the leaving target ran it")
		assert.Equal(t, m.nodes[1].target.Counts().ByRequest["u-1"], 1)
	})
}
