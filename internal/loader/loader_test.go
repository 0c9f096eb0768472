package loader

import (
	"errors"
	"os"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"gentianbarrow.example/internal/decoder"
)

func TestParse(t *testing.T) {
	t.Run("valid settings get defaults", func(t *testing.T) {
		s, err := Load("testdata/good.yaml")
		assert.NilError(t, err)
		assert.Equal(t, s.Listen.Nodes, "127.0.0.1:18002")
		assert.Equal(t, s.Limits.CallerConnections, 4096)
		assert.Equal(t, string(s.Log.Format), "text")
		assert.DeepEqual(t, s.SeedPeers, []string{"127.0.0.1:18012"})
	})
	t.Run("every problem is reported at once with line and key", func(t *testing.T) {
		_, err := Load("testdata/bad.yaml")
		var invalid *decoder.InvalidError
		assert.Assert(t, errors.As(err, &invalid))
		golden.Assert(t, err.Error(), "bad.golden")
	})
	t.Run("an empty file names each missing key", func(t *testing.T) {
		_, err := Parse(nil)
		golden.Assert(t, err.Error(), "empty.golden")
	})
	t.Run("a file that is not YAML", func(t *testing.T) {
		_, err := Parse([]byte("\t:"))
		var invalid *decoder.InvalidError
		assert.Assert(t, errors.As(err, &invalid))
	})
	t.Run("a missing file", func(t *testing.T) {
		_, err := Load("testdata/none.yaml")
		var unreadable *UnreadableError
		assert.Assert(t, errors.As(err, &unreadable))
	})
}

func FuzzParse(f *testing.F) {
	for _, name := range []string{"testdata/good.yaml", "testdata/bad.yaml"} {
		data, err := os.ReadFile(name)
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse(data)
		if err == nil {
			assert.Assert(t, s.Host != "" && s.Listen.Nodes != "")
		}
	})
}
