package parser

import (
	"errors"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"gentianbarrow.example/internal/decoder"
)

func TestParse(t *testing.T) {
	t.Run("a complete ticket", func(t *testing.T) {
		d, err := Parse(golden.Get(t, "good.yaml"))
		assert.NilError(t, err)
		assert.Equal(t, d.Firm, "frothvik")
		assert.Equal(t, d.Change.Services[0].Slots, 20)
		assert.Equal(t, d.Change.Routes[0].Idempotent, true)
		assert.DeepEqual(t, d.Change.Routes[0].Methods, []string{"GET", "HEAD"})
		assert.DeepEqual(t, d.Change.RemoveRoutes, []string{"old-status"})
	})
	t.Run("firms with keys in any order", func(t *testing.T) {
		d, err := Parse(golden.Get(t, "firms.yaml"))
		assert.NilError(t, err)
		f := d.Change.Firms[0]
		assert.Equal(t, f.Name, "rocklea")
		assert.Equal(t, f.Rate, 30)
		assert.Equal(t, len(f.Keys), 2)
		assert.Equal(t, f.Keys[0][31], byte(1))
		assert.Equal(t, f.Keys[1][0], byte(0xff))
		assert.DeepEqual(t, d.Change.RemoveFirms, []string{"yatala"})
	})
	t.Run("no problem quotes a key", func(t *testing.T) {
		for _, name := range []string{"bad-firms", "key-anchor"} {
			_, err := Parse(golden.Get(t, name+".yaml"))
			assert.Assert(t, err != nil)
			assert.Assert(t, !strings.Contains(err.Error(), "m82thhkmgjqnirth5mgj"), err)
		}
	})
	for _, name := range []string{"bad", "bad-firms", "key-anchor", "empty", "not-yaml", "alias"} {
		t.Run(name, func(t *testing.T) {
			_, err := Parse(golden.Get(t, name+".yaml"))
			var invalid *decoder.InvalidError
			assert.Assert(t, errors.As(err, &invalid))
			golden.Assert(t, invalid.Error()+"\n", name+".golden")
		})
	}
}

func FuzzParse(f *testing.F) {
	for _, name := range []string{"good", "bad", "alias", "firms", "bad-firms"} {
		data, err := os.ReadFile("testdata/" + name + ".yaml")
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := Parse(data)
		var invalid *decoder.InvalidError
		assert.Assert(t, err == nil || errors.As(err, &invalid))
		assert.Assert(t, err != nil || len(d.Change.Services)+len(d.Change.Routes)+
			len(d.Change.RemoveServices)+len(d.Change.RemoveRoutes)+len(d.Change.Firms)+len(d.Change.RemoveFirms) > 0)
	})
}
