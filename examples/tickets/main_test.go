package main

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

func TestRun(t *testing.T) {
	var out strings.Builder
	assert.NilError(t, run(t.Context(), &out))
	golden.Assert(t, out.String(), "output.golden")
}
