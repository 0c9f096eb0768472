package poller

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/blackboard"
)

// maxNodes is how many nodes a data centre may have at full size.
const maxNodes = 1000

func TestTakeoverDelay(t *testing.T) {
	for n, want := range map[int]time.Duration{0: 0, 1: 0, 2: takeoverStep, 5: takeoverStep, 6: 2 * takeoverStep, 21: 2 * takeoverStep, 22: 3 * takeoverStep} {
		assert.Equal(t, TakeoverDelay(n), want, "%d nodes before", n)
	}
	assert.Assert(t, TakeoverDelay(maxNodes) <= 5*takeoverStep)
}

// TestTakeoverCallsAreBounded guards against nodes that all read the platform again and
// again while it is away. Their data centre may use a nineteenth of 2,000 reads a second.
func TestTakeoverCallsAreBounded(t *testing.T) {
	perSecond := 0.0
	for n := 1; n < maxNodes; n++ {
		perSecond += 1 / (time.Duration(n) * pollSpacing).Seconds()
	}
	assert.Assert(t, perSecond <= 2000.0/19, "%.1f reads a second", perSecond)
}

// TestTakeover guards against a node that reads the platform although others do, and one
// that does not although nobody does.
func TestTakeover(t *testing.T) {
	policy := WatchPolicy{SharesReadings: true}
	// second returns the state of a node with one before it, whose latest reading expires
	// in a time.
	second := func(expiresIn time.Duration) *blackboard.State {
		s := dataCentre(member("a-1"))
		s.Config.Reading.ExpiresAt = time.Now().Add(expiresIn)
		return s
	}
	assert.Assert(t, !policy.mustTakeOver(second(time.Minute), time.Hour), "a reading is valid")
	assert.Assert(t, policy.mustTakeOver(second(-time.Millisecond), pollSpacing), "it has expired")
	assert.Assert(t, !policy.mustTakeOver(second(-time.Millisecond), pollSpacing-time.Millisecond), "this node has just polled")
	assert.Assert(t, !policy.mustTakeOver(dataCentre(member("a-1")), time.Hour), "there was none yet")
	assert.Assert(t, !(WatchPolicy{}).mustTakeOver(second(-time.Minute), time.Hour), "nodes do not tell each other")
}
