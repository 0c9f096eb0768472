package executor

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/exchanger"
	"gentianbarrow.example/internal/retrier"
)

func TestJudge(t *testing.T) {
	for name, c := range map[string]struct {
		answer exchanger.Answer
		held   time.Duration
		want   verdict
	}{
		"a whole answer":                {exchanger.Answer{Outcome: retrier.OutcomeDone, Status: 200}, 0, verdictGood},
		"an answer that passes on 503":  {exchanger.Answer{Outcome: retrier.OutcomeDone, Status: 503}, 0, verdictGood},
		"load shedding":                 {*exchanger.NotRun(exchanger.ReasonTargetShed, nil), 0, verdictGood},
		"no connection":                 {*exchanger.NotRun(exchanger.ReasonUnreachable, nil), 0, verdictBad},
		"a cut connection":              {*exchanger.Unknown(exchanger.ReasonConnectionLost, nil), 0, verdictBad},
		"an answer to another request":  {*exchanger.Unknown(exchanger.ReasonCrossedAnswer, nil), 0, verdictBad},
		"a caller who went away":        {*exchanger.Unknown(exchanger.ReasonCancelled, nil), time.Minute, verdictNone},
		"a caller's short deadline":     {*exchanger.Unknown(exchanger.ReasonDeadline, nil), heldLong - 1, verdictNone},
		"a request held to its end":     {*exchanger.Unknown(exchanger.ReasonDeadline, nil), heldLong, verdictBad},
		"a refusal by this node itself": {*exchanger.NotRun(exchanger.ReasonTargetDraining, nil), 0, verdictNone},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, judge(&c.answer, c.held, heldLong), c.want)
		})
	}
}
