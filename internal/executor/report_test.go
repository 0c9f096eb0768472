package executor

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/exchanger"
	"gentianbarrow.example/internal/limiter"
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
