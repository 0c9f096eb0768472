package checker

import (
	"go/parser"
	"go/token"
	"testing"

	"gotest.tools/v3/assert"
)

func findings(t *testing.T, source string) []Finding {
	t.Helper()
	fset := token.NewFileSet()
	file, err := parser.ParseFile(fset, "sample.go", source, 0)
	assert.NilError(t, err)
	return CheckFile(fset, file)
}

func TestCheckFile(t *testing.T) {
	for name, c := range map[string]struct {
		source string
		want   int
	}{
		"clean":                {"package parser\ntype T struct{ A int `yaml:\"a-b\"` }", 0},
		"bare go":              {"package parser\nfunc f() { go f() }", 1},
		"interface":            {"package parser\ntype T interface{ F() }", 1},
		"any is no interface":  {"package parser\ntype T any", 0},
		"key not kebab case":   {"package parser\ntype T struct{ A int `json:\"a_b\"` }", 1},
		"package not an agent": {"package util", 1},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, len(findings(t, c.source)), c.want)
		})
	}
}

func TestRepositoryKeepsTheHouseStyle(t *testing.T) {
	found, err := Check("../..")
	assert.NilError(t, err)
	for _, f := range found {
		t.Error(f)
	}
}
