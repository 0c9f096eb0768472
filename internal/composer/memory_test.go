package composer

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestMemoryLimit(t *testing.T) {
	t.Run("a small heap has the minimum limit", func(t *testing.T) {
		assert.Equal(t, memoryLimit(1<<20, 1<<20), int64(minMemoryLimitBytes))
	})
	t.Run("a large heap may grow by a half", func(t *testing.T) {
		assert.Equal(t, memoryLimit(100<<20, 10<<20), int64(160<<20))
	})
	t.Run("the runtime reports its other memory", func(t *testing.T) {
		_, otherBytes := readMemory()
		assert.Assert(t, otherBytes > 0)
	})
}
