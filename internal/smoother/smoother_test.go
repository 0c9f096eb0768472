package smoother

import (
	"strconv"
	"testing"

	"gotest.tools/v3/assert"
)

func TestByRoute(t *testing.T) {
	b := RouteMeans{Weight: 0.5}
	_, known := b.Mean("read")
	assert.Assert(t, !known)
	b.Add("read", 10)
	b.Add("read", 20)
	b.Add("book", 7)
	mean, known := b.Mean("read")
	assert.Assert(t, known)
	assert.Equal(t, mean, 15.0)
	t.Run("samples of new routes beyond maxRoutes are ignored", func(t *testing.T) {
		for n := range 2 * maxRoutes {
			b.Add(strconv.Itoa(n), 1)
		}
		b.Add("book", 9)
		assert.Equal(t, len(b.means), maxRoutes)
		mean, _ := b.Mean("book")
		assert.Equal(t, mean, 8.0)
	})
}
