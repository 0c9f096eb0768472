package seeder

import (
	"flag"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// importsOf returns which of the two packages the tests of each folder import.
func importsOf(t *testing.T, root string) (rapid, seeder map[string]bool) {
	t.Helper()
	rapid, seeder = map[string]bool{}, map[string]bool{}
	err := filepath.WalkDir(root, func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		for _, i := range file.Imports {
			switch i.Path.Value {
			case `"pgregory.net/rapid"`:
				rapid[filepath.Dir(path)] = true
			case `"gentianbarrow.example/internal/seeder"`:
				seeder[filepath.Dir(path)] = true
			}
		}
		return nil
	})
	assert.NilError(t, err)
	return rapid, seeder
}

func TestPropertyTestsHaveAFixedSeed(t *testing.T) {
	assert.Assert(t, flag.Lookup("rapid.seed").Value.String() != "0")
	rapid, seeder := importsOf(t, "../..")
	assert.Assert(t, len(rapid) > 0)
	for folder := range rapid {
		t.Run(filepath.Base(folder), func(t *testing.T) {
			assert.Assert(t, seeder[folder], "%s uses rapid without internal/seeder", folder)
		})
	}
}
