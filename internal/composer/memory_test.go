package composer

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestMemoryLimit(t *testing.T) {
	t.Run("a small heap has the minimum limit", func(t *testing.T) {
		assert.Equal(t, memoryLimit(1<<20, 1<<20, 0), int64(minMemoryLimitBytes))
	})
	t.Run("a large heap may grow by a half", func(t *testing.T) {
		assert.Equal(t, memoryLimit(100<<20, 10<<20, 0), int64(160<<20))
	})
	t.Run("a heap with headroom may grow by that", func(t *testing.T) {
		assert.Equal(t, memoryLimit(20<<20, 20<<20, 16<<20), int64(56<<20))
	})
	t.Run("the runtime reports its other memory", func(t *testing.T) {
		_, otherBytes := readMemory()
		assert.Assert(t, otherBytes > 0)
	})
}

// TestHeadroom guards against a node that spends its processor time on collections of
// garbage when a crowd takes memory, which keeps it from serving the crowd.
func TestHeadroom(t *testing.T) {
	headroom := uint64(0)
	for range 10 {
		headroom = nextHeadroom(headroom, 5)
	}
	assert.Equal(t, headroom, uint64(maxHeadroomBytes))
	assert.Equal(t, nextHeadroom(headroom, 1), headroom, "one collection a second is kept")
	for range maxHeadroomBytes / headroomDecayBytes {
		headroom = nextHeadroom(headroom, 0)
	}
	assert.Equal(t, headroom, uint64(0))
	assert.Equal(t, nextHeadroom(headroom, 0), uint64(0))
	assert.Assert(t, countCollections() < 1<<40)
}
