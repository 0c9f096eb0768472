package composer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/blackboard"
)

func TestObserver(t *testing.T) {
	var told []bool
	now := time.Unix(1, 0)
	o := &observer{
		post: func(m blackboard.Msg) { told = append(told, m.(blackboard.TargetObserved).Success) },
		now:  func() time.Time { return now },
	}
	t.Run("successes in a row are told at a bounded rate", func(t *testing.T) {
		for range 1000 {
			o.observe(true)
		}
		now = now.Add(successEvery)
		o.observe(true)
		assert.DeepEqual(t, told, []bool{true, true})
	})
	t.Run("every failure is told, and the first success after it", func(t *testing.T) {
		told = nil
		for _, good := range []bool{false, false, true, true} {
			o.observe(good)
		}
		assert.DeepEqual(t, told, []bool{false, false, true})
	})
}
