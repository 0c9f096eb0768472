package composer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianbarrow.example/internal/blackboard"
)

func TestObserver(t *testing.T) {
	var posted []bool
	now := time.Unix(1, 0)
	o := &observer{
		post: func(m blackboard.Msg) { posted = append(posted, m.(blackboard.TargetObserved).Success) },
		now:  func() time.Time { return now },
	}
	t.Run("successes in a row are posted at a limited rate", func(t *testing.T) {
		for range 1000 {
			o.observe(true)
		}
		now = now.Add(successInterval)
		o.observe(true)
		assert.DeepEqual(t, posted, []bool{true, true})
	})
	t.Run("every failure and the first success after it are posted", func(t *testing.T) {
		posted = nil
		for _, success := range []bool{false, false, true, true} {
			o.observe(success)
		}
		assert.DeepEqual(t, posted, []bool{false, false, true})
	})
}
