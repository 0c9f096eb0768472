package executor

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/exchanger"
	"gentianbarrow.example/internal/retrier"
)

func TestSignalOf(t *testing.T) {
	for name, c := range map[string]struct {
		answer exchanger.Answer
		held   time.Duration
		want   healthSignal
	}{
		"a complete answer":             {exchanger.Answer{Outcome: retrier.OutcomeDone, Status: 200}, 0, signalGood},
		"an answer with status 503":     {exchanger.Answer{Outcome: retrier.OutcomeDone, Status: 503}, 0, signalGood},
		"load shedding":                 {*exchanger.NotRun(exchanger.ReasonTargetShed, nil), 0, signalGood},
		"no connection":                 {*exchanger.NotRun(exchanger.ReasonUnreachable, nil), 0, signalBad},
		"a lost connection":             {*exchanger.Unknown(exchanger.ReasonConnectionLost, nil), 0, signalBad},
		"an answer to another request":  {*exchanger.Unknown(exchanger.ReasonCrossedAnswer, nil), 0, signalBad},
		"a caller who went away":        {*exchanger.Unknown(exchanger.ReasonCancelled, nil), time.Minute, signalNone},
		"a caller's short deadline":     {*exchanger.Unknown(exchanger.ReasonDeadline, nil), defaultBlameAfter - 1, signalNone},
		"a request held long enough":    {*exchanger.Unknown(exchanger.ReasonDeadline, nil), defaultBlameAfter, signalBad},
		"a refusal by this node itself": {*exchanger.NotRun(exchanger.ReasonTargetDraining, nil), 0, signalNone},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, signalOf(&c.answer, c.held, defaultBlameAfter), c.want)
		})
	}
}
