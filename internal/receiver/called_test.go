package receiver

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/acceptor"
	"gentianbarrow.example/internal/attributor"
	"gentianbarrow.example/internal/exchanger"
	"gentianbarrow.example/internal/explainer"
	"gentianbarrow.example/internal/limiter"
	"gentianbarrow.example/internal/moderator"
	"gentianbarrow.example/internal/retrier"
)

func TestRecordCall(t *testing.T) {
	now := time.Now()
	const objective, left = 150 * time.Millisecond, 500 * time.Millisecond
	// record returns what is recorded of a call with the time left that ends with a.
	record := func(left time.Duration, isCall bool, a *exchanger.Answer) (calls []moderator.Call) {
		c := &call{
			receiver: New(Config{RecordCall: func(_ time.Time, c moderator.Call) { calls = append(calls, c) }}),
			request:  &exchanger.Request{Service: "settle", IsCall: isCall, Deadline: now.Add(left), SoftDeadline: now.Add(objective)},
			record:   explainer.Record{Arrived: now},
		}
		c.recordCall(a)
		return calls
	}
	answered := &exchanger.Answer{Outcome: retrier.OutcomeDone, Load: &limiter.Load{CallWait: 20 * time.Millisecond}}
	refused := exchanger.NotRun(exchanger.Reason(limiter.ReasonMissesDeadline), nil)
	t.Run("the wait that the target's node tells", func(t *testing.T) {
		want := moderator.Call{Service: "settle", Wait: 20 * time.Millisecond, TimeLeft: left}
		assert.DeepEqual(t, record(left, true, answered), []moderator.Call{want})
	})
	t.Run("a refusal for lack of room", func(t *testing.T) {
		assert.DeepEqual(t, record(left, true, refused), []moderator.Call{{Service: "settle", TimeLeft: left, IsRefused: true}})
	})
	t.Run("a call whose run had too little time shows no lack of room", func(t *testing.T) {
		assert.Equal(t, len(record(objective/2, true, refused)), 0)
	})
	t.Run("a call that its run gave up shows nothing", func(t *testing.T) {
		assert.Equal(t, len(record(left, true, exchanger.Unknown(exchanger.ReasonCancelled, nil))), 0)
	})
	t.Run("a caller's request is no call", func(t *testing.T) {
		assert.Equal(t, len(record(left, false, answered)), 0)
	})
}

func TestIsCall(t *testing.T) {
	c := &call{
		receiver: New(Config{OriginOf: func(_ time.Time, a attributor.Arrival) (attributor.Origin, string) {
			if a.Route == "capacity" && a.Service == "settle" && a.Connection == 7 && a.ID == "5df7.1" {
				return attributor.OriginTarget, "5df7"
			}
			return attributor.OriginCaller, ""
		}}),
		caller: acceptor.Caller{Connection: 7}, record: explainer.Record{RequestID: "5df7.1"},
	}
	assert.Assert(t, c.isCall("capacity", "settle", 1))
	assert.Equal(t, c.record.Parent, "5df7")
	assert.Assert(t, !c.isCall("position", "desk", 1))
	assert.Assert(t, c.isCall("position", "desk", 2), "the depth shows a call")
}
