package subscriber

import (
	"testing"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/attributor"
)

func TestRunCalls(t *testing.T) {
	learned := RunCalls{
		Calls:        []attributor.Estimate{{Route: "position", Service: "settle", CallsPerRun: 1.5, Weight: 20}},
		CallerRoutes: []string{"lodge"},
	}
	f := &feed{sub: New(Config{RunCalls: func() RunCalls { return learned }}), sameDataCentre: true}
	assertTold := func(t *testing.T, want bool) {
		t.Helper()
		m := f.runCalls()
		assert.Equal(t, m != nil, want)
		if want {
			assert.DeepEqual(t, decodeRunCalls(m), learned)
		}
	}
	t.Run("what was learned is told once", func(t *testing.T) {
		assertTold(t, true)
		learned.Calls[0].CallsPerRun, learned.Calls[0].Weight = 1.25, 30
		assertTold(t, false)
	})
	t.Run("another called service is told with the next update", func(t *testing.T) {
		learned.Calls = append(learned.Calls, attributor.Estimate{Route: "position", Service: "stock", CallsPerRun: 1, Weight: 1})
		assertTold(t, true)
		assertTold(t, false)
	})
	t.Run("all is repeated from time to time", func(t *testing.T) {
		told := 0
		for range 2 * runCallsTicks {
			if f.runCalls() != nil {
				told++
			}
		}
		assert.Equal(t, told, 2)
	})
	t.Run("other data centres and nodes without knowledge are not told", func(t *testing.T) {
		f.sameDataCentre = false
		assertTold(t, false)
		f.sameDataCentre, learned = true, RunCalls{}
		assertTold(t, false)
	})
}
