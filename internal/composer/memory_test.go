package composer

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestMemoryLimit(t *testing.T) {
	t.Run("a small heap has the limit of control", func(t *testing.T) {
		assert.Equal(t, memoryLimit(1<<20, 1<<20), int64(leastMemoryLimit))
	})
	t.Run("a heap that requests fill may still grow by a half", func(t *testing.T) {
		assert.Equal(t, memoryLimit(100<<20, 10<<20), int64(160<<20))
	})
	t.Run("the runtime tells of its memory", func(t *testing.T) {
		_, other := readMemory()
		assert.Assert(t, other > 0)
	})
}
