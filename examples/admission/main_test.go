package main

import (
	"strings"
	"testing"

	"gotest.tools/v3/golden"
)

func TestRun(t *testing.T) {
	var out strings.Builder
	run(&out)
	golden.Assert(t, out.String(), "output.golden")
}
