package main

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func judgeLines(t *testing.T, known map[testName]bool, status int, lines ...string) (int, string) {
	t.Helper()
	v, err := judge(strings.NewReader(strings.Join(lines, "\n")), known)
	assert.NilError(t, err)
	var out strings.Builder
	code := report(&out, v, status)
	return code, out.String()
}

func TestReport(t *testing.T) {
	pass := `{"Action":"pass","Package":"p","Test":"TestA"}`
	fail := `{"Action":"fail","Package":"p","Test":"TestB/x"}`
	parent := `{"Action":"fail","Package":"p","Test":"TestB"}`
	pkg := `{"Action":"fail","Package":"p"}`
	listed := map[testName]bool{{"p", "TestB/x"}: true}

	t.Run("all pass", func(t *testing.T) {
		code, _ := judgeLines(t, nil, 0, pass)
		assert.Equal(t, code, 0)
	})
	t.Run("an unlisted failure fails the run", func(t *testing.T) {
		code, _ := judgeLines(t, nil, 1, pass, fail, parent, pkg)
		assert.Equal(t, code, 1)
	})
	t.Run("a listed failure is passed over and printed", func(t *testing.T) {
		code, out := judgeLines(t, listed, 1, pass, fail, parent, pkg)
		assert.Equal(t, code, 0)
		assert.Assert(t, strings.Contains(out, "known red: p TestB/x"))
	})
	t.Run("a listed test that passes fails the run", func(t *testing.T) {
		code, _ := judgeLines(t, listed, 0, pass)
		assert.Equal(t, code, 1)
	})
	t.Run("a package that fails with no test named fails the run", func(t *testing.T) {
		code, _ := judgeLines(t, listed, 1, pass, fail, parent, `{"Action":"fail","Package":"q"}`)
		assert.Equal(t, code, 1)
	})
	t.Run("no test at all fails the run", func(t *testing.T) {
		code, _ := judgeLines(t, nil, 0)
		assert.Equal(t, code, 1)
	})
	t.Run("a broken build fails the run", func(t *testing.T) {
		code, _ := judgeLines(t, nil, 1, pass, `{"Action":"build-fail","ImportPath":"q"}`)
		assert.Equal(t, code, 1)
	})
}
